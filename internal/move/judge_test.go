package move_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

// judged feeds the judge with intervals of old and new requests until it
// rejects, and returns the number of intervals; 0 means never.
func judged(j move.Judge, seed uint64, intervals, old, fresh int, before, after behaviour, onset int) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range intervals {
		b := before
		if i >= onset {
			b = after
		}
		now := start.Add(time.Duration(i+1) * move.SampleInterval)
		j.Observe(now, move.Stage{Permille: 50, Focus: 1, Targets: eight}, []move.Sample{
			draw(rng, key("lookup", false), old, before),
			draw(rng, key("lookup", true), fresh, b),
		})
		if j.Verdict().Bad {
			return i + 1
		}
	}
	return 0
}

var _ = Describe("SequentialJudge", func() {
	// Guards against a false alarm rate above the bound. 3000 moves with a
	// bound of 1e-4 each expect 0.3 alarms at most; three would be far beyond.
	It("keeps its false alarm bound over many seeds", func() {
		alarms := 0
		for seed := range uint64(3000) {
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			if judged(j, seed, 100, 57, 3+int(seed%40), usual, usual, 0) > 0 {
				alarms++
			}
		}
		Expect(alarms).To(BeNumerically("<=", 2))
	})

	// Guards against alarms on a good version while both versions are failing
	// or slow for a reason that they share.
	DescribeTable("accepts a version that is no worse than a bad old one",
		func(b behaviour) {
			for seed := range uint64(100) {
				Expect(judged(move.NewSequentialJudge(move.FalseAlarmBound), seed, 200, 190, 10, usual, usual, 0)).To(BeZero())
				Expect(judged(move.NewSequentialJudge(move.FalseAlarmBound), seed, 200, 190, 10, b, b, 0)).To(BeZero())
			}
		},
		Entry("errors", behaviour{errors: 0.2, mean: 20 * time.Millisecond}),
		Entry("overload", behaviour{errors: 0.05, mean: 2 * time.Second}),
	)

	// Guards against each kind of fault passing unseen, at the start and
	// after a long good time.
	DescribeTable("rejects a bad version",
		func(bad behaviour, onset, within int) {
			for seed := range uint64(50) {
				at := judged(move.NewSequentialJudge(move.FalseAlarmBound), seed, onset+within, 190, 10, usual, bad, onset)
				Expect(at).To(BeNumerically(">", onset), "seed %d", seed)
			}
		},
		Entry("a third of errors", behaviour{errors: 0.33, mean: 20 * time.Millisecond}, 0, 12),
		Entry("errors later", behaviour{errors: 0.33, mean: 20 * time.Millisecond}, 300, 20),
		Entry("two percent of errors", behaviour{errors: 0.02, mean: 20 * time.Millisecond}, 0, 400),
		Entry("three times slower", behaviour{errors: 0.001, mean: 60 * time.Millisecond}, 0, 40),
		Entry("slower later", behaviour{errors: 0.001, mean: 100 * time.Millisecond}, 300, 40),
		Entry("hanging", behaviour{errors: 0.001, mean: 4 * time.Second}, 0, 12),
	)

	// Guards against a single burst of correlated failures deciding a move.
	It("does not decide on one interval", func() {
		all := behaviour{errors: 1, mean: 20 * time.Millisecond}
		Expect(judged(move.NewSequentialJudge(move.FalseAlarmBound), 1, 100, 190, 100, usual, all, 1)).To(BeNumerically(">=", 4))
	})

	// Guards against a bad route hiding behind the good ones.
	It("judges each route by itself and names it", func() {
		rng := rand.New(rand.NewPCG(3, 3))
		j := move.NewSequentialJudge(move.FalseAlarmBound)
		for i := range 60 {
			j.Observe(start.Add(time.Duration(i+1)*move.SampleInterval), move.Stage{Permille: 50, Targets: eight}, []move.Sample{
				draw(rng, key("lookup", false), 1900, usual), draw(rng, key("lookup", true), 100, usual),
				draw(rng, key("place", false), 38, usual), draw(rng, key("place", true), 2, behaviour{errors: 0.5, mean: 20 * time.Millisecond}),
			})
		}
		Expect(j.Verdict().Bad).To(BeTrue())
		Expect(j.Verdict().Reason).To(ContainSubstring(`route "place": error rate`))
	})

	// Guards against slow starters being taken back, and against a cold start
	// hiding requests that hang.
	It("lets cold targets be slow but not hang", func() {
		cold := func(mean time.Duration) bool {
			rng := rand.New(rand.NewPCG(4, 4))
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			for i := range 20 {
				j.Observe(start.Add(time.Duration(i+1)*move.SampleInterval), move.Stage{Permille: 10, Cold: 1, Targets: eight}, []move.Sample{
					draw(rng, key("lookup", false), 990, usual), draw(rng, key("lookup", true), 10, behaviour{mean: mean}),
				})
			}
			return j.Verdict().Bad
		}
		Expect(cold(60 * time.Millisecond)).To(BeFalse())
		Expect(cold(2 * time.Second)).To(BeTrue())
	})

	// Guards against a version that fails under load and is found only as late
	// as one whose fault begins at any other time.
	It("finds a fault that begins with a step sooner", func() {
		found := func(seed uint64, step int) int {
			rng := rand.New(rand.NewPCG(seed, 6))
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			for i := range 200 {
				stage, fresh := move.Stage{Permille: 50, Targets: eight}, usual
				if i >= step {
					stage.Permille = 100
				}
				if i >= 100 {
					fresh = behaviour{errors: 0.1, mean: 20 * time.Millisecond}
				}
				j.Observe(start.Add(time.Duration(i+1)*move.SampleInterval), stage, []move.Sample{
					draw(rng, key("lookup", false), 190, usual), draw(rng, key("lookup", true), 10, fresh),
				})
				if j.Verdict().Bad {
					return i
				}
			}
			return 200
		}
		with, without := 0, 0
		for seed := range uint64(40) {
			with += found(seed, 100)
			without += found(seed, 50)
		}
		Expect(with).To(BeNumerically("<", without))
	})

	// Guards against an idle service whose few old requests pass for the old
	// version's latency, seen with order-good-idle.
	It("does not measure slowness by a handful of old requests", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 8))
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			for i := range 200 {
				old, fresh, permille := 0, 1, uint32(1000)
				if i < 3 {
					old, fresh, permille = 1, 0, 50
				}
				j.Observe(start.Add(time.Duration(i+1)*10*time.Second), move.Stage{Permille: permille, Targets: eight}, []move.Sample{
					draw(rng, key("lookup", false), old, usual), draw(rng, key("lookup", true), fresh, usual),
				})
			}
			Expect(j.Verdict().Bad).To(BeFalse(), "seed %d: %s", seed, j.Verdict().Reason)
		}
	})

	// Guards against proof without evidence.
	It("has no negative doubt without requests of the new version", func() {
		j := move.NewSequentialJudge(move.FalseAlarmBound)
		Expect(judged(j, 1, 50, 200, 0, usual, usual, 0)).To(BeZero())
		Expect(j.Verdict().Doubt).To(BeNumerically(">=", 0))
	})
})

var _ = Describe("Brake", func() {
	// Guards against a daemon that keeps sending to a failing version while
	// the controller is away, and against a brake that releases itself.
	It("sets on its own sample and stays set", func() {
		b := move.NewBrake(nil)
		rng := rand.New(rand.NewPCG(5, 5))
		feed := func(n int, fresh behaviour) {
			for range n {
				b.Observe(start, move.Stage{Permille: 100, Targets: eight}, []move.Sample{
					draw(rng, key("lookup", false), 90, usual), draw(rng, key("lookup", true), 10, fresh),
				})
			}
		}
		feed(100, usual)
		_, set := b.Set()
		Expect(set).To(BeFalse())
		feed(20, behaviour{errors: 0.5, mean: 20 * time.Millisecond})
		reason, set := b.Set()
		Expect(set).To(BeTrue())
		Expect(reason).To(ContainSubstring("error rate"))
		feed(100, usual)
		_, set = b.Set()
		Expect(set).To(BeTrue())
	})

	// Guards against a bad version that keeps half of the traffic for the
	// whole of a control outage, because each daemon waits for the controller.
	It("sets sooner on a daemon that is cut off", func() {
		intervals := func(cutOff bool) int {
			b := move.NewBrake(nil)
			rng := rand.New(rand.NewPCG(7, 7))
			for i := range 200 {
				fresh := usual
				if i >= 50 {
					fresh = behaviour{errors: 0.3, mean: 20 * time.Millisecond}
				}
				stage := move.Stage{Permille: 500, Targets: eight, CutOff: cutOff}
				b.Observe(start.Add(time.Duration(i)*move.SampleInterval), stage, []move.Sample{
					draw(rng, key("lookup", false), 50, usual), draw(rng, key("lookup", true), 50, fresh),
				})
				if _, set := b.Set(); set {
					return i - 50
				}
			}
			return 200
		}
		Expect(intervals(true)).To(BeNumerically("<=", 6))
		Expect(intervals(false)).To(BeNumerically(">", 12))
	})
})
