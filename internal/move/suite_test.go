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

func key(route string, isNew bool) move.SampleKey {
	return move.SampleKey{Ticket: ticket, Route: route, Service: "order", New: isNew}
}

// behaviour is what a version does: a fraction of errors, and latencies that
// are exponential with the mean.
type behaviour struct {
	errors float64
	mean   time.Duration
}

var usual = behaviour{errors: 0.001, mean: 20 * time.Millisecond}

func draw(rng *rand.Rand, k move.SampleKey, n int, b behaviour) move.Sample {
	s := move.Sample{Key: k, Requests: uint32(n)}
	for range n {
		if rng.Float64() < b.errors {
			s.Errors++
		}
		s.Latency[move.BucketOf(time.Duration(rng.ExpFloat64()*float64(b.mean)))]++
	}
	return s
}

var (
	eight = map[string]move.TargetCount{"order": {New: 8, Old: 8}}
	fine  = move.Conditions{EvidenceLive: true, Targets: eight}
)

// world plays the daemons: it gives the planner the evidence of its step.
type world struct {
	rng       *rand.Rand
	perSecond float64
	// at returns the new version's behaviour at a time since the start.
	at func(since time.Duration, permille uint32) behaviour
	// conditions returns the conditions at a time since the start.
	conditions func(since time.Duration) move.Conditions
}

func newWorld(seed uint64) *world {
	return &world{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		perSecond:  400,
		at:         func(time.Duration, uint32) behaviour { return usual },
		conditions: func(time.Duration) move.Conditions { return fine },
	}
}

// play drives the planner until it ends, or until the time since the start.
func (w *world) play(p *move.Planner, from, until time.Duration) (time.Duration, move.Decision) {
	var last move.Decision
	for since := from; since < until; since += move.SampleInterval {
		now := start.Add(since)
		c := w.conditions(since)
		if c.EvidenceLive {
			w.send(p, since)
		}
		last = p.Next(now, c)
		if last.Kind == move.TakeBack || last.Kind == move.Finish {
			return since, last
		}
	}
	return until, last
}

func (w *world) send(p *move.Planner, since time.Duration) {
	n := w.perSecond * move.SampleInterval.Seconds()
	share := float64(p.Step().Permille) / move.FullProgress
	old := draw(w.rng, key("lookup", false), w.count(n*(1-share)), usual)
	fresh := draw(w.rng, key("lookup", true), w.count(n*share), w.at(since, p.Step().Permille))
	p.Observe(start.Add(since), []move.Sample{old, fresh})
}

func (w *world) count(mean float64) int {
	n := int(mean)
	if w.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}
