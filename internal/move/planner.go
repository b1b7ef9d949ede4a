package move

import (
	"math"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// DecisionKind is the action that a Decision requests.
type DecisionKind int

// Kinds of decisions.
const (
	// Hold keeps the current step of the ticket.
	Hold DecisionKind = iota
	// Advance applies Decision.Step.
	Advance
	// TakeBack records the outcome taken-back and stops the new versions.
	TakeBack
	// Finish records the outcome done.
	Finish
)

// String returns the kind's name.
func (k DecisionKind) String() string {
	switch k {
	case Hold:
		return "hold"
	case Advance:
		return "advance"
	case TakeBack:
		return "take-back"
	case Finish:
		return "finish"
	}
	return "unknown"
}

// Decision is the next action of the controller for an open ticket.
type Decision struct {
	Kind DecisionKind
	// Step is set for Advance.
	Step Step
	// Reason is set for TakeBack and Hold.
	Reason string
}

// TargetCount holds the numbers of ready targets of a service.
type TargetCount struct {
	// New counts the targets of versions whose share grows with the ticket.
	New int
	// Old counts the other targets.
	Old int
}

// Conditions holds the controller's inputs to a decision other than the evidence.
type Conditions struct {
	// EvidenceLive is true when evidence from all daemons that carry traffic can
	// reach the controller.
	EvidenceLive bool
	// Targets holds the number of ready targets by service, for the services that
	// the ticket moves.
	Targets map[string]TargetCount
}

// Config configures a Planner.
type Config struct {
	Ticket *model.OpenTicket
	// Epoch is the controller's epoch, which is part of every step.
	Epoch uint64
	// Start is the latest known step of the ticket; the zero value means none.
	Start Step
	// Judge compares the versions; nil means NewSequentialJudge(FalseAlarmBound).
	Judge Judge
}

// Planner decides the steps and the outcome of one open ticket. It is not safe for
// concurrent use.
type Planner struct {
	epoch          uint64
	step           Step
	judge          Judge
	schedule       schedule
	traffic        *trafficTracker
	targets        *TargetTracker
	pendingSamples []Sample
	flushedAt      time.Time
	createdAt      time.Time
	// stepAt is the time of the decision for the current step.
	stepAt        time.Time
	brakeReason   string
	finalDecision *Decision
}

// NewPlanner returns a planner that continues from cfg.Start.
func NewPlanner(cfg Config, now time.Time) *Planner {
	judge := cfg.Judge
	if judge == nil {
		judge = NewSequentialJudge(FalseAlarmBound)
	}
	step := cfg.Start
	step.Ticket = cfg.Ticket.Ticket.Number
	schedule := newSchedule(cfg.Ticket)
	return &Planner{
		epoch:     cfg.Epoch,
		step:      step,
		judge:     judge,
		schedule:  schedule,
		traffic:   newTrafficTracker(now),
		targets:   NewTargetTracker(cfg.Ticket, step.Permille > 0),
		flushedAt: now,
		createdAt: now,
		stepAt:    now,
	}
}

// Step returns the current step.
func (p *Planner) Step() Step { return p.step }

// Observe adds evidence. It ignores samples of other tickets.
func (p *Planner) Observe(now time.Time, samples []Sample) {
	for i := range samples {
		if samples[i].Key.Ticket != p.step.Ticket {
			continue
		}
		p.pendingSamples = append(p.pendingSamples, samples[i])
		p.traffic.add(now, &samples[i])
	}
}

// RecordBrake records that a daemon has set its brake, so that the next decision is
// TakeBack. The planner keeps the first reason that is not empty.
func (p *Planner) RecordBrake(_ time.Time, reason string) {
	if p.brakeReason == "" {
		p.brakeReason = reason
	}
	if p.brakeReason == "" {
		p.brakeReason = "a daemon set its brake"
	}
}

// Next returns the decision at the time now. After TakeBack or Finish it returns the
// same decision again.
func (p *Planner) Next(now time.Time, c Conditions) Decision {
	if p.finalDecision != nil {
		return *p.finalDecision
	}
	p.targets.Update(now, c.Targets, p.step)
	p.flush(now)
	decision := p.decide(now, c)
	switch decision.Kind {
	case TakeBack, Finish:
		p.finalDecision = &decision
	case Advance:
		p.step = decision.Step
		p.stepAt = now
		p.traffic.startStep(now)
	}
	return decision
}

// flush passes the samples since the last interval to the judge. Intervals are not
// shorter than half of SampleInterval, so that samples of old and new versions that
// were collected in the same interval are compared with each other.
func (p *Planner) flush(now time.Time) {
	if len(p.pendingSamples) == 0 || now.Sub(p.flushedAt) < SampleInterval/2 {
		return
	}
	p.judge.Observe(now, p.targets.Stage(now, p.step), MergeSamples(p.pendingSamples))
	p.pendingSamples = p.pendingSamples[:0]
	p.flushedAt = now
}

func (p *Planner) decide(now time.Time, c Conditions) Decision {
	if p.brakeReason != "" {
		return Decision{Kind: TakeBack, Reason: p.brakeReason}
	}
	if v := p.judge.Verdict(); v.Bad {
		return Decision{Kind: TakeBack, Reason: v.Reason}
	}
	if p.step.Permille > 0 && p.targets.withoutTargets(now) {
		return Decision{Kind: TakeBack, Reason: "the new version has no ready target"}
	}
	if reason := p.blockedReason(now, c); reason != "" {
		return p.holdOrTakeBack(now, c, reason)
	}
	if p.step.Permille >= FullProgress {
		return Decision{Kind: Finish}
	}
	return Decision{Kind: Advance, Step: p.nextStep()}
}

// blockedReason returns why the move cannot advance or finish yet, or "" if it can.
func (p *Planner) blockedReason(now time.Time, c Conditions) string {
	switch {
	case now.Before(p.nextStepTime(now)):
		return "the time of the next step has not come"
	case !c.EvidenceLive:
		return "evidence does not reach the controller"
	case !p.targets.allReady():
		return "the new version has no ready target"
	}
	if p.step.Permille > 0 && p.judge.Verdict().EvidenceDropped {
		return "the new version is not proved again since evidence of it was dropped"
	}
	if missing := p.traffic.missingEvidence(now, p.step.Permille); missing != "" {
		return "evidence of the new version is missing: " + missing
	}
	switch {
	case p.step.Permille == ProvingPermille && p.traffic.hasUnseenRoute(now, p.schedule.firstRequestWait()):
		return "a route has not used the new version yet"
	case p.step.Permille == ProvingPermille && !p.proved(now):
		return "the new version is not yet proved"
	}
	return ""
}

// holdOrTakeBack returns Hold, or TakeBack when the move is overdue. An overdue move
// is not taken back while evidence cannot reach the controller.
func (p *Planner) holdOrTakeBack(now time.Time, c Conditions, reason string) Decision {
	from := p.schedule.finish
	if p.createdAt.After(from) {
		from = p.createdAt
	}
	late := now.Sub(from) > p.schedule.gracePeriod()
	if late && c.EvidenceLive && p.step.Permille < FullProgress {
		return Decision{Kind: TakeBack, Reason: "not finished in time: " + reason}
	}
	return Decision{Kind: Hold, Reason: reason}
}

// nextStepIsSmall reports whether the next step is at most ProvingPermille and gives
// the new versions so few requests that waiting for its time only delays the
// evidence.
func (p *Planner) nextStepIsSmall(now time.Time) bool {
	next := nextPermille(p.step.Permille)
	return next <= ProvingPermille && p.traffic.totalRate(now)*float64(next)/FullProgress <= smallStepRate
}

// nextStepTime returns the earliest time of the next step, or of the outcome done at
// full progress.
func (p *Planner) nextStepTime(now time.Time) time.Time {
	if p.step.Permille >= FullProgress {
		return p.schedule.earliestFinish(p.stepAt)
	}
	if p.step.Permille == 0 {
		return p.createdAt.Add(minDwell)
	}
	earliest := p.stepAt.Add(p.schedule.dwell())
	at := p.schedule.stepStart(nextPermille(p.step.Permille))
	if p.nextStepIsSmall(now) && p.traffic.newRequestsInStep() {
		return p.stepAt.Add(minDwell)
	}
	if at.Before(earliest) || p.nextStepIsSmall(now) {
		return earliest
	}
	return at
}

// proved reports whether the evidence is sufficient for a progress above
// ProvingPermille.
func (p *Planner) proved(now time.Time) bool {
	return p.judge.Verdict().RegressionLLR <= p.schedule.allowedLLR(now)
}

func (p *Planner) nextStep() Step {
	permille := nextPermille(p.step.Permille)
	return Step{
		Ticket:   p.step.Ticket,
		Epoch:    p.epoch,
		Number:   p.step.Number + 1,
		Permille: permille,
		Focus:    p.focus(permille),
	}
}

// focus returns the number of targets among which the new version's traffic is
// distributed, so that each has its full load already at this progress; zero means
// all targets. During the warm-up all targets receive traffic.
func (p *Planner) focus(permille uint32) uint32 {
	if permille <= warmUpPermille || permille <= ProvingPermille && p.targets.coldFraction() > 0 {
		return 0
	}
	var focus uint32
	narrowed := false
	for _, n := range p.targets.readyCounts() {
		k := uint32(math.Ceil(float64(permille) * float64(n) / FullProgress))
		focus = max(focus, k)
		narrowed = narrowed || int(k) < n
	}
	if !narrowed {
		return 0
	}
	return focus
}
