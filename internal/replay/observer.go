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
	// sums holds a cumulative sum for each route that restarts at zero, so
	// that a fault that begins late is not masked by the good time before.
	sums    map[*route]float64
	pending map[int64][]response

	unprovedNew, unprovedAll int64
}

type response struct {
	route *route
	ratio float64
}

func newObserver(h *trace.Header) observer {
	return observer{
		active:    h.Outcome == trace.Bad,
		badFromMs: h.BadFromMs,
		sums:      map[*route]float64{},
		pending:   map[int64][]response{},
	}
}

func (o *observer) sent(now int64, rt *route, seen move.Observation, bad, good effect, cold float64) {
	if !o.active || now < o.badFromMs {
		return
	}
	at := now + seen.Latency.Milliseconds()/tickMs*tickMs + tickMs
	ratio := logRatio(bad, good, move.BucketOf(seen.Latency), seen.Failed, cold)
	o.pending[at] = append(o.pending[at], response{route: rt, ratio: ratio})
}

func (o *observer) finish(now int64, out *Outcome) {
	for _, r := range o.pending[now] {
		if out.ShownMs < 0 && r.ratio >= shownRatio {
			out.ShownMs = now
		}
		o.sums[r.route] = math.Max(0, o.sums[r.route]+r.ratio)
		if out.EvidentMs < 0 && o.sums[r.route] >= certain {
			out.EvidentMs = now
		}
	}
	delete(o.pending, now)
}
