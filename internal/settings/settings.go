// Package settings reads the daemon's INI settings file and checks every key
// before the daemon starts. All findings are reported at once, each with its
// section, key and line.
package settings

import "time"

// Settings holds the configuration that a daemon reads when it starts.
type Settings struct {
	VM        VM
	Listen    Listen
	Advertise Advertise
	Peers     Peers
	Platform  Platform
	Admin     Admin
	Limits    Limits
	Timeouts  Timeouts
	Log       Log
}

// VM identifies the machine of the daemon.
type VM struct {
	// Name is unique in the mesh.
	Name          string
	FailureDomain string
	Region        string
}

// Listen holds the addresses, as IP:port, that the daemon listens on.
type Listen struct {
	Caller  string
	Inbound string
	Peer    string
	Admin   string
}

// Advertise holds the addresses, as IP:port, that others use to reach the
// daemon. An address that the file does not set defaults to the listen address.
type Advertise struct {
	Caller  string
	Inbound string
	Peer    string
	Admin   string
}

// Peers configures the links between daemons.
type Peers struct {
	// Addresses are the peer addresses of daemons to connect to when the platform
	// is unavailable at start.
	Addresses []string
	// Token is the shared secret that a daemon sends when it opens a link.
	Token string
	// TLSCertificate, TLSKey and TLSCA are PEM files; all are set or none is.
	TLSCertificate string
	TLSKey         string
	TLSCA          string
}

// Platform locates the table service and the object store.
type Platform struct {
	TableEndpoint  string
	Table          string
	ObjectEndpoint string
	Bucket         string
	Region         string
	AccessKey      string
	SecretKey      string
	// Timeout is the timeout of one platform request.
	Timeout time.Duration
}

// Admin configures the administration API.
type Admin struct {
	// Token is the bearer token of operators.
	Token string
	// TLSCertificate and TLSKey are PEM files; both are set or none is.
	TLSCertificate string
	TLSKey         string
}

// Limits holds the daemon's rate, size and processor limits.
type Limits struct {
	// ClaimsPerSecond limits the claims that the daemon writes in a second. The
	// sum over all daemons that serve targets of once-only routes must not exceed
	// the write capacity of the platform.
	ClaimsPerSecond int
	// BulkBytesPerSecond limits the rate of snapshots and endpoint lists on one
	// link.
	BulkBytesPerSecond int64
	// MaxHeaderBytes limits the size of a request header.
	MaxHeaderBytes int
	// RetryPercent is the retry budget, in percent of a service's requests.
	RetryPercent int
	// Processors is "all" or "adaptive". With "adaptive" the daemon uses one
	// processor at low load and all processors at high load.
	Processors string
}

// Values of Limits.Processors.
const (
	AllProcessors      = "all"
	AdaptiveProcessors = "adaptive"
)

// Timeouts holds the timeouts and intervals of the control plane and of a drain.
type Timeouts struct {
	// Lease is how long the controller lease must go without a renewal before
	// another daemon takes it over.
	Lease time.Duration
	// LeaseRenew is the interval between renewals of the controller lease.
	LeaseRenew time.Duration
	// Announce is the interval at which the daemon rewrites its row in the
	// member partition.
	Announce time.Duration
	// MemberExpiry is how long a lost daemon still counts as a member, which
	// statements list as unreachable.
	MemberExpiry time.Duration
	// EndpointLost is how long a link must be down before its daemon is marked
	// lost.
	EndpointLost time.Duration
	// DrainNotice is how long a draining daemon still accepts new requests.
	DrainNotice time.Duration
	// Drain is the maximum time that requests in flight have to finish.
	Drain time.Duration
}

// Log configures the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string
}

// Default returns the settings of a file that sets no optional key. The values of
// required keys are empty.
func Default() *Settings {
	return &Settings{
		Platform: Platform{Timeout: 2 * time.Second},
		Limits: Limits{
			ClaimsPerSecond:    50,
			BulkBytesPerSecond: 64 * kibibyte,
			MaxHeaderBytes:     64 * kibibyte,
			RetryPercent:       10,
			Processors:         AllProcessors,
		},
		Timeouts: Timeouts{
			Lease:        4 * time.Second,
			LeaseRenew:   time.Second,
			Announce:     10 * time.Minute,
			MemberExpiry: 45 * time.Second,
			EndpointLost: 3 * time.Second,
			DrainNotice:  2 * time.Second,
			Drain:        10 * time.Minute,
		},
		Log: Log{Level: "info"},
	}
}
