// Package routing chooses a route, a version and a target for each request, and
// implements admission, priorities and retry budgets. It does no I/O and takes
// the time as an argument.
package routing

import (
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// Config is the input of routing. It is immutable and replaced as a whole, so
// that a request never uses a mix of two configurations.
type Config struct {
	State *model.State
	// Steps holds the progress of open tickets. A ticket without an entry has
	// made no progress.
	Steps map[uint64]move.Step
	// Braked holds the tickets whose new versions get no traffic.
	Braked    map[uint64]bool
	Endpoints []member.Endpoint
	// Tenants is empty where requests need no API keys.
	Tenants []model.Tenant
}
