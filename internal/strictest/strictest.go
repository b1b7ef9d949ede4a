// Package strictest holds the values that fields of the operators' configuration get when
// their own value has another type or is not known. It does no I/O.
//
// An invalid value must not give a request more than the operators may have meant: no
// second run, no higher priority, no access without a key, no larger share.
package strictest

import (
	"math"
	"time"
)

const (
	// Priority is the lowest rank of a route or tenant.
	Priority = math.MaxUint32
	// Attempts is the number of targets that a request may reach.
	Attempts = 1
	// Timeout is that of a route. It is long enough for the requests of interactive routes
	// and does not occupy a target's slot for longer.
	Timeout = 2 * time.Second
	// RatePerSecond and Burst are the quota of a tenant. A quota of zero would be none.
	RatePerSecond = 1
	Burst         = 1
	// ColdPerSecond limits the requests to a cold target; zero would be no limit.
	ColdPerSecond = 1
	// ColdStart is longer than targets are cold on the users' platform.
	ColdStart = 30 * time.Second
	// Connections is the connection limit of a target. It is above the number of slots of
	// any target, 14, which limits the requests in flight.
	Connections = 16
	// HeaderBytes, BodyBytes, HeaderTimeout and IdleTimeout limit callers. Zero is the
	// daemon's own limit, which callers cannot exceed.
	HeaderBytes   = 0
	BodyBytes     = 0
	HeaderTimeout = time.Duration(0)
	IdleTimeout   = time.Duration(0)
)
