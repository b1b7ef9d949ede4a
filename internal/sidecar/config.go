// Package sidecar runs a daemon whose mesh state lives in the platform's store:
// the event loop that owns the mesh node, the watches of the store's tables,
// the proxies and the listeners. Daemons connect to each other only for
// requests, move evidence and gossip of rows.
package sidecar

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/quota"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Config configures a Daemon. All fields except Listeners, Quotas, Evacuation, Cold,
// LinkRate, MemoryBytes, FileDescriptors, FirstStart, StopNotice, StrictRevocation, Revoke
// and Boottime are required.
type Config struct {
	// VM is the unique name of the daemon's VM.
	VM     string
	Domain string
	// Service and TargetAddress describe the target on the VM.
	Service       string
	TargetAddress string
	// Caller, Inbound and Peer are the addresses to listen on, as IP:port. Other
	// daemons connect to Inbound and Peer under exactly these addresses.
	Caller  string
	Inbound string
	Peer    string
	// Listeners serve the platform's own protocols.
	Listeners []Listener

	Store     rows.Store
	Operators Operators
	Protocol  proxy.Protocol
	Health    HealthCheck
	Retries   Retries
	// Quotas bounds the requests of each tenant over all daemons. A Window of zero means
	// that tenants have no quotas.
	Quotas quota.Terms
	// Evacuation is the time in which an evacuation must be in force. Zero disables
	// evacuations.
	Evacuation time.Duration
	// Cold limits the requests to cold targets. Zero disables the limit.
	Cold ColdBounds
	// LinkRate is the bandwidth of the VM's link in bytes per second. Zero disables
	// link accounting.
	LinkRate uint64
	// MemoryBytes is the memory of the VM, and FileDescriptors the number of descriptors
	// of the process. What clients may occupy is derived from them; zero means no limit.
	MemoryBytes     int64
	FileDescriptors int
	// FirstStart is true when all daemons start together for the first time. They
	// then list the store only after the rows of their targets have been written.
	FirstStart bool
	// Grace is the time between the stop request and the platform's forced end of
	// the process.
	Grace time.Duration
	// StopNotice is how long the daemon keeps serving after the stop request, at most
	// half of what Grace leaves. Zero means DefaultStopNotice.
	StopNotice time.Duration
	// StrictRevocation refuses requests with API keys while the daemon cannot be sure
	// that a key that was removed longer than Revoke ago is not in force. A zero Revoke
	// turns it off.
	StrictRevocation bool
	Revoke           time.Duration
	// Boottime reads a clock that includes the time for which the machine was
	// suspended; nil means freshness.Boottime.
	Boottime func() time.Duration
	Logger   *log.Logger
}

// Listener serves one protocol of the platform.
type Listener struct {
	Name    string
	Address string
	Handler func(*Daemon) http.Handler
}

// Retries is the retry budget for one service, shared by all daemons.
type Retries struct {
	// Ratio is the fraction of the requests of a window that may be retried.
	Ratio float64
	// Slack is the number of further retries per window, in addition to Ratio.
	Slack  float64
	Window time.Duration
}

// HealthCheck checks the health of a target.
type HealthCheck interface {
	// Check sends one request for the path to the address.
	Check(address, path string) (Health, error)
}

// Health is a target's response to a health check.
type Health struct {
	// Instance is the instance that responded.
	Instance string
	Healthy  bool
	// ColdRemaining is how much longer the target is cold. It is valid if ColdKnown.
	ColdRemaining time.Duration
	ColdKnown     bool
}

// ColdBounds bound the requests that a cold target gets in a second: the service's
// limit times Overshoot, plus Slack.
type ColdBounds struct {
	Overshoot float64
	Slack     float64
}

// Operators converts between the rows that operators write and read and the
// types of the mesh.
type Operators interface {
	// Table returns the name of the table that operators write to.
	Table() string
	// Decode returns the content of a row: a *mesh.Configuration, a *mesh.Order, a
	// *mesh.Evacuation, or nil for a row of another kind. It fails with fault.Invalid.
	Decode(row rows.Row) (any, error)
	// EvacuatedDomain returns the failure domain that a row with the key evacuates, or ""
	// for a row of another kind.
	EvacuatedDomain(key rows.Key) string
	// Status returns the row that shows operators the status of a move.
	Status(s mesh.Status) rows.Row
}
