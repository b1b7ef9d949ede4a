// Package mesh holds one daemon's view of the mesh, which it builds from the
// rows of the platform's store: the operators' configuration, the targets, and
// the moves of services to new versions. It elects the leader of a move and
// makes the leader's decisions. It does no I/O and takes the time as an argument.
package mesh

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Services map[string]Service
	Routes   []model.Route
	Limits   Limits
	// Tenants is empty where requests need no API keys. A tenant that was left out is in
	// the list without a name and keys, so that requests still need them.
	Tenants []model.Tenant
	// Odd lists the entries with a value of another type or an unknown value. All other
	// entries are in force.
	Odd []OddEntry
}

// OddEntry is an entry of the configuration that is not in force as the operators wrote it.
type OddEntry struct {
	// Entry tells which entry it is. It holds no values of fields, except for names, hosts
	// and path prefixes.
	Entry string
	// Fields are the names of the fields that got the strictest meaning, or because of
	// which the entry was left out.
	Fields  []string
	LeftOut bool
}

// Service is a service in the operators' configuration.
type Service struct {
	Name string
	// HealthPath is the path at which a healthy target responds with status 200.
	HealthPath string
	// Connections is the maximum number of connections that a target accepts.
	Connections uint32
	// ColdStart is how long a target is cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold target can take;
	// zero means that there is no limit.
	ColdPerSecond float64
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may keep an idle connection.
	IdleTimeout time.Duration
}

// Order is an operator's request to move a service to a version.
type Order struct {
	Service string
	Version string
	// Within is the maximum duration of the move.
	Within time.Duration
	// Revision is the version of the order's row; it identifies the move.
	Revision uint64
}
