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
	// secret keys can be given as a file, and are not printed.
	secret bool
	// path keys name a file.
	path bool
	// set stores the value and returns what is wrong with it, or "".
	set func(s *Settings, text string) string
	// get returns the value as the file would give it.
	get func(s *Settings) string
}

// Bounds of numbers.
const (
	minTokenBytes  = 8
	maxClaims      = 100_000
	minBulkBytes   = kibibyte
	maxBulkBytes   = 1 << 30
	minHeaderBytes = 4 * kibibyte
	maxHeaderBytes = mebibyte
	maxPercent     = 100
)

var keys = []key{
	name("vm", "name", func(s *Settings) *string { return &s.VM.Name }),
	name("vm", "failure_domain", func(s *Settings) *string { return &s.VM.FailureDomain }),
	name("vm", "region", func(s *Settings) *string { return &s.VM.Region }),

	required(address("listen", "caller", func(s *Settings) *string { return &s.Listen.Caller })),
	required(address("listen", "inbound", func(s *Settings) *string { return &s.Listen.Inbound })),
	required(address("listen", "peer", func(s *Settings) *string { return &s.Listen.Peer })),
	required(address("listen", "admin", func(s *Settings) *string { return &s.Listen.Admin })),

	address("advertise", "caller", func(s *Settings) *string { return &s.Advertise.Caller }),
	address("advertise", "inbound", func(s *Settings) *string { return &s.Advertise.Inbound }),
	address("advertise", "peer", func(s *Settings) *string { return &s.Advertise.Peer }),
	address("advertise", "admin", func(s *Settings) *string { return &s.Advertise.Admin }),

	{
		section: "peers", name: "addresses",
		set: func(s *Settings, text string) string { return setAddresses(&s.Peers.Addresses, text) },
		get: func(s *Settings) string { return strings.Join(s.Peers.Addresses, ", ") },
	},
	token("peers", "token", func(s *Settings) *string { return &s.Peers.Token }),
	file("peers", "tls_certificate", func(s *Settings) *string { return &s.Peers.TLSCertificate }),
	file("peers", "tls_key", func(s *Settings) *string { return &s.Peers.TLSKey }),
	file("peers", "tls_ca", func(s *Settings) *string { return &s.Peers.TLSCA }),

	required(endpoint("platform", "table_endpoint", func(s *Settings) *string { return &s.Platform.TableEndpoint })),
	required(text("platform", "table", func(s *Settings) *string { return &s.Platform.Table })),
	required(endpoint("platform", "object_endpoint", func(s *Settings) *string { return &s.Platform.ObjectEndpoint })),
	required(text("platform", "bucket", func(s *Settings) *string { return &s.Platform.Bucket })),
	required(text("platform", "region", func(s *Settings) *string { return &s.Platform.Region })),
	secret(required(text("platform", "access_key", func(s *Settings) *string { return &s.Platform.AccessKey }))),
	secret(required(text("platform", "secret_key", func(s *Settings) *string { return &s.Platform.SecretKey }))),
	duration("platform", "timeout", func(s *Settings) *time.Duration { return &s.Platform.Timeout }),

	token("admin", "token", func(s *Settings) *string { return &s.Admin.Token }),
	file("admin", "tls_certificate", func(s *Settings) *string { return &s.Admin.TLSCertificate }),
	file("admin", "tls_key", func(s *Settings) *string { return &s.Admin.TLSKey }),

	number("limits", "claims_per_second", 1, maxClaims, func(s *Settings) *int { return &s.Limits.ClaimsPerSecond }),
	size("limits", "bulk_bytes_per_second", minBulkBytes, maxBulkBytes, func(s *Settings) *int64 { return &s.Limits.BulkBytesPerSecond }),
	size("limits", "max_header_bytes", minHeaderBytes, maxHeaderBytes, func(s *Settings) *int { return &s.Limits.MaxHeaderBytes }),
	number("limits", "retry_percent", 0, maxPercent, func(s *Settings) *int { return &s.Limits.RetryPercent }),
	choice("limits", "processors", []string{AllProcessors, AdaptiveProcessors}, func(s *Settings) *string { return &s.Limits.Processors }),

	duration("timeouts", "lease", func(s *Settings) *time.Duration { return &s.Timeouts.Lease }),
	duration("timeouts", "lease_renew", func(s *Settings) *time.Duration { return &s.Timeouts.LeaseRenew }),
	duration("timeouts", "announce", func(s *Settings) *time.Duration { return &s.Timeouts.Announce }),
	duration("timeouts", "member_expiry", func(s *Settings) *time.Duration { return &s.Timeouts.MemberExpiry }),
	duration("timeouts", "endpoint_lost", func(s *Settings) *time.Duration { return &s.Timeouts.EndpointLost }),
	duration("timeouts", "drain_notice", func(s *Settings) *time.Duration { return &s.Timeouts.DrainNotice }),
	duration("timeouts", "drain", func(s *Settings) *time.Duration { return &s.Timeouts.Drain }),

	choice("log", "level", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
}

func knownSection(section string) bool {
	return slices.ContainsFunc(keys, func(k key) bool { return k.section == section })
}

func knownKey(section, name string) bool {
	return slices.ContainsFunc(keys, func(k key) bool {
		return k.section == section && (k.name == name || k.secret && k.name+fileSuffix == name)
	})
}
