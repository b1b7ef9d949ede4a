package replay

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// CertainAfter shows the ideal observer responses that are drawn from the
// behaviour drawn, and returns after how many it is certain that they come
// from bad instead of good, or -1.
func CertainAfter(seed uint64, responses int, drawn, bad, good *trace.Behaviour) int {
	o := newObserver(&trace.Header{Outcome: trace.Bad})
	rng := rand.New(rand.NewPCG(seed, 1))
	out := Outcome{ShownMs: -1, EvidentMs: -1}
	actual, faulty, sound := effectOf(drawn, 0, 0), effectOf(bad, 0, 0), effectOf(good, 0, 0)
	for i := range responses {
		latency := quantile(actual.base, rng.Float64()) * actual.latency
		seen := move.Observation{Latency: time.Duration(latency * float64(time.Millisecond)), Failed: rng.Float64() < actual.errors}
		o.sent(0, seen, faulty, sound, 1)
		for at := range o.pending {
			o.finish(at, &out)
		}
		if out.EvidentMs >= 0 {
			return i
		}
	}
	return -1
}
