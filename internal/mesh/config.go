// Package mesh knows the mesh as the rows of the platform's store describe it:
// the operators' configuration, the targets, and the moves of services to new
// versions. It decides who leads a move. It does no I/O and takes the time as
// an argument.
package mesh

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// Configuration is one version of what operators want.
type Configuration struct {
	Version  uint64
	Services map[string]Service
	Routes   []model.Route
	Limits   Limits
}

// Service is a service as operators describe it.
type Service struct {
	Name string
	// HealthPath answers 200 while a target is healthy.
	HealthPath string
	// Connections is the most connections that a target accepts.
	Connections uint32
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may keep a connection without using it.
	IdleTimeout time.Duration
}

// Order asks for the move of a service to a version.
type Order struct {
	Service string
	Version string
	// Within is the time that the move may take.
	Within time.Duration
	// Revision is the version of the order's row; it names the move.
	Revision uint64
}
