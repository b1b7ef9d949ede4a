package move_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

func TestMove(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "move")
}

var start = time.UnixMilli(1_000_000_000_000).UTC()

const ticket = 7

func openTicket(window time.Duration, prefer model.Preference) *model.OpenTicket {
	return &model.OpenTicket{
		Ticket: &model.Ticket{
			Number:   ticket,
			Services: []model.Service{{Name: "order", Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": 100}}},
			Moves:    []model.Move{{Service: "order", Finish: start.Add(window), Prefer: prefer}},
		},
		Accepted: start,
		Before:   model.Image{Services: map[string]*model.Service{"order": {Name: "order"}}},
	}
}

func sampleKey(route string, isNew bool) move.SampleKey {
	return move.SampleKey{Ticket: ticket, Route: route, Service: "order", New: isNew}
}

// behaviour describes the responses of a version: the fraction of errors, and the mean
// of exponentially distributed latencies.
type behaviour struct {
	errorRate   float64
	meanLatency time.Duration
}

var healthy = behaviour{errorRate: 0.001, meanLatency: 20 * time.Millisecond}

// randomSample returns a sample of n requests with the behaviour b.
func randomSample(rng *rand.Rand, k move.SampleKey, n int, b behaviour) move.Sample {
	s := move.Sample{Key: k, Requests: uint32(n)}
	for range n {
		if rng.Float64() < b.errorRate {
			s.Errors++
			s.AnsweredErrors++
		}
		s.Latency[move.BucketOf(time.Duration(rng.ExpFloat64()*float64(b.meanLatency)))]++
	}
	return s
}

var (
	eightTargets   = map[string]move.TargetCount{"order": {New: 8, Old: 8}}
	goodConditions = move.Conditions{EvidenceLive: true, Targets: eightTargets}
)

// simulatedFleet simulates the daemons: it sends the planner the evidence of its
// current step.
type simulatedFleet struct {
	rng               *rand.Rand
	requestsPerSecond float64
	// newVersionAt returns the new version's behaviour at a time since the start and a
	// progress.
	newVersionAt func(since time.Duration, permille uint32) behaviour
	// conditions returns the conditions at a time since the start.
	conditions func(since time.Duration) move.Conditions
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	return &simulatedFleet{
		rng:               rand.New(rand.NewPCG(seed, 1)),
		requestsPerSecond: 400,
		newVersionAt:      func(time.Duration, uint32) behaviour { return healthy },
		conditions:        func(time.Duration) move.Conditions { return goodConditions },
	}
}

// run calls the planner once per SampleInterval until it decides TakeBack or Finish, or
// until the time since the start is until. It returns the time and the last decision.
func (f *simulatedFleet) run(p *move.Planner, from, until time.Duration) (time.Duration, move.Decision) {
	var last move.Decision
	for since := from; since < until; since += move.SampleInterval {
		now := start.Add(since)
		c := f.conditions(since)
		if c.EvidenceLive {
			f.sendEvidence(p, since)
		}
		last = p.Next(now, c)
		if last.Kind == move.TakeBack || last.Kind == move.Finish {
			return since, last
		}
	}
	return until, last
}

// sendEvidence passes the samples of one interval to the planner, split between the
// versions by its step.
func (f *simulatedFleet) sendEvidence(p *move.Planner, since time.Duration) {
	n := f.requestsPerSecond * move.SampleInterval.Seconds()
	share := float64(p.Step().Permille) / move.FullProgress
	oldSample := randomSample(f.rng, sampleKey("lookup", false), f.randomCount(n*(1-share)), healthy)
	newSample := randomSample(f.rng, sampleKey("lookup", true), f.randomCount(n*share), f.newVersionAt(since, p.Step().Permille))
	p.Observe(start.Add(since), []move.Sample{oldSample, newSample})
}

// randomCount returns mean rounded up or down at random, so that its expected value is
// mean.
func (f *simulatedFleet) randomCount(mean float64) int {
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}
