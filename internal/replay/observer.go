package replay

import (
	"math"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// shownLogRatio is the log likelihood ratio from which a single response counts
// as a sign of the fault: it is at least twice as likely under a bad version as
// under a good one.
var shownLogRatio = math.Log(2)

// evidentLogRatio is the log likelihood ratio of all responses at which the fault
// counts as evident. It corresponds to an error probability of
// move.FalseAlarmBound.
var evidentLogRatio = -math.Log(move.FalseAlarmBound)

// observer is an ideal observer of a bad version, which serves as a reference for
// judges. It uses the true behaviour of both versions and receives every response
// without delay, so that no judge with the same error bound can decide much
// earlier.
type observer struct {
	active    bool
	badFromMs int64
	// logRatioSum is the log likelihood ratio of all responses of all routes. It is
	// never reset: with resets, a good version would count as bad within 100,000
	// responses in 6% to 28% of the cases instead of 1e-4 (simulated for error
	// rates of 2% and 20% against 0.05%). Responses from before the start of a
	// fault do not mask it, since their likelihood ratio is 1.
	logRatioSum float64
	// pending contains the log likelihood ratios of unfinished requests, by the
	// tick in milliseconds at which the request finishes.
	pending map[int64][]float64
}

func newObserver(h *trace.Header) observer {
	return observer{
		active:    h.Outcome == trace.Bad,
		badFromMs: h.BadFromMs,
		pending:   map[int64][]float64{},
	}
}

// recordRequest adds the response to a request that starts now. bad and good are
// the models of the new version and of a good version under the same load.
func (o *observer) recordRequest(now int64, response move.Observation, bad, good responseModel, coldFactor float64) {
	if !o.active || now < o.badFromMs {
		return
	}
	at := now + response.Latency.Milliseconds()/tickMs*tickMs + tickMs
	ratio := logLikelihoodRatio(bad, withoutImprovements(bad, good), move.BucketOf(response.Latency), response.Failed, coldFactor)
	o.pending[at] = append(o.pending[at], ratio)
}

// withoutImprovements returns the good model without the differences in which the
// bad one is better. A version that is faster than the old one at some load is
// different, but that is not a fault.
func withoutImprovements(bad, good responseModel) responseModel {
	if bad.base.P50Ms*bad.latencyFactor <= good.base.P50Ms*good.latencyFactor {
		good.base, good.latencyFactor = bad.base, bad.latencyFactor
	}
	good.errorRate = math.Min(good.errorRate, bad.errorRate)
	return good
}

// completeRequests adds the responses of the requests that finish at now, and
// records when the fault is first shown and when it is evident.
func (o *observer) completeRequests(now int64, out *Outcome) {
	for _, ratio := range o.pending[now] {
		if out.ShownMs < 0 && ratio >= shownLogRatio {
			out.ShownMs = now
		}
		o.logRatioSum += ratio
		if out.EvidentMs < 0 && o.logRatioSum >= evidentLogRatio {
			out.EvidentMs = now
		}
	}
	delete(o.pending, now)
}
