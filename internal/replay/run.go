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
	// decisionIntervalMs is the interval between decisions of the controller.
	decisionIntervalMs = 200
	// evidenceSettleMs is the time after a control plane outage until evidence
	// counts as live again.
	evidenceSettleMs = 1000
	// graceMs is the time after the finish time at which the replay of an unfinished
	// move ends.
	graceMs = 120_000
	// ticketNumber is the number of the replayed ticket.
	ticketNumber = 1
)

// epoch is the wall clock at the start of a trace.
var epoch = time.UnixMilli(0).UTC()

// traceTime converts milliseconds since the start of a trace to a wall clock time.
func traceTime(ms int64) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

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
		Trace:         t.Header.Name,
		User:          t.Header.User,
		StatedOutcome: t.Header.Outcome,
		FinishMs:      t.Header.Ticket.FinishMs,
		Seed:          o.Seed,
		Sequential:    newRun(t, o, sequential).execute(),
		Baseline:      newRun(t, o, baseline).execute(),
	}
}

// judges creates the judges of the controllers and daemons of one replay.
type judges struct {
	controller func() move.Judge
	daemon     func() move.Judge
}

// run is one replay of a trace under one judge.
type run struct {
	env     *environment
	options Options
	rng     *rand.Rand
	judges  judges
	ticket  *model.OpenTicket
	planner *move.Planner
	// appliedTakeovers is the number of takeovers up to the start of the planner.
	appliedTakeovers int
	lastStep         move.Step
	daemons          []*daemon
	// evidence contains the samples in transit to the controller.
	evidence     []evidenceDelivery
	brakeNotices []brakeNotice
	observer     observer
	outcome      Outcome
	ended        bool
	// lastFailedFingerprint is the last fingerprint of a request that failed because
	// another request crashed its target.
	lastFailedFingerprint uint64
}

// evidenceDelivery is the delivery of samples to the controller.
type evidenceDelivery struct {
	atMs    int64
	samples []move.Sample
}

// brakeNotice is the notification of the controller that a daemon has set its
// brake.
type brakeNotice struct {
	atMs   int64
	reason string
}

func newRun(t *trace.Trace, o Options, j judges) *run {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(t.Header.Name))
	r := &run{
		env:      newEnvironment(t),
		options:  o,
		rng:      rand.New(rand.NewPCG(o.Seed, hash.Sum64())),
		judges:   j,
		ticket:   openTicket(&t.Header),
		observer: newObserver(&t.Header),
		outcome:  Outcome{End: Open, EndMs: -1, FullMs: -1, RecordedMs: -1, ShownMs: -1, EvidentMs: -1, StoppedMs: -1, ProvedMs: -1},
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
			Service: s.Name, Finish: traceTime(h.Ticket.FinishMs), Prefer: model.Preference(h.Ticket.Prefer),
		})
		before[s.Name] = &model.Service{
			Name: s.Name, Versions: versions, Shares: map[string]uint32{s.OldVersion: model.TotalShare}, Proved: []string{s.OldVersion},
		}
	}
	return &model.OpenTicket{Ticket: ticket, Accepted: traceTime(h.Ticket.AcceptedMs), Revision: 1, Before: model.Image{Services: before}}
}

// execute replays the trace until the move has ended and the last step or stop
// has reached every daemon.
func (r *run) execute() Outcome {
	h := r.env.header
	last := max(h.Ticket.FinishMs, h.Ticket.AcceptedMs) + graceMs
	stopAt := last
	for now := h.Ticket.AcceptedMs / tickMs * tickMs; now < min(last, stopAt); now += tickMs {
		r.env.applyLinesUntil(now)
		r.tick(now)
		if r.ended && stopAt == last && r.env.controlOutageEndMs <= now {
			stopAt = now + 2*r.options.StepDelay.Milliseconds()
		}
	}
	r.setCorrect()
	return r.outcome
}

func (r *run) tick(now int64) {
	for i, d := range r.daemons {
		d.completeRequests(now)
		d.applyDeliveries(now)
		r.drain(now, i, d)
	}
	r.observer.completeRequests(now, &r.outcome)
	if now%decisionIntervalMs == 0 && !r.ended {
		r.decide(now)
	}
	r.sendTraffic(now)
	r.sendCrashingRequests(now)
}

// controlPlaneDown reports whether controller and daemons cannot exchange
// messages.
func (r *run) controlPlaneDown(now int64) bool { return now < r.env.controlOutageEndMs }

// drain ends the daemon's sample interval when it is due. The ends of the
// daemons' intervals are spread evenly.
func (r *run) drain(now int64, index int, d *daemon) {
	interval := move.SampleInterval.Milliseconds()
	phase := int64(index) * tickMs % interval
	if now%interval != phase {
		return
	}
	samples, reason, set := d.drain(traceTime(now), r.targetCounts(now), r.env.controllerUnreachable(now))
	if set {
		r.outcome.Brakes++
		at := max(now, r.env.controlOutageEndMs) + r.options.StepDelay.Milliseconds()
		r.brakeNotices = append(r.brakeNotices, brakeNotice{atMs: at, reason: reason})
	}
	if !r.controlPlaneDown(now) {
		r.evidence = append(r.evidence, evidenceDelivery{atMs: now + r.options.EvidenceDelay.Milliseconds(), samples: samples})
	}
}

// decide applies the next decision of the controller. During a takeover there is
// no controller: it discards the planner and the samples in transit.
func (r *run) decide(now int64) {
	if now < r.env.takeoverEndMs {
		r.planner = nil
		r.evidence = nil
		return
	}
	if r.planner == nil || r.appliedTakeovers != r.env.takeovers {
		r.appliedTakeovers = r.env.takeovers
		r.planner = move.NewPlanner(move.Config{
			Ticket: r.ticket,
			Epoch:  uint64(r.appliedTakeovers) + 1,
			Start:  r.lastStep,
			Judge:  r.judges.controller(),
		}, traceTime(now))
	}
	r.deliverEvidence(now)
	r.applyDecision(now, r.planner.Next(traceTime(now), r.conditions(now)))
}

// deliverEvidence passes the samples and brake notices that have arrived to the
// planner.
func (r *run) deliverEvidence(now int64) {
	for len(r.evidence) > 0 && r.evidence[0].atMs <= now {
		r.planner.Observe(traceTime(now), r.evidence[0].samples)
		r.evidence = r.evidence[1:]
	}
	for _, b := range r.brakeNotices {
		if b.atMs <= now {
			r.planner.RecordBrake(traceTime(now), b.reason)
		}
	}
}

func (r *run) conditions(now int64) move.Conditions {
	return move.Conditions{
		EvidenceLive: now >= r.env.controlOutageEndMs+evidenceSettleMs || r.env.controlOutageEndMs == 0,
		Targets:      r.targetCounts(now),
	}
}

func (r *run) targetCounts(now int64) map[string]move.TargetCount {
	counts := map[string]move.TargetCount{}
	for _, s := range r.env.servicesInOrder {
		counts[s.name] = move.TargetCount{
			New: s.versions[newVersion].readyTargets(now),
			Old: s.versions[oldVersion].readyTargets(now),
		}
	}
	return counts
}

func (r *run) applyDecision(now int64, d move.Decision) {
	switch d.Kind {
	case move.Advance:
		r.lastStep = d.Step
		r.recordProgress(now, d.Step)
		for _, daemon := range r.daemons {
			daemon.sendStep(r.rng, max(now, r.env.controlOutageEndMs), r.options.StepDelay, d.Step)
		}
	case move.TakeBack:
		r.endMove(now, TakenBack, d.Reason)
		for _, daemon := range r.daemons {
			daemon.sendStop(r.rng, max(now, r.env.controlOutageEndMs), r.options.StepDelay)
		}
	case move.Finish:
		r.endMove(now, Done, "")
	}
}

func (r *run) recordProgress(now int64, s move.Step) {
	r.outcome.MaxPermille = max(r.outcome.MaxPermille, s.Permille)
	if s.Permille > provingPermille && r.outcome.ProvedMs < 0 {
		r.outcome.ProvedMs = now
	}
	if s.Permille == move.FullProgress && r.outcome.FullMs < 0 {
		r.outcome.FullMs = now
	}
}

func (r *run) endMove(now int64, end End, reason string) {
	r.ended = true
	r.outcome.End = end
	r.outcome.Reason = reason
	r.outcome.EndMs = now
	r.outcome.RecordedMs = max(now, r.env.platformOutageEndMs)
}

// setCorrect compares the end of the move with the expected outcome.
func (r *run) setCorrect() {
	h := r.env.header
	if h.Outcome == trace.Bad {
		r.outcome.Correct = r.outcome.End == TakenBack
		return
	}
	r.outcome.Correct = r.outcome.End == Done && r.outcome.EndMs <= h.Ticket.FinishMs
}
