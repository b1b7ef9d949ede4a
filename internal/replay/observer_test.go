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

	// Guards against an observer that exceeds its error bound: it would report
	// faults in good versions earlier than any judge with the bound can.
	It("stays within its error bound over a whole move", func() {
		for seed := range uint64(100) {
			Expect(replay.ResponsesUntilEvident(seed, 20_000, &good, &failing, &good)).To(Equal(-1), "seed %d", seed)
		}
	})

	// Guards against an observer that stays within its error bound because it
	// never detects a fault.
	It("detects a fault within 200 responses", func() {
		for seed := range uint64(100) {
			Expect(replay.ResponsesUntilEvident(seed, 200, &failing, &failing, &good)).To(BeNumerically(">", 0), "seed %d", seed)
		}
	})

	// Guards against a version that counts as evidently bad because it is faster
	// than the old one at some load.
	It("does not count an improvement as a fault", func() {
		slower := good
		slower.ByLoad = []trace.Point{{At: 0, Latency: 1.5}}
		Expect(replay.ResponsesUntilEvident(1, 20_000, &good, &good, &slower)).To(Equal(-1))
	})
})
