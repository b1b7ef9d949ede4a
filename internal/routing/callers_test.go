package routing_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

var _ = Describe("callers of a kind of request", func() {
	var callers *routing.Callers
	BeforeEach(func() {
		callers = routing.NewCallers()
		callers.SetShares(map[string]float64{"desk": 0.82, "vault": 0.18})
	})

	// Guards against calls of servers that are refused for being late, which
	// fails the look-ups that they belong to after their work.
	It("tells calls of servers by where they come from", func() {
		for range 50 {
			Expect(callers.Saw("check", "desk")).To(BeFalse(), "there is little evidence yet")
		}
		called := false
		for range 20 {
			called = callers.Saw("check", "desk")
		}
		Expect(called).To(BeTrue())
	})

	// Guards against requests of clients that are taken for calls and so are
	// kept until they are late.
	It("does not take requests of clients for calls", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 100_000 {
			service := "desk"
			if random.Float64() < 0.18 {
				service = "vault"
			}
			Expect(callers.Saw("look", service)).To(BeFalse())
		}
	})

	// Guards against a mesh of one service, and one whose targets are not known.
	It("takes nothing for a call where all callers are alike", func() {
		callers.SetShares(map[string]float64{"desk": 1})
		for range 1000 {
			Expect(callers.Saw("look", "desk")).To(BeFalse())
		}
		callers.SetShares(nil)
		Expect(callers.Saw("look", "desk")).To(BeFalse())
	})
})
