package move_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// flappingFleet simulates a service with six old targets and two new ones, of which one goes
// down and up by turns. Requests that run on it when it goes down have no answer.
type flappingFleet struct {
	rng *rand.Rand
	// from and until bound the time in which the target goes down and up.
	from, until time.Duration
	// newVersionAt returns the new version's behaviour at a time since the order.
	newVersionAt func(since time.Duration) behaviour
	// targetCapacity is the rate, in requests per second, from which a target is overloaded.
	targetCapacity float64
}

const (
	flapPeriod       = 1300 * time.Millisecond
	fleetRequestRate = 1250
	// crashLosses is the number of requests that are lost when the target goes down, of a
	// version that has all requests.
	crashLosses = 20
	// quietRouteRate is the rate of a route with few requests.
	quietRouteRate = 15
	// overloadSlowdown is the factor of the latency of an overloaded target.
	overloadSlowdown = 8
)

func (f *flappingFleet) newTargets(since time.Duration) int {
	if since >= f.from && since < f.until && (since-f.from)%flapPeriod < flapPeriod/2 {
		return 1
	}
	return 2
}

// flapResult is what happened in a move beside a flapping target.
type flapResult struct {
	kind move.DecisionKind
	at   time.Duration
	// advancedInShortage is true if the move advanced above ProvingPermille while one target
	// was down.
	advancedInShortage bool
	// badAnswers counts the failures until the decision, and exposedLate the requests to the
	// new version later than the rollback bound after its 50th failure.
	badAnswers, exposedLate int
}

// run plays a move of the given window until its decision.
func (f *flappingFleet) run(window time.Duration) flapResult {
	const tick, rollback = 100 * time.Millisecond, 5 * time.Second
	p := move.NewPlanner(move.Config{Ticket: openTicket(window, model.OnTime)}, start)
	var result flapResult
	var fiftieth time.Duration
	down := false
	var samples []move.Sample
	for since := time.Duration(0); since < 2*window; since += tick {
		now, share := start.Add(since), float64(p.Step().Permille)/move.FullProgress
		targets := f.newTargets(since)
		b := f.newVersionAt(since)
		if fleetRequestRate*share/float64(targets) > f.targetCapacity {
			b.meanLatency *= overloadSlowdown
		}
		n := fleetRequestRate * tick.Seconds()
		newSample := randomSample(f.rng, sampleKey("look", true), int(n*share+f.rng.Float64()), b)
		result.badAnswers += int(newSample.AnsweredErrors)
		if targets == 1 && !down {
			lost := randomSample(f.rng, sampleKey("look", true), int(crashLosses*share+f.rng.Float64()), healthy)
			lost.Errors, lost.AnsweredErrors = lost.Requests, 0
			newSample.Add(&lost)
		}
		down = targets == 1
		if result.badAnswers >= 50 && fiftieth == 0 {
			fiftieth = since
		}
		if fiftieth > 0 && since > fiftieth+rollback {
			result.exposedLate += int(newSample.Requests)
		}
		// A route with few requests, and one whose callers stop.
		quiet := []string{"scan"}
		if since < f.from+3*time.Second {
			quiet = append(quiet, "ended")
		}
		for _, route := range quiet {
			for _, isNew := range []bool{false, true} {
				part := share
				if !isNew {
					part = 1 - share
				}
				samples = append(samples, randomSample(f.rng, sampleKey(route, isNew), int(quietRouteRate*tick.Seconds()*part+f.rng.Float64()), b))
			}
		}
		samples = append(samples, newSample, randomSample(f.rng, sampleKey("look", false), int(n*(1-share)), healthy))
		if since%move.SampleInterval == 0 {
			p.Observe(now, samples)
			samples = nil
		}
		decision := p.Next(now, move.Conditions{EvidenceLive: true, Targets: map[string]move.TargetCount{"order": {New: targets, Old: 6}}})
		result.advancedInShortage = result.advancedInShortage || decision.Kind == move.Advance && decision.Step.Permille > move.ProvingPermille && targets == 1 && since > f.from+time.Second
		if decision.Kind == move.TakeBack || decision.Kind == move.Finish {
			result.kind, result.at = decision.Kind, since
			return result
		}
	}
	result.at = 2 * window
	return result
}

var _ = Describe("a move beside one of two new targets that goes down and up", func() {
	const window, flapping = 16 * time.Second, 6500 * time.Millisecond
	failing := behaviour{errorRate: 0.5, meanLatency: healthy.meanLatency}
	slow := behaviour{errorRate: healthy.errorRate, meanLatency: 5 * healthy.meanLatency}
	var entries []TableEntry
	for _, from := range []time.Duration{0, 1500 * time.Millisecond, 3 * time.Second, 5500 * time.Millisecond, 7 * time.Second, 9 * time.Second, 11 * time.Second} {
		for seed := range uint64(3) {
			entries = append(entries, Entry(fmt.Sprintf("from %s on, seed %d", from, seed), from, seed))
		}
	}
	fleetWith := func(from time.Duration, seed uint64, at func(time.Duration) behaviour) *flappingFleet {
		return &flappingFleet{rng: rand.New(rand.NewPCG(seed, 7)), from: from, until: from + flapping, newVersionAt: at, targetCapacity: fleetRequestRate}
	}

	// Guards against dropped evidence: a version that failed in half of its answers went on
	// to half of the requests, and was taken back when the target stayed up.
	DescribeTable("is taken back when the version fails at the same time", func(from time.Duration, seed uint64) {
		result := fleetWith(from, seed, func(since time.Duration) behaviour {
			if since >= from {
				return failing
			}
			return healthy
		}).run(window)
		Expect(result.kind).To(Equal(move.TakeBack))
		Expect(result.exposedLate).To(BeZero(), "taken back at %s", result.at)
	}, entries)

	// Guards against steps of a version that is slow beside the shortage, where only its
	// latencies show that and none of them count.
	DescribeTable("does not advance while evidence is dropped", func(from time.Duration, seed uint64) {
		result := fleetWith(from, seed, func(since time.Duration) behaviour {
			if since >= from {
				return slow
			}
			return healthy
		}).run(window)
		Expect(result.kind).To(Equal(move.TakeBack))
		Expect(result.advancedInShortage).To(BeFalse())
	}, entries)

	// Guards against a move that waits although answers are evidence, and against a good
	// version that is taken back for requests that were lost with the target.
	DescribeTable("is completed in time when the version is good", func(from time.Duration, seed uint64) {
		result := fleetWith(from, seed, func(time.Duration) behaviour { return healthy }).run(window)
		Expect(result.kind).To(Equal(move.Finish))
		Expect(result.at).To(BeNumerically("<=", window))
	}, entries)

	// Guards against a good version that is taken back because its other target is overloaded
	// in the meantime. The move waits, so that it may end after its time.
	DescribeTable("is completed when the version is good and the other target is overloaded", func(from time.Duration, seed uint64) {
		f := fleetWith(from, seed, func(time.Duration) behaviour { return healthy })
		f.targetCapacity = 0.7 * fleetRequestRate
		Expect(f.run(window).kind).To(Equal(move.Finish))
	}, entries)
})
