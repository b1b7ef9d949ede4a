package routing_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

var _ = Describe("detection of server calls", func() {
	var detector *routing.ServerCallDetector
	BeforeEach(func() {
		detector = routing.NewServerCallDetector()
		detector.SetVMShares(map[string]float64{"desk": 0.82, "vault": 0.18})
	})

	// Guards against calls of servers that are shed for a small delay, which
	// fails the look-ups that they belong to after their work is done.
	It("detects calls of servers by the VMs that they come from", func() {
		for range 50 {
			Expect(detector.Observe("check", "desk")).To(BeFalse(), "the evidence is below the threshold")
		}
		detected := false
		for range 20 {
			detected = detector.Observe("check", "desk")
		}
		Expect(detected).To(BeTrue())
	})

	// Guards against requests of clients that are classified as server calls
	// and so stay in the queue after their objective.
	It("does not classify requests of clients as server calls", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 100_000 {
			service := "desk"
			if random.Float64() < 0.18 {
				service = "vault"
			}
			Expect(detector.Observe("look", service)).To(BeFalse())
		}
	})

	// Guards against false detection in a mesh of one service, and in one whose
	// targets are unknown.
	It("detects nothing when all callers run beside the same service", func() {
		detector.SetVMShares(map[string]float64{"desk": 1})
		for range 1000 {
			Expect(detector.Observe("look", "desk")).To(BeFalse())
		}
		detector.SetVMShares(nil)
		Expect(detector.Observe("look", "desk")).To(BeFalse())
	})
})
