// Package quota limits the requests of a tenant over all daemons of the mesh. A tenant
// has up to three homes, daemons that own equal parts of its rate and lend tokens; all
// other daemons borrow tokens from them, one for each request. It does no I/O and has no
// clock: times are readings of a clock that also runs while the VM is suspended.
package quota

import (
	"math"
	"time"
)

const (
	// LoanTime is how long after the borrower's question a token may be used.
	LoanTime = 400 * time.Millisecond
	// InFlightTime is the time from the use of a token, at the transmission of the
	// request to the target's daemon, to the start of the request at the target that
	// the bound allows for. LoanTime and InFlightTime times the rate is what an
	// overshoot of 0.1 over a window of 5 s with a burst of one second adds.
	InFlightTime = 200 * time.Millisecond
	// maxHomes is the number of homes of a tenant in a mesh of at least as many
	// daemons. With one home lost, two thirds of the quota remain.
	maxHomes = 3
	// rateSlackFraction is the part of the slack that raises the rate; the rest
	// raises the depth of the buckets. With a window of 5 s and a slack of 20, a
	// tenant of 1.6 requests/s that has lost a home still has its demand of 1/s.
	rateSlackFraction = 0.25
)

// Terms state the bound: in any window, at most
// (rate*Window + burst) * (1 + Overshoot) + Slack requests of a tenant run.
type Terms struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Limit is the quota of a tenant. A rate of zero means no quota.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// bound returns the number of requests that may run in any window.
func (t Terms) bound(l Limit) float64 {
	return (l.RatePerSecond*t.Window.Seconds()+l.Burst)*(1+t.Overshoot) + t.Slack
}

// bucketSize returns the rate and the depth of all buckets of a tenant together.
//
// A request that runs in a window of length W was lent its token in the window that
// begins LoanTime + InFlightTime earlier and has the length
// T = W + LoanTime + InFlightTime. The buckets hold at most depth tokens at its begin and
// gain at most rate*T in it, because the shares of the homes that lend never add up to
// more than 1 (see Home). So at most depth + rate*T requests run in any window, and
// depth = bound - rate*T makes this the bound, whatever the rate is. The rate is the
// tenant's rate and a part of the slack, less if the depth would then be below the burst.
func (t Terms) bucketSize(l Limit) (rate, depth float64) {
	bound, span := t.bound(l), (t.Window + LoanTime + InFlightTime).Seconds()
	wanted := l.RatePerSecond + rateSlackFraction*t.Slack/span
	rate = min(wanted, (bound-min(max(l.Burst, maxHomes), bound/2))/span)
	return rate, bound - rate*span
}

// homeCount returns the number of homes of a tenant whose buckets together have the
// depth. Each home must be able to hold a whole token.
func homeCount(depth float64) int {
	return int(math.Min(maxHomes, math.Max(1, math.Floor(depth))))
}
