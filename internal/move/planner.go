package move

import (
	"math"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// DecisionKind says what a Decision asks for.
type DecisionKind int

// Kinds of decisions.
const (
	// Hold keeps the current step.
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

// Decision is what the controller does next about an open ticket.
type Decision struct {
	Kind DecisionKind
	// Step is set for Advance.
	Step Step
	// Reason explains TakeBack and Hold.
	Reason string
}

// TargetCount counts the ready targets of a service.
type TargetCount struct {
	// New counts targets of versions that gain traffic by the ticket.
	New int
	// Old counts the other targets.
	Old int
}

// Conditions is what the controller knows besides the evidence.
type Conditions struct {
	// EvidenceLive is true when evidence of all daemons that carry traffic
	// can reach the controller.
	EvidenceLive bool
	// Targets counts the ready targets of each service that the ticket moves.
	Targets map[string]TargetCount
}

// Config describes the open ticket that a Planner decides.
type Config struct {
	Ticket *model.OpenTicket
	// Epoch of the controller; it stamps every step.
	Epoch uint64
	// Start is the newest known step of the ticket; the zero value means none.
	Start Step
	// Judge compares the versions; nil means a SequentialJudge.
	Judge Judge
}

// Planner decides the steps and the end of one open ticket. It is not safe
// for concurrent use.
type Planner struct {
	epoch    uint64
	step     Step
	judge    Judge
	schedule schedule
	traffic  *traffic
	targets  *TargetWatch
	pending  []Sample
	flushed  time.Time
	created  time.Time
	// stepAt is when the current step was decided.
	stepAt time.Time
	braked string
	ended  *Decision
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
		epoch:    cfg.Epoch,
		step:     step,
		judge:    judge,
		schedule: schedule,
		traffic:  newTraffic(now),
		targets:  NewTargetWatch(cfg.Ticket, step.Permille > 0),
		flushed:  now,
		created:  now,
		stepAt:   now,
	}
}

// Step returns the current step.
func (p *Planner) Step() Step { return p.step }

// Observe takes evidence. Samples of other tickets are ignored.
func (p *Planner) Observe(now time.Time, samples []Sample) {
	for i := range samples {
		if samples[i].Key.Ticket != p.step.Ticket {
			continue
		}
		p.pending = append(p.pending, samples[i])
		p.traffic.add(now, &samples[i])
	}
}

// Braked tells the planner that a daemon has set its brake. The next decision
// is to take the ticket back.
func (p *Planner) Braked(_ time.Time, reason string) {
	if p.braked == "" {
		p.braked = reason
	}
	if p.braked == "" {
		p.braked = "a daemon set its brake"
	}
}

// Next decides. After TakeBack or Finish it returns the same decision again.
func (p *Planner) Next(now time.Time, c Conditions) Decision {
	if p.ended != nil {
		return *p.ended
	}
	p.targets.Update(now, c.Targets, p.step)
	p.flush(now)
	decision := p.decide(now, c)
	switch decision.Kind {
	case TakeBack, Finish:
		p.ended = &decision
	case Advance:
		p.step = decision.Step
		p.stepAt = now
		p.traffic.startStep(now)
	}
	return decision
}

// flush gives the judge what came in since the last interval. Intervals are
// not shorter than half of SampleInterval, so that samples of old and new
// versions that were collected together are compared together.
func (p *Planner) flush(now time.Time) {
	if len(p.pending) == 0 || now.Sub(p.flushed) < SampleInterval/2 {
		return
	}
	p.judge.Observe(now, p.targets.Stage(now, p.step), MergeSamples(p.pending))
	p.pending = p.pending[:0]
	p.flushed = now
}

func (p *Planner) decide(now time.Time, c Conditions) Decision {
	if p.braked != "" {
		return Decision{Kind: TakeBack, Reason: p.braked}
	}
	if v := p.judge.Verdict(); v.Bad {
		return Decision{Kind: TakeBack, Reason: v.Reason}
	}
	if p.step.Permille > 0 && p.targets.lost(now) {
		return Decision{Kind: TakeBack, Reason: "the new version has no ready target"}
	}
	if reason := p.obstacle(now, c); reason != "" {
		return p.wait(now, c, reason)
	}
	if p.step.Permille >= FullProgress {
		return Decision{Kind: Finish}
	}
	return Decision{Kind: Advance, Step: p.following()}
}

// obstacle says why the move may not go on yet, or returns "".
func (p *Planner) obstacle(now time.Time, c Conditions) string {
	switch {
	case now.Before(p.due(now)):
		return "the time of the next step has not come"
	case !c.EvidenceLive:
		return "evidence does not reach the controller"
	case !p.targets.ready():
		return "the new version has no ready target"
	}
	if missing := p.traffic.missing(now, p.step.Permille); missing != "" {
		return "evidence of the new version is missing: " + missing
	}
	switch {
	case p.step.Permille == ProvingPermille && p.traffic.unseen(now, p.schedule.patience()):
		return "a route has not used the new version yet"
	case p.step.Permille == ProvingPermille && !p.proved(now):
		return "the new version is not yet proved"
	}
	return ""
}

// wait holds the move, or takes it back when it is overdue. A move is never
// taken back for being overdue while evidence cannot reach the controller.
func (p *Planner) wait(now time.Time, c Conditions, reason string) Decision {
	from := p.schedule.finish
	if p.created.After(from) {
		from = p.created
	}
	late := now.Sub(from) > p.schedule.overtime()
	if late && c.EvidenceLive && p.step.Permille < FullProgress {
		return Decision{Kind: TakeBack, Reason: "not finished in time: " + reason}
	}
	return Decision{Kind: Hold, Reason: reason}
}

// fewRequests reports whether the next proving step gives the new versions so
// few requests that waiting for it only delays the evidence.
func (p *Planner) fewRequests(now time.Time) bool {
	next := nextPermille(p.step.Permille)
	return next <= ProvingPermille && p.traffic.rate(now)*float64(next)/FullProgress <= smallRate
}

func (p *Planner) due(now time.Time) time.Time {
	if p.step.Permille >= FullProgress {
		return p.schedule.done(p.stepAt)
	}
	if p.step.Permille == 0 {
		return p.created.Add(minDwell)
	}
	earliest := p.stepAt.Add(p.schedule.dwell())
	at := p.schedule.enter(nextPermille(p.step.Permille))
	if p.fewRequests(now) && p.traffic.seenInStep() {
		return p.stepAt.Add(minDwell)
	}
	if at.Before(earliest) || p.fewRequests(now) {
		return earliest
	}
	return at
}

// proved reports whether the evidence suffices for more than ProvingPermille.
func (p *Planner) proved(now time.Time) bool {
	return p.judge.Verdict().Doubt <= p.schedule.allowedDoubt(now)
}

func (p *Planner) following() Step {
	permille := nextPermille(p.step.Permille)
	return Step{
		Ticket:   p.step.Ticket,
		Epoch:    p.epoch,
		Number:   p.step.Number + 1,
		Permille: permille,
		Focus:    p.focus(permille),
	}
}

// focus is the number of targets that together see their full load at the
// progress. During the warm-up the traffic is spread over all targets.
func (p *Planner) focus(permille uint32) uint32 {
	if permille <= warmUpPermille || permille <= ProvingPermille && p.targets.cold() > 0 {
		return 0
	}
	var focus uint32
	narrowed := false
	for _, n := range p.targets.counts() {
		k := uint32(math.Ceil(float64(permille) * float64(n) / FullProgress))
		focus = max(focus, k)
		narrowed = narrowed || int(k) < n
	}
	if !narrowed {
		return 0
	}
	return focus
}
