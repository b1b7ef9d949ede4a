package core

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// movePlans is the controller's work on open tickets.
type movePlans struct {
	planners map[uint64]*move.Planner
	// ending holds the tickets whose outcome is being written.
	ending map[uint64]bool
	next   time.Time
	// holding says why the open tickets do not advance.
	holding map[uint64]string
}

func (m *movePlans) init() {
	m.planners = map[uint64]*move.Planner{}
	m.ending = map[uint64]bool{}
	m.holding = map[uint64]string{}
}

// tickMoves sends evidence up, and lets the controller decide.
func (n *Node) tickMoves() {
	n.flushEvidence()
	if !n.isController() || n.now.Before(n.moves.next) {
		return
	}
	n.moves.next = n.now.Add(n.cfg.Timings.Evidence)
	for number := range n.moves.planners {
		if n.state.Open[number] == nil {
			delete(n.moves.planners, number)
			delete(n.moves.ending, number)
			delete(n.moves.holding, number)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(n.state.Open)) {
		n.decide(n.state.Open[number])
	}
}

func (n *Node) planner(open *model.OpenTicket) *move.Planner {
	number := open.Ticket.Number
	p, ok := n.moves.planners[number]
	if ok {
		return p
	}
	p = move.NewPlanner(move.Config{Ticket: open, Epoch: n.lease.epoch, Start: n.steps[number]}, n.now)
	n.moves.planners[number] = p
	return p
}

func (n *Node) decide(open *model.OpenTicket) {
	number := open.Ticket.Number
	p := n.planner(open)
	if brake, ok := n.brakes[number]; ok {
		p.RecordBrake(n.now, brake.GetReason())
	}
	decision := p.Next(n.now, move.Conditions{EvidenceLive: n.evidenceLive(), Targets: n.targetCounts(open)})
	n.moves.holding[number] = decision.Reason
	switch decision.Kind {
	case move.Advance:
		n.advance(decision.Step)
	case move.TakeBack:
		n.setBrake(noLink, &wire.Brake{Ticket: number, Reason: decision.Reason, Vm: n.cfg.VM})
		n.recordOutcome(model.Outcome{Ticket: number, Result: model.TakenBack, Reason: decision.Reason, At: n.now})
	case move.Finish:
		n.recordOutcome(model.Outcome{Ticket: number, Result: model.Done, At: n.now})
	}
}

// evidenceLive reports whether every live member is below the controller.
func (n *Node) evidenceLive() bool {
	return int(n.subtreeAck().GetMembers()) >= n.members.LiveCount()
}

// targetCounts counts the ready targets of the services that the ticket moves.
func (n *Node) targetCounts(open *model.OpenTicket) map[string]move.TargetCount {
	counts := map[string]move.TargetCount{}
	for _, m := range open.Ticket.Moves {
		counts[m.Service] = move.TargetCount{}
	}
	for _, e := range n.members.Live() {
		count, moved := counts[e.Target.Service]
		if !moved || e.State != member.Ready {
			continue
		}
		if gains(open, e.Target.Service, e.Target.Version) {
			count.New++
		} else {
			count.Old++
		}
		counts[e.Target.Service] = count
	}
	return counts
}

// gains reports whether the version's share grows by the ticket.
func gains(open *model.OpenTicket, service, version string) bool {
	target := open.NewService(service)
	if target == nil {
		return false
	}
	var before uint32
	if old := open.Before.Services[service]; old != nil {
		before = old.Shares[version]
	}
	return target.Shares[version] > before
}

func (n *Node) advance(step move.Step) {
	n.applyStep(step)
	n.toChildren(stepsFrame([]move.Step{step}))
}

func (n *Node) applyStep(step move.Step) {
	n.steps[step.Ticket] = step
	n.publishDue = true
	n.emit(timeline.StepApplied, func(e *timeline.Event) {
		e.Ticket = step.Ticket
		e.Epoch = step.Epoch
		e.Detail = permilleText(step.Permille)
	})
}

// stepsReceived takes over newer steps and passes them on. Steps of an epoch
// below the known controller's come from a controller that was replaced.
func (n *Node) stepsReceived(in []*wire.Step) {
	var fresh []move.Step
	for _, w := range in {
		step := move.Step{Ticket: w.GetTicket(), Epoch: w.GetEpoch(), Number: w.GetNumber(), Permille: min(w.GetPermille(), move.FullProgress), Focus: w.GetFocus()}
		known, ok := n.steps[step.Ticket]
		if ok && !step.Newer(known) {
			continue
		}
		if n.ended(step.Ticket) {
			continue
		}
		n.applyStep(step)
		fresh = append(fresh, step)
	}
	if len(fresh) > 0 {
		n.toChildren(stepsFrame(fresh))
	}
}

// ended reports whether the ticket is part of the state and no longer open.
func (n *Node) ended(ticket uint64) bool {
	return ticket <= n.state.LastTicket && n.state.Open[ticket] == nil
}

func stepsFrame(steps []move.Step) *wire.Frame {
	out := &wire.Steps{}
	for _, s := range steps {
		out.Steps = append(out.Steps, &wire.Step{Ticket: s.Ticket, Epoch: s.Epoch, Number: s.Number, Permille: s.Permille, Focus: s.Focus})
	}
	return &wire.Frame{Body: &wire.Frame_Steps{Steps: out}}
}

// recordOutcome appends the end of a ticket to the log. The check of the
// epoch item refuses a controller that was replaced while it was paused.
func (n *Node) recordOutcome(outcome model.Outcome) {
	if n.moves.ending[outcome.Ticket] {
		return
	}
	record := &model.Record{Revision: n.state.Revision + 1, At: n.now, Outcome: &outcome}
	writes, err := appendWrites(record)
	if err != nil {
		return
	}
	kept, err := outcomeWrite(outcome, record.Revision)
	if err != nil {
		return
	}
	check := platform.Write{Op: platform.Check, Condition: platform.IfRev, WantRev: n.lease.epoch, Item: platform.Item{Key: epochKey}}
	n.moves.ending[outcome.Ticket] = true
	epoch := n.lease.epoch
	n.call(Call{Transact: append(writes, kept, check)}, func(r PlatformResult) {
		if n.lease.held && n.lease.epoch == epoch {
			delete(n.moves.ending, outcome.Ticket)
		}
		if r.Err == nil {
			n.emit(timeline.OutcomeRecorded, func(e *timeline.Event) {
				e.Ticket = outcome.Ticket
				e.Revision = record.Revision
				e.Epoch = epoch
				e.Detail = string(outcome.Result) + " " + outcome.Reason
			})
		}
		if fault.Is(r.Err, fault.ConditionFailed) {
			n.verifyLease()
		}
		// Whatever the answer was, the log tells; the next decision tries
		// again if the ticket is still open then.
		n.pollLog()
	})
}

// brakesReceived takes over brakes and passes them on. A brake only lowers
// traffic, so it needs no epoch.
func (n *Node) brakesReceived(from peer.LinkID, in []*wire.Brake) {
	for _, b := range in {
		n.setBrake(from, b)
	}
}

func (n *Node) setBrake(from peer.LinkID, b *wire.Brake) {
	if _, known := n.brakes[b.GetTicket()]; known || n.ended(b.GetTicket()) {
		return
	}
	n.brakes[b.GetTicket()] = b
	n.publishDue = true
	n.emit(timeline.BrakeSet, func(e *timeline.Event) {
		e.Ticket = b.GetTicket()
		e.Detail = b.GetVm() + ": " + b.GetReason()
	})
	n.spread(from, &wire.Frame{Body: &wire.Frame_Brakes{Brakes: &wire.Brakes{Brakes: []*wire.Brake{b}}}})
	n.moves.next = time.Time{}
}

// spread sends a frame to every neighbor but the one it came from.
func (n *Node) spread(from peer.LinkID, frame *wire.Frame) {
	for _, id := range n.childIDs() {
		if id != from {
			n.send(id, frame)
		}
	}
	if p := n.tree.parent; p != nil && p.id != from {
		n.send(p.id, frame)
	}
}

// strikeSeen counts a crash of this VM's target.
func (n *Node) strikeSeen(fingerprint uint64) {
	n.mergeStrike(noLink, &wire.Strike{Fingerprint: fingerprint, Count: n.strikes[fingerprint] + 1})
}

func (n *Node) strikesReceived(from peer.LinkID, in []*wire.Strike) {
	for _, s := range in {
		n.mergeStrike(from, s)
	}
}

// maxStrikes bounds the fingerprints that a node remembers.
const maxStrikes = 4096

func (n *Node) mergeStrike(from peer.LinkID, s *wire.Strike) {
	if s.GetCount() <= n.strikes[s.GetFingerprint()] {
		return
	}
	if len(n.strikes) >= maxStrikes {
		clear(n.strikes)
	}
	n.strikes[s.GetFingerprint()] = s.GetCount()
	n.effects = append(n.effects, PublishStrikes{Counts: maps.Clone(n.strikes)})
	n.spread(from, &wire.Frame{Body: &wire.Frame_Strikes{Strikes: &wire.Strikes{Strikes: []*wire.Strike{s}}}})
	fingerprint := s.GetFingerprint()
	n.after(strikeValid, func() {
		delete(n.strikes, fingerprint)
		n.effects = append(n.effects, PublishStrikes{Counts: maps.Clone(n.strikes)})
	})
}

// strikeValid is how long a crash count is kept.
const strikeValid = 10 * time.Minute

// syncSoftState sends a new child the soft state.
func (n *Node) syncSoftState(id peer.LinkID) {
	if len(n.steps) > 0 {
		var steps []move.Step
		for _, number := range slices.Sorted(maps.Keys(n.steps)) {
			steps = append(steps, n.steps[number])
		}
		n.send(id, stepsFrame(steps))
	}
	if len(n.brakes) > 0 {
		out := &wire.Brakes{}
		for _, number := range slices.Sorted(maps.Keys(n.brakes)) {
			out.Brakes = append(out.Brakes, n.brakes[number])
		}
		n.send(id, &wire.Frame{Body: &wire.Frame_Brakes{Brakes: out}})
	}
	if len(n.strikes) > 0 {
		out := &wire.Strikes{}
		for _, fingerprint := range slices.Sorted(maps.Keys(n.strikes)) {
			out.Strikes = append(out.Strikes, &wire.Strike{Fingerprint: fingerprint, Count: n.strikes[fingerprint]})
		}
		n.send(id, &wire.Frame{Body: &wire.Frame_Strikes{Strikes: out}})
	}
	if n.statement.revision > 0 {
		n.send(id, n.statementFrame())
	}
}
