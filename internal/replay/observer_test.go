package replay_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/replay"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

var _ = Describe("the ideal observer", func() {
	good := trace.Behaviour{P50Ms: 10, P95Ms: 25, P99Ms: 50, Errors: 0.0005}
	failing := good
	failing.Errors = 0.2

	// Guards against an observer that is certain of the badness of good
	// versions, so that no judge with the same error bound could follow it.
	It("keeps its error bound over a whole move", func() {
		for seed := range uint64(100) {
			Expect(replay.CertainAfter(seed, 20_000, &good, &failing, &good)).To(Equal(-1), "seed %d", seed)
		}
	})

	// Guards against an observer that keeps the bound by never being certain.
	It("is certain of a fault within a few dozen responses", func() {
		for seed := range uint64(100) {
			Expect(replay.CertainAfter(seed, 200, &failing, &failing, &good)).To(BeNumerically(">", 0), "seed %d", seed)
		}
	})

	// Guards against a version that is faster than the old one at some load
	// counting as evidently bad before its fault shows.
	It("takes no harmless difference for badness", func() {
		slower := good
		slower.ByLoad = []trace.Point{{At: 0, Latency: 1.5}}
		Expect(replay.CertainAfter(1, 20_000, &good, &good, &slower)).To(Equal(-1))
	})
})
