package replay

import (
	"math"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// shownRatio is the log likelihood ratio from which a single response shows
// the fault: it is at least twice as likely as with a good version.
var shownRatio = math.Log(2)

// certain is the log likelihood ratio at which the ideal observer is certain.
var certain = -math.Log(move.FalseAlarmBound)

// observer is the ideal observer of a bad version. It knows the true
// behaviour of both versions and sees every response when it ends, so that no
// judge with the same error bound can be certain much earlier.
type observer struct {
	active    bool
	badFromMs int64
	// sum is the log likelihood ratio of all responses of all routes. It never
	// restarts: with restarts, a good version would look bad within 100,000
	// responses in 6% to 28% of the cases instead of 1e-4 (simulated for faults
	// of 2% and 20% against 0.05%). Responses from the time before a fault
	// begins do not mask it, since their ratio is one.
	sum     float64
	pending map[int64][]float64
}

func newObserver(h *trace.Header) observer {
	return observer{
		active:    h.Outcome == trace.Bad,
		badFromMs: h.BadFromMs,
		pending:   map[int64][]float64{},
	}
}

func (o *observer) sent(now int64, seen move.Observation, bad, good effect, cold float64) {
	if !o.active || now < o.badFromMs {
		return
	}
	at := now + seen.Latency.Milliseconds()/tickMs*tickMs + tickMs
	ratio := logRatio(bad, harmful(bad, good), move.BucketOf(seen.Latency), seen.Failed, cold)
	o.pending[at] = append(o.pending[at], ratio)
}

// harmful returns the good effect with only the differences that make the bad
// one worse. A version that is faster than the old one at some load differs
// from it, but that is no badness.
func harmful(bad, good effect) effect {
	if bad.base.P50Ms*bad.latency <= good.base.P50Ms*good.latency {
		good.base, good.latency = bad.base, bad.latency
	}
	good.errors = math.Min(good.errors, bad.errors)
	return good
}

func (o *observer) finish(now int64, out *Outcome) {
	for _, ratio := range o.pending[now] {
		if out.ShownMs < 0 && ratio >= shownRatio {
			out.ShownMs = now
		}
		o.sum += ratio
		if out.EvidentMs < 0 && o.sum >= certain {
			out.EvidentMs = now
		}
	}
	delete(o.pending, now)
}
