// Package routing chooses a route, a version and a target for each request,
// and holds the limits, priorities and retry budgets. It does no I/O and
// takes the time as an argument.
package routing

import (
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// Config is all that routing depends on. It is immutable and replaced whole,
// so that a request never sees a mix of two configurations.
type Config struct {
	State *model.State
	// Steps holds the progress of open tickets. A missing entry means none yet.
	Steps map[uint64]move.Step
	// Braked holds the tickets whose new versions get no traffic.
	Braked    map[uint64]bool
	Endpoints []member.Endpoint
}
