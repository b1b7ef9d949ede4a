package replay

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// ResponsesUntilEvident passes responses that are sampled from the behaviour
// actual to the ideal observer. It returns the index of the response after which
// the log likelihood ratio of bad to good reaches evidentLogRatio, or -1.
func ResponsesUntilEvident(seed uint64, responses int, actual, bad, good *trace.Behaviour) int {
	o := newObserver(&trace.Header{Outcome: trace.Bad})
	rng := rand.New(rand.NewPCG(seed, 1))
	out := Outcome{ShownMs: -1, EvidentMs: -1}
	actualModel, badModel, goodModel := newResponseModel(actual, 0, 0), newResponseModel(bad, 0, 0), newResponseModel(good, 0, 0)
	for i := range responses {
		latency := latencyQuantile(actualModel.base, rng.Float64()) * actualModel.latencyFactor
		response := move.Observation{Latency: time.Duration(latency * float64(time.Millisecond)), Failed: rng.Float64() < actualModel.errorRate}
		o.recordRequest(0, response, badModel, goodModel, 1)
		for at := range o.pending {
			o.completeRequests(at, &out)
		}
		if out.EvidentMs >= 0 {
			return i
		}
	}
	return -1
}
