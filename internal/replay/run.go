package replay

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

const (
	// nextMs is how often the controller decides.
	nextMs = 200
	// settleMs is how long evidence must flow after an outage to count as live.
	settleMs = 1000
	// graceMs is how long after the finish time an unfinished move is replayed.
	graceMs = 120_000
	// ticketNumber is the number of the replayed ticket.
	ticketNumber = 1
)

// epoch is the wall clock at the start of a trace.
var epoch = time.UnixMilli(0).UTC()

func clock(ms int64) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Run replays the trace under the sequential and the baseline judge.
func Run(t *trace.Trace, o Options) Result {
	o = o.withDefaults()
	sequential := judges{
		controller: func() move.Judge { return move.NewSequentialJudge(move.FalseAlarmBound) },
		daemon:     func() move.Judge { return move.NewCautiousJudge(move.BrakeFalseAlarmBound) },
	}
	baseline := judges{
		controller: func() move.Judge { return move.NewBaselineJudge() },
		daemon:     func() move.Judge { return move.NewBaselineJudge() },
	}
	return Result{
		Trace:      t.Header.Name,
		User:       t.Header.User,
		Stated:     t.Header.Outcome,
		FinishMs:   t.Header.Ticket.FinishMs,
		Seed:       o.Seed,
		Sequential: newRun(t, o, sequential).play(),
		Baseline:   newRun(t, o, baseline).play(),
	}
}

// judges makes the judges of one replay.
type judges struct {
	controller func() move.Judge
	daemon     func() move.Judge
}

// run is one replay of a trace under one judge.
type run struct {
	world   *world
	options Options
	rng     *rand.Rand
	judges  judges
	ticket  *model.OpenTicket
	planner *move.Planner
	// takeovers counts the changes of controller that the planner has seen.
	takeovers int
	lastStep  move.Step
	daemons   []*daemon
	evidence  []envelope
	brakes    []notice
	observer  observer
	out       Outcome
	ended     bool
	crashKeys uint64
}

type envelope struct {
	atMs    int64
	samples []move.Sample
}

type notice struct {
	atMs   int64
	reason string
}

func newRun(t *trace.Trace, o Options, j judges) *run {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(t.Header.Name))
	r := &run{
		world:    newWorld(t),
		options:  o,
		rng:      rand.New(rand.NewPCG(o.Seed, hash.Sum64())),
		judges:   j,
		ticket:   openTicket(&t.Header),
		observer: newObserver(&t.Header),
		out:      Outcome{End: Open, EndMs: -1, FullMs: -1, RecordedMs: -1, ShownMs: -1, EvidentMs: -1, StoppedMs: -1, ProvedMs: -1},
	}
	for range o.Daemons {
		r.daemons = append(r.daemons, newDaemon(j.daemon(), r.ticket))
	}
	return r
}

func openTicket(h *trace.Header) *model.OpenTicket {
	ticket := &model.Ticket{Number: ticketNumber}
	before := map[string]*model.Service{}
	for _, s := range h.Services {
		versions := []string{s.OldVersion, s.NewVersion}
		ticket.Services = append(ticket.Services, model.Service{
			Name: s.Name, Versions: versions, Shares: map[string]uint32{s.NewVersion: model.TotalShare},
		})
		ticket.Moves = append(ticket.Moves, model.Move{
			Service: s.Name, Finish: clock(h.Ticket.FinishMs), Prefer: model.Preference(h.Ticket.Prefer),
		})
		before[s.Name] = &model.Service{
			Name: s.Name, Versions: versions, Shares: map[string]uint32{s.OldVersion: model.TotalShare}, Proved: []string{s.OldVersion},
		}
	}
	return &model.OpenTicket{Ticket: ticket, Accepted: clock(h.Ticket.AcceptedMs), Revision: 1, Before: model.Image{Services: before}}
}

// play runs until the move has ended and its effect has reached every daemon.
func (r *run) play() Outcome {
	h := r.world.header
	last := max(h.Ticket.FinishMs, h.Ticket.AcceptedMs) + graceMs
	stopAt := last
	for now := h.Ticket.AcceptedMs / tickMs * tickMs; now < min(last, stopAt); now += tickMs {
		r.world.advance(now)
		r.tick(now)
		if r.ended && stopAt == last && r.world.controlUntil <= now {
			stopAt = now + 2*r.options.StepDelay.Milliseconds()
		}
	}
	r.finish()
	return r.out
}

func (r *run) tick(now int64) {
	for i, d := range r.daemons {
		d.finish(now)
		d.receive(now)
		r.drain(now, i, d)
	}
	r.observer.finish(now, &r.out)
	if now%nextMs == 0 && !r.ended {
		r.control(now)
	}
	r.traffic(now)
	r.crashes(now)
}

// controlLost reports whether nothing passes between controller and daemons.
func (r *run) controlLost(now int64) bool { return now < r.world.controlUntil }

// drain ends the daemon's interval when it is due. The daemons' intervals are
// spread evenly.
func (r *run) drain(now int64, index int, d *daemon) {
	interval := move.SampleInterval.Milliseconds()
	phase := int64(index) * tickMs % interval
	if now%interval != phase {
		return
	}
	samples, reason, set := d.drain(clock(now), r.targets(now), r.world.cutOff(now))
	if set {
		r.out.Brakes++
		at := max(now, r.world.controlUntil) + r.options.StepDelay.Milliseconds()
		r.brakes = append(r.brakes, notice{atMs: at, reason: reason})
	}
	if !r.controlLost(now) {
		r.evidence = append(r.evidence, envelope{atMs: now + r.options.EvidenceDelay.Milliseconds(), samples: samples})
	}
}

// control lets the controller decide.
func (r *run) control(now int64) {
	if now < r.world.takeoverUntil {
		r.planner = nil
		r.evidence = nil
		return
	}
	if r.planner == nil || r.takeovers != r.world.takeovers {
		r.takeovers = r.world.takeovers
		r.planner = move.NewPlanner(move.Config{
			Ticket: r.ticket,
			Epoch:  uint64(r.takeovers) + 1,
			Start:  r.lastStep,
			Judge:  r.judges.controller(),
		}, clock(now))
	}
	r.deliver(now)
	r.apply(now, r.planner.Next(clock(now), r.conditions(now)))
}

func (r *run) deliver(now int64) {
	for len(r.evidence) > 0 && r.evidence[0].atMs <= now {
		r.planner.Observe(clock(now), r.evidence[0].samples)
		r.evidence = r.evidence[1:]
	}
	for _, b := range r.brakes {
		if b.atMs <= now {
			r.planner.RecordBrake(clock(now), b.reason)
		}
	}
}

func (r *run) conditions(now int64) move.Conditions {
	return move.Conditions{
		EvidenceLive: now >= r.world.controlUntil+settleMs || r.world.controlUntil == 0,
		Targets:      r.targets(now),
	}
}

func (r *run) targets(now int64) map[string]move.TargetCount {
	counts := map[string]move.TargetCount{}
	for _, s := range r.world.order {
		counts[s.name] = move.TargetCount{
			New: s.versions[newVersion].ready(now),
			Old: s.versions[oldVersion].ready(now),
		}
	}
	return counts
}

func (r *run) apply(now int64, d move.Decision) {
	switch d.Kind {
	case move.Advance:
		r.lastStep = d.Step
		r.noteStep(now, d.Step)
		for _, daemon := range r.daemons {
			daemon.send(r.rng, max(now, r.world.controlUntil), r.options.StepDelay, d.Step)
		}
	case move.TakeBack:
		r.end(now, TakenBack, d.Reason)
		for _, daemon := range r.daemons {
			daemon.stop(r.rng, max(now, r.world.controlUntil), r.options.StepDelay)
		}
	case move.Finish:
		r.end(now, Done, "")
	}
}

func (r *run) noteStep(now int64, s move.Step) {
	r.out.MaxPermille = max(r.out.MaxPermille, s.Permille)
	if s.Permille > provingPermille && r.out.ProvedMs < 0 {
		r.out.ProvedMs = now
	}
	if s.Permille == move.FullProgress && r.out.FullMs < 0 {
		r.out.FullMs = now
	}
}

func (r *run) end(now int64, end End, reason string) {
	r.ended = true
	r.out.End = end
	r.out.Reason = reason
	r.out.EndMs = now
	r.out.RecordedMs = max(now, r.world.platformUntil)
}

func (r *run) finish() {
	h := r.world.header
	if h.Outcome == trace.Bad {
		r.out.Right = r.out.End == TakenBack
		return
	}
	r.out.Right = r.out.End == Done && r.out.EndMs <= h.Ticket.FinishMs
}
