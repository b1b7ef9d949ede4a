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

// init fixes the seed, so that the tests are reproducible. The flag rapid.seed sets
// another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestPlannerProperties runs a planner with random evidence, conditions, brakes and
// changes of controller. It guards against steps out of order, progress that skips
// steps or rises after a brake, and progress without live evidence.
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
				p.RecordBrake(now, "brake")
				braked = true
			case 1:
				epoch++
				p = move.NewPlanner(move.Config{Ticket: open, Epoch: epoch, Start: p.Step()}, now)
				braked = false
			default:
				n := rapid.IntRange(0, 300).Draw(t, "requests")
				newRequests := n * int(p.Step().Permille) / move.FullProgress
				p.Observe(now, []move.Sample{randomSample(rng, sampleKey("lookup", false), n-newRequests, healthy), randomSample(rng, sampleKey("lookup", true), newRequests, healthy)})
			}
			before := p.Step()
			c := move.Conditions{EvidenceLive: rapid.IntRange(0, 9).Draw(t, "live") > 0, Targets: eightTargets}
			d := p.Next(now, c)
			checkDecision(t, before, d, c, braked, epoch)
			if d.Kind == move.TakeBack || d.Kind == move.Finish {
				return
			}
		}
	})
}

// fixedJudge always returns the same verdict.
type fixedJudge struct{ verdict move.Verdict }

func (fixedJudge) Observe(time.Time, move.Stage, []move.Sample) {}

func (f fixedJudge) Verdict() move.Verdict { return f.verdict }

// TestUnprovedShare guards against giving more than 5% of the traffic to a version
// with strong evidence of a regression, or without any evidence, at any time and
// with any preference and conditions.
func TestUnprovedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 9))
		prefer := rapid.SampledFrom([]model.Preference{model.OnTime, model.Careful}).Draw(t, "prefer")
		silent := rapid.Bool().Draw(t, "silent")
		cfg := move.Config{Ticket: openTicket(time.Duration(rapid.IntRange(-10, 120).Draw(t, "window"))*time.Second, prefer), Epoch: 1}
		if !silent {
			cfg.Judge = fixedJudge{move.Verdict{RegressionLLR: rapid.Float64Range(5, 100).Draw(t, "llr")}}
		}
		p := move.NewPlanner(cfg, start)
		for i := range rapid.IntRange(1, 600).Draw(t, "intervals") {
			now := start.Add(time.Duration(i) * move.SampleInterval)
			samples := []move.Sample{randomSample(rng, sampleKey("lookup", false), rapid.IntRange(50, 100).Draw(t, "old"), healthy)}
			if !silent {
				samples = append(samples, randomSample(rng, sampleKey("lookup", true), 5, healthy))
			}
			p.Observe(now, samples)
			p.Next(now, move.Conditions{EvidenceLive: rapid.IntRange(0, 9).Draw(t, "live") > 0, Targets: eightTargets})
			if p.Step().Permille > 50 {
				t.Fatalf("an unproved version received %d permille of the traffic", p.Step().Permille)
			}
		}
	})
}

// checkDecision fails the test if the decision breaks a property, given the step
// before it.
func checkDecision(t *rapid.T, before move.Step, d move.Decision, c move.Conditions, braked bool, epoch uint64) {
	if braked && d.Kind != move.TakeBack {
		t.Fatalf("decided %v after a brake", d.Kind)
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
		t.Fatalf("advanced from %d to %d permille", before.Permille, d.Step.Permille)
	}
}
