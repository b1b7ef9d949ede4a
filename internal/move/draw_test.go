package move_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

var _ = Describe("WeylSequence", func() {
	// Guards against a version that is not yet proved receiving more than 5% of the
	// requests by chance: independent random points gave it up to 6.3% of 1000
	// requests.
	It("keeps a share in any run of points", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 200 {
			d := move.NewWeylSequence(rng.Uint64())
			below := 0
			for n := range 2000 {
				if d.Next() < 0.05 {
					below++
				}
				Expect(below).To(BeNumerically("~", 0.05*float64(n+1), 3))
			}
		}
	})

	// Guards against sending only one kind of request to the new version when
	// callers alternate between kinds of requests.
	It("keeps the share among every second, third and later request", func() {
		for period := 2; period <= 40; period++ {
			d := move.NewWeylSequence(1)
			below := 0
			for n := range 4000 * period {
				if point := d.Next(); n%period == 0 && point < 0.05 {
					below++
				}
			}
			Expect(below).To(BeNumerically("~", 200, 60), "period %d", period)
		}
	})

	// Guards against a fleet in which every daemon sends the same number of requests
	// to the old version before its first one to the new version.
	It("keeps the share among the first requests of many daemons", func() {
		rng := rand.New(rand.NewPCG(2, 2))
		below := 0
		for range 10_000 {
			if move.NewWeylSequence(rng.Uint64()).Next() < 0.05 {
				below++
			}
		}
		Expect(below).To(BeNumerically("~", 500, 100))
	})
})
