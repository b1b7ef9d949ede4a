// Package sidecar runs a daemon whose mesh lives in the platform's store: the
// loop around the mesh's node, the watches of the store's tables, the proxies
// and the listeners. There is no link between daemons but that of requests
// and of evidence.
package sidecar

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Config configures a Daemon. All fields but Listeners are required.
type Config struct {
	// VM is the daemon's unique name.
	VM     string
	Domain string
	// Service and TargetAddress belong to the target on the VM.
	Service       string
	TargetAddress string
	// Caller, Inbound and Peer are the addresses to bind, as IP:port. Others
	// use the last two as they stand here.
	Caller  string
	Inbound string
	Peer    string
	// Listeners serve the protocols of the platform.
	Listeners []Listener

	Store     rows.Store
	Operators Operators
	Protocol  proxy.Protocol
	Health    HealthCheck
	Retries   Retries
	// LinkRate is what the VM's link carries, in bytes a second; zero means
	// that it does not matter.
	LinkRate uint64
	// FirstStart is true when all daemons start together for the first time.
	// They read the store once their targets' rows are written.
	FirstStart bool
	// Grace is the time from the request to stop until the platform ends the
	// process.
	Grace time.Duration
	// StopNotice is how long the daemon serves on after that request; zero
	// means DefaultStopNotice.
	StopNotice time.Duration
	Logger     *log.Logger
}

// Listener serves one protocol of the platform.
type Listener struct {
	Name    string
	Address string
	Handler func(*Daemon) http.Handler
}

// Retries is the budget of all daemons together for one service.
type Retries struct {
	// Ratio is the part of the requests of a window that may be sent again.
	Ratio float64
	// Slack is how many more may be.
	Slack  float64
	Window time.Duration
}

// HealthCheck asks a target for its health.
type HealthCheck interface {
	// Check returns the instance that answered at the address, and whether it
	// is healthy. It sends one request to the path.
	Check(address, path string) (instance string, healthy bool, err error)
}

// Operators translates the rows that operators write and read.
type Operators interface {
	// Table is the table in which operators write.
	Table() string
	// Decode returns what a row holds: *mesh.Configuration, *mesh.Order, or
	// nil for a row without meaning. It fails with fault.Invalid.
	Decode(row rows.Row) (any, error)
	// Status returns the row that tells operators about a move.
	Status(s mesh.Status) rows.Row
}
