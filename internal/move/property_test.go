package move_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// The seed is fixed, so that the tests give the same verdict on every run.
// The command line can set another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestPlannerProperties drives a planner with random evidence, conditions,
// brakes and changes of controller. It guards against steps out of order,
// progress that jumps or rises while braked, and progress without live evidence.
func TestPlannerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 9))
		prefer := rapid.SampledFrom([]model.Preference{model.OnTime, model.Careful}).Draw(t, "prefer")
		open := openTicket(time.Duration(rapid.IntRange(-10, 300).Draw(t, "window"))*time.Second, prefer)
		p := move.NewPlanner(move.Config{Ticket: open, Epoch: 1}, start)
		epoch, braked := uint64(1), false
		now := start
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0:
				p.Braked(now, "brake")
				braked = true
			case 1:
				epoch++
				p = move.NewPlanner(move.Config{Ticket: open, Epoch: epoch, Start: p.Step()}, now)
				braked = false
			default:
				n := rapid.IntRange(0, 300).Draw(t, "requests")
				fresh := n * int(p.Step().Permille) / move.FullProgress
				p.Observe(now, []move.Sample{draw(rng, key("lookup", false), n-fresh, usual), draw(rng, key("lookup", true), fresh, usual)})
			}
			before := p.Step()
			c := move.Conditions{EvidenceLive: rapid.IntRange(0, 9).Draw(t, "live") > 0, Targets: eight}
			d := p.Next(now, c)
			checkDecision(t, before, d, c, braked, epoch)
			if d.Kind == move.TakeBack || d.Kind == move.Finish {
				return
			}
		}
	})
}

// fixedJudge always has the same verdict.
type fixedJudge struct{ verdict move.Verdict }

func (fixedJudge) Observe(time.Time, move.Stage, []move.Sample) {}

func (f fixedJudge) Verdict() move.Verdict { return f.verdict }

// TestUnprovedShare guards against more than 5% of the traffic for a version
// that the judge strongly doubts, or of which no evidence arrives, whatever
// the time, the preference and the conditions.
func TestUnprovedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 9))
		prefer := rapid.SampledFrom([]model.Preference{model.OnTime, model.Careful}).Draw(t, "prefer")
		silent := rapid.Bool().Draw(t, "silent")
		cfg := move.Config{Ticket: openTicket(time.Duration(rapid.IntRange(-10, 120).Draw(t, "window"))*time.Second, prefer), Epoch: 1}
		if !silent {
			cfg.Judge = fixedJudge{move.Verdict{Doubt: rapid.Float64Range(5, 100).Draw(t, "doubt")}}
		}
		p := move.NewPlanner(cfg, start)
		for i := range rapid.IntRange(1, 600).Draw(t, "intervals") {
			now := start.Add(time.Duration(i) * move.SampleInterval)
			samples := []move.Sample{draw(rng, key("lookup", false), rapid.IntRange(50, 100).Draw(t, "old"), usual)}
			if !silent {
				samples = append(samples, draw(rng, key("lookup", true), 5, usual))
			}
			p.Observe(now, samples)
			p.Next(now, move.Conditions{EvidenceLive: rapid.IntRange(0, 9).Draw(t, "live") > 0, Targets: eight})
			if p.Step().Permille > 50 {
				t.Fatalf("an unproved version got %d permille", p.Step().Permille)
			}
		}
	})
}

func checkDecision(t *rapid.T, before move.Step, d move.Decision, c move.Conditions, braked bool, epoch uint64) {
	if braked && d.Kind != move.TakeBack {
		t.Fatalf("decided %v while braked", d.Kind)
	}
	if d.Kind == move.Finish && before.Permille != move.FullProgress {
		t.Fatalf("finished at %d permille", before.Permille)
	}
	if d.Kind != move.Advance {
		return
	}
	if !c.EvidenceLive {
		t.Fatalf("advanced without live evidence")
	}
	if !d.Step.Newer(before) || d.Step.Epoch != epoch || d.Step.Ticket != ticket {
		t.Fatalf("step %+v does not follow %+v in epoch %d", d.Step, before, epoch)
	}
	next := map[uint32]uint32{0: 10, 10: 20, 20: 50, 50: 100, 100: 250, 250: 500, 500: 750, 750: 1000}
	if next[before.Permille] != d.Step.Permille {
		t.Fatalf("went from %d to %d permille", before.Permille, d.Step.Permille)
	}
}
