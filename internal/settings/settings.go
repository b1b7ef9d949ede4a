// Package settings reads the daemon's INI settings file and checks every key
// before the daemon starts. All findings are reported at once, each with its
// section, key and line.
package settings

import "time"

// Settings holds everything that a daemon is told at start.
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

// Listen holds the addresses, as IP:port, that the daemon binds.
type Listen struct {
	Caller  string
	Inbound string
	Peer    string
	Admin   string
}

// Advertise holds the addresses, as IP:port, that others use to reach the
// daemon. An address that the file does not give equals the listen address.
type Advertise struct {
	Caller  string
	Inbound string
	Peer    string
	Admin   string
}

// Peers configures the links between daemons.
type Peers struct {
	// Addresses are daemons to try when the platform is down at start.
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
	// Timeout bounds one call.
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

// Limits bounds what the daemon takes on.
type Limits struct {
	// ClaimsPerSecond bounds the claims that the daemon writes. The sum over
	// all daemons beside targets of once-only routes must fit the platform.
	ClaimsPerSecond int
	// BulkBytesPerSecond bounds snapshots and endpoint lists on one link.
	BulkBytesPerSecond int64
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// RetryPercent is the retry budget, in percent of a service's requests.
	RetryPercent int
	// Processors is "all" or "adaptive": one while the daemon is quiet and all
	// while it is busy.
	Processors string
}

// Values of Limits.Processors.
const (
	AllProcessors      = "all"
	AdaptiveProcessors = "adaptive"
)

// Timeouts holds the periods of the control plane.
type Timeouts struct {
	// Lease is how long the controller lease must stand still before another
	// daemon takes it over.
	Lease time.Duration
	// LeaseRenew is the period of renewals.
	LeaseRenew time.Duration
	// Announce is the period at which the daemon writes its entry in the
	// member partition again.
	Announce time.Duration
	// MemberExpiry is how long a lost daemon still counts as a member that
	// statements name as unreachable.
	MemberExpiry time.Duration
	// EndpointLost is how long a link is down before its daemon is lost.
	EndpointLost time.Duration
	// DrainNotice is how long a draining daemon still accepts new work.
	DrainNotice time.Duration
	// Drain bounds the time that requests in flight get to finish.
	Drain time.Duration
}

// Log configures the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string
}

// Default returns the settings of a file that gives no optional key. The
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
