package settings

import (
	"slices"
	"strings"
	"time"
)

// key describes one key of the file.
type key struct {
	section  string
	name     string
	required bool
	// secret is true for a key that can be read from a file and whose value is
	// not printed.
	secret bool
	// path is true for a key whose value is the path of a file.
	path bool
	// set stores a valid value and returns ""; for an invalid value it returns
	// the reason.
	set func(s *Settings, text string) string
	// get returns the value in the syntax of the file.
	get func(s *Settings) string
}

// Limits of values.
const (
	minTokenBytes         = 8
	maxClaimsPerSecond    = 100_000
	minBulkBytesPerSecond = kibibyte
	maxBulkBytesPerSecond = 1 << 30
	minHeaderBytes        = 4 * kibibyte
	maxHeaderBytes        = mebibyte
	maxPercent            = 100
)

var keys = []key{
	nameKey("vm", "name", func(s *Settings) *string { return &s.VM.Name }),
	nameKey("vm", "failure_domain", func(s *Settings) *string { return &s.VM.FailureDomain }),
	nameKey("vm", "region", func(s *Settings) *string { return &s.VM.Region }),

	required(addressKey("listen", "caller", func(s *Settings) *string { return &s.Listen.Caller })),
	required(addressKey("listen", "inbound", func(s *Settings) *string { return &s.Listen.Inbound })),
	required(addressKey("listen", "peer", func(s *Settings) *string { return &s.Listen.Peer })),
	required(addressKey("listen", "admin", func(s *Settings) *string { return &s.Listen.Admin })),

	addressKey("advertise", "caller", func(s *Settings) *string { return &s.Advertise.Caller }),
	addressKey("advertise", "inbound", func(s *Settings) *string { return &s.Advertise.Inbound }),
	addressKey("advertise", "peer", func(s *Settings) *string { return &s.Advertise.Peer }),
	addressKey("advertise", "admin", func(s *Settings) *string { return &s.Advertise.Admin }),

	{
		section: "peers", name: "addresses",
		set: func(s *Settings, text string) string { return setAddresses(&s.Peers.Addresses, text) },
		get: func(s *Settings) string { return strings.Join(s.Peers.Addresses, ", ") },
	},
	tokenKey("peers", "token", func(s *Settings) *string { return &s.Peers.Token }),
	pathKey("peers", "tls_certificate", func(s *Settings) *string { return &s.Peers.TLSCertificate }),
	pathKey("peers", "tls_key", func(s *Settings) *string { return &s.Peers.TLSKey }),
	pathKey("peers", "tls_ca", func(s *Settings) *string { return &s.Peers.TLSCA }),

	required(endpointKey("platform", "table_endpoint", func(s *Settings) *string { return &s.Platform.TableEndpoint })),
	required(textKey("platform", "table", func(s *Settings) *string { return &s.Platform.Table })),
	required(endpointKey("platform", "object_endpoint", func(s *Settings) *string { return &s.Platform.ObjectEndpoint })),
	required(textKey("platform", "bucket", func(s *Settings) *string { return &s.Platform.Bucket })),
	required(textKey("platform", "region", func(s *Settings) *string { return &s.Platform.Region })),
	secret(required(textKey("platform", "access_key", func(s *Settings) *string { return &s.Platform.AccessKey }))),
	secret(required(textKey("platform", "secret_key", func(s *Settings) *string { return &s.Platform.SecretKey }))),
	durationKey("platform", "timeout", func(s *Settings) *time.Duration { return &s.Platform.Timeout }),

	tokenKey("admin", "token", func(s *Settings) *string { return &s.Admin.Token }),
	pathKey("admin", "tls_certificate", func(s *Settings) *string { return &s.Admin.TLSCertificate }),
	pathKey("admin", "tls_key", func(s *Settings) *string { return &s.Admin.TLSKey }),

	numberKey("limits", "claims_per_second", 1, maxClaimsPerSecond, func(s *Settings) *int { return &s.Limits.ClaimsPerSecond }),
	sizeKey("limits", "bulk_bytes_per_second", minBulkBytesPerSecond, maxBulkBytesPerSecond, func(s *Settings) *int64 { return &s.Limits.BulkBytesPerSecond }),
	sizeKey("limits", "max_header_bytes", minHeaderBytes, maxHeaderBytes, func(s *Settings) *int { return &s.Limits.MaxHeaderBytes }),
	numberKey("limits", "retry_percent", 0, maxPercent, func(s *Settings) *int { return &s.Limits.RetryPercent }),
	choiceKey("limits", "processors", []string{AllProcessors, AdaptiveProcessors}, func(s *Settings) *string { return &s.Limits.Processors }),

	durationKey("timeouts", "lease", func(s *Settings) *time.Duration { return &s.Timeouts.Lease }),
	durationKey("timeouts", "lease_renew", func(s *Settings) *time.Duration { return &s.Timeouts.LeaseRenew }),
	durationKey("timeouts", "announce", func(s *Settings) *time.Duration { return &s.Timeouts.Announce }),
	durationKey("timeouts", "member_expiry", func(s *Settings) *time.Duration { return &s.Timeouts.MemberExpiry }),
	durationKey("timeouts", "endpoint_lost", func(s *Settings) *time.Duration { return &s.Timeouts.EndpointLost }),
	durationKey("timeouts", "drain_notice", func(s *Settings) *time.Duration { return &s.Timeouts.DrainNotice }),
	durationKey("timeouts", "drain", func(s *Settings) *time.Duration { return &s.Timeouts.Drain }),

	choiceKey("log", "level", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
}

func knownSection(section string) bool {
	return slices.ContainsFunc(keys, func(k key) bool { return k.section == section })
}

func knownKey(section, name string) bool {
	return slices.ContainsFunc(keys, func(k key) bool {
		return k.section == section && (k.name == name || k.secret && k.name+fileSuffix == name)
	})
}
