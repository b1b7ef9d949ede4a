package move_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

var _ = Describe("Draw", func() {
	// Guards against more than 5% of the requests of an unproved version by
	// chance: random points gave up to 6.3% of 1000 requests.
	It("keeps a share over any run of points", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			d := move.NewDraw(rng.Uint64())
			below := 0
			for n := range 2000 {
				if d.Next() < 0.05 {
					below++
				}
				Expect(below).To(BeNumerically("~", 0.05*float64(n+1), 3))
			}
		}
	})

	// Guards against callers whose kinds of requests take turns, so that only
	// one kind would ever reach the new version.
	It("keeps the share of every second, third, and later request", func() {
		for period := 2; period <= 40; period++ {
			d := move.NewDraw(1)
			below := 0
			for n := range 4000 * period {
				if point := d.Next(); n%period == 0 && point < 0.05 {
					below++
				}
			}
			Expect(below).To(BeNumerically("~", 200, 60), "period %d", period)
		}
	})

	// Guards against daemons that all wait for the same number of requests
	// before the first one goes to the new version.
	It("gives many daemons the share from the first request on", func() {
		rng := rand.New(rand.NewPCG(2, 2))
		below := 0
		for range 10_000 {
			if move.NewDraw(rng.Uint64()).Next() < 0.05 {
				below++
			}
		}
		Expect(below).To(BeNumerically("~", 500, 100))
	})
})
