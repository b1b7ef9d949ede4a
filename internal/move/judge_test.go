package move_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

// intervalsToRejection passes intervals of requests of both versions to the judge until
// it rejects the new version, and returns the number of intervals; 0 means never. The
// new version's behaviour changes from before to after at interval onset.
func intervalsToRejection(j move.Judge, seed uint64, intervals, oldRequests, newRequests int, before, after behaviour, onset int) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range intervals {
		b := before
		if i >= onset {
			b = after
		}
		now := start.Add(time.Duration(i+1) * move.SampleInterval)
		j.Observe(now, move.Stage{Permille: 50, Focus: 1, Targets: eightTargets}, []move.Sample{
			randomSample(rng, sampleKey("lookup", false), oldRequests, before),
			randomSample(rng, sampleKey("lookup", true), newRequests, b),
		})
		if j.Verdict().Bad {
			return i + 1
		}
	}
	return 0
}

var _ = Describe("SequentialJudge", func() {
	// Guards against a false alarm rate above the bound. With a bound of 1e-4 per
	// move, 3000 moves have at most 0.3 expected false alarms; three are far above it.
	It("keeps its false alarm bound for many seeds", func() {
		alarms := 0
		for seed := range uint64(3000) {
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			if intervalsToRejection(j, seed, 100, 57, 3+int(seed%40), healthy, healthy, 0) > 0 {
				alarms++
			}
		}
		Expect(alarms).To(BeNumerically("<=", 2))
	})

	// Guards against rejecting a good version while both versions fail or are slow
	// for a common reason.
	DescribeTable("accepts a version that is no worse than a bad old one",
		func(b behaviour) {
			for seed := range uint64(100) {
				Expect(intervalsToRejection(move.NewSequentialJudge(move.FalseAlarmBound), seed, 200, 190, 10, healthy, healthy, 0)).To(BeZero())
				Expect(intervalsToRejection(move.NewSequentialJudge(move.FalseAlarmBound), seed, 200, 190, 10, b, b, 0)).To(BeZero())
			}
		},
		Entry("errors", behaviour{errorRate: 0.2, meanLatency: 20 * time.Millisecond}),
		Entry("overload", behaviour{errorRate: 0.05, meanLatency: 2 * time.Second}),
	)

	// Guards against taking back a good version for a route that fails with both
	// versions: on a day with a shortage a test route got about one request a second, each
	// of which failed. Few requests of the old version counted as none, so a handful of
	// failures of the new one was compared with a rate of 5%.
	It("accepts a version whose failures on an idle route are those of the old one", func() {
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 4))
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			failing := behaviour{errorRate: 1, meanLatency: 20 * time.Millisecond}
			for i := range 60 {
				// A move begins with small steps, so that the old version gets the first requests.
				permille := uint32(10)
				if i >= 20 {
					permille = 500
				}
				toNew := rng.Uint32N(move.FullProgress) < permille
				samples := []move.Sample{randomSample(rng, sampleKey("test", toNew), rng.IntN(2), failing)}
				j.Observe(start.Add(time.Duration(i+1)*move.SampleInterval), move.Stage{Permille: permille, Targets: eightTargets}, samples)
				Expect(j.Verdict().Bad).To(BeFalse(), "seed %d: %s", seed, j.Verdict().Reason)
			}
		}
	})

	// Guards against missing any kind of fault, at the start and after a long time
	// without faults.
	DescribeTable("rejects a bad version",
		func(bad behaviour, onset, within int) {
			for seed := range uint64(50) {
				at := intervalsToRejection(move.NewSequentialJudge(move.FalseAlarmBound), seed, onset+within, 190, 10, healthy, bad, onset)
				Expect(at).To(BeNumerically(">", onset), "seed %d", seed)
			}
		},
		Entry("33% errors", behaviour{errorRate: 0.33, meanLatency: 20 * time.Millisecond}, 0, 12),
		Entry("33% errors after 300 intervals", behaviour{errorRate: 0.33, meanLatency: 20 * time.Millisecond}, 300, 20),
		Entry("2% errors", behaviour{errorRate: 0.02, meanLatency: 20 * time.Millisecond}, 0, 400),
		Entry("three times the latency", behaviour{errorRate: 0.001, meanLatency: 60 * time.Millisecond}, 0, 40),
		Entry("five times the latency after 300 intervals", behaviour{errorRate: 0.001, meanLatency: 100 * time.Millisecond}, 300, 40),
		Entry("requests that take seconds", behaviour{errorRate: 0.001, meanLatency: 4 * time.Second}, 0, 12),
	)

	// Guards against a rejection because of a single burst of correlated failures.
	It("does not reject because of one interval", func() {
		allErrors := behaviour{errorRate: 1, meanLatency: 20 * time.Millisecond}
		Expect(intervalsToRejection(move.NewSequentialJudge(move.FalseAlarmBound), 1, 100, 190, 100, healthy, allErrors, 1)).To(BeNumerically(">=", 4))
	})

	// Guards against the requests of good routes masking a bad route.
	It("judges each route separately and names the bad one", func() {
		rng := rand.New(rand.NewPCG(3, 3))
		j := move.NewSequentialJudge(move.FalseAlarmBound)
		for i := range 60 {
			j.Observe(start.Add(time.Duration(i+1)*move.SampleInterval), move.Stage{Permille: 50, Targets: eightTargets}, []move.Sample{
				randomSample(rng, sampleKey("lookup", false), 1900, healthy), randomSample(rng, sampleKey("lookup", true), 100, healthy),
				randomSample(rng, sampleKey("place", false), 38, healthy), randomSample(rng, sampleKey("place", true), 2, behaviour{errorRate: 0.5, meanLatency: 20 * time.Millisecond}),
			})
		}
		Expect(j.Verdict().Bad).To(BeTrue())
		Expect(j.Verdict().Reason).To(ContainSubstring(`route "place": error rate`))
	})

	// Guards against taking back a version that is slow only while its targets are
	// cold, and against ignoring requests that hang on cold targets.
	It("accepts slow requests of cold targets but not stalled ones", func() {
		rejected := func(mean time.Duration) bool {
			rng := rand.New(rand.NewPCG(4, 4))
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			for i := range 20 {
				j.Observe(start.Add(time.Duration(i+1)*move.SampleInterval), move.Stage{Permille: 10, ColdFraction: 1, Targets: eightTargets}, []move.Sample{
					randomSample(rng, sampleKey("lookup", false), 990, healthy), randomSample(rng, sampleKey("lookup", true), 10, behaviour{meanLatency: mean}),
				})
			}
			return j.Verdict().Bad
		}
		Expect(rejected(60 * time.Millisecond)).To(BeFalse())
		Expect(rejected(2 * time.Second)).To(BeTrue())
	})

	// Guards against a version that fails under load being rejected no sooner than
	// one whose fault begins at any other time.
	It("rejects sooner when a fault begins with a step", func() {
		rejectedAt := func(seed uint64, step int) int {
			rng := rand.New(rand.NewPCG(seed, 6))
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			for i := range 200 {
				stage, newBehaviour := move.Stage{Permille: 50, Targets: eightTargets}, healthy
				if i >= step {
					stage.Permille = 100
				}
				if i >= 100 {
					newBehaviour = behaviour{errorRate: 0.1, meanLatency: 20 * time.Millisecond}
				}
				j.Observe(start.Add(time.Duration(i+1)*move.SampleInterval), stage, []move.Sample{
					randomSample(rng, sampleKey("lookup", false), 190, healthy), randomSample(rng, sampleKey("lookup", true), 10, newBehaviour),
				})
				if j.Verdict().Bad {
					return i
				}
			}
			return 200
		}
		withStep, withoutStep := 0, 0
		for seed := range uint64(40) {
			withStep += rejectedAt(seed, 100)
			withoutStep += rejectedAt(seed, 50)
		}
		Expect(withStep).To(BeNumerically("<", withoutStep))
	})

	// Guards against estimating the old version's latency from the few requests of an
	// idle service, as in the scenario order-good-idle.
	It("does not derive the slow threshold from a few requests of the old version", func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 8))
			j := move.NewSequentialJudge(move.FalseAlarmBound)
			for i := range 200 {
				oldRequests, newRequests, permille := 0, 1, uint32(1000)
				if i < 3 {
					oldRequests, newRequests, permille = 1, 0, 50
				}
				j.Observe(start.Add(time.Duration(i+1)*10*time.Second), move.Stage{Permille: permille, Targets: eightTargets}, []move.Sample{
					randomSample(rng, sampleKey("lookup", false), oldRequests, healthy), randomSample(rng, sampleKey("lookup", true), newRequests, healthy),
				})
			}
			Expect(j.Verdict().Bad).To(BeFalse(), "seed %d: %s", seed, j.Verdict().Reason)
		}
	})

	// Guards against a version that counts as proved without evidence.
	It("returns no negative RegressionLLR without requests of the new version", func() {
		j := move.NewSequentialJudge(move.FalseAlarmBound)
		Expect(intervalsToRejection(j, 1, 50, 200, 0, healthy, healthy, 0)).To(BeZero())
		Expect(j.Verdict().RegressionLLR).To(BeNumerically(">=", 0))
	})
})

var _ = Describe("Brake", func() {
	// Guards against a daemon that keeps sending requests to a failing version while
	// the controller is unreachable, and against a brake that is released later.
	It("is set by the daemon's own samples and stays set", func() {
		b := move.NewBrake(nil)
		rng := rand.New(rand.NewPCG(5, 5))
		observe := func(n int, newBehaviour behaviour) {
			for range n {
				b.Observe(start, move.Stage{Permille: 100, Targets: eightTargets}, []move.Sample{
					randomSample(rng, sampleKey("lookup", false), 90, healthy), randomSample(rng, sampleKey("lookup", true), 10, newBehaviour),
				})
			}
		}
		observe(100, healthy)
		_, set := b.Set()
		Expect(set).To(BeFalse())
		observe(20, behaviour{errorRate: 0.5, meanLatency: 20 * time.Millisecond})
		reason, set := b.Set()
		Expect(set).To(BeTrue())
		Expect(reason).To(ContainSubstring("error rate"))
		observe(100, healthy)
		_, set = b.Set()
		Expect(set).To(BeTrue())
	})

	// Guards against a bad version that keeps half of the traffic for the duration of
	// a controller outage, because each daemon relies on the controller to detect it.
	It("is set sooner while the controller is unreachable", func() {
		intervals := func(unreachable bool) int {
			b := move.NewBrake(nil)
			rng := rand.New(rand.NewPCG(7, 7))
			for i := range 200 {
				newBehaviour := healthy
				if i >= 50 {
					newBehaviour = behaviour{errorRate: 0.3, meanLatency: 20 * time.Millisecond}
				}
				stage := move.Stage{Permille: 500, Targets: eightTargets, ControllerUnreachable: unreachable}
				b.Observe(start.Add(time.Duration(i)*move.SampleInterval), stage, []move.Sample{
					randomSample(rng, sampleKey("lookup", false), 50, healthy), randomSample(rng, sampleKey("lookup", true), 50, newBehaviour),
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
