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

// movePlans is the controller's state of the moves of open tickets.
type movePlans struct {
	planners map[uint64]*move.Planner
	// recordingOutcome holds the tickets whose outcome is being written.
	recordingOutcome map[uint64]bool
	nextDecision     time.Time
	// holdReasons contains, by ticket, why an open ticket does not advance.
	holdReasons map[uint64]string
}

func (m *movePlans) init() {
	m.planners = map[uint64]*move.Planner{}
	m.recordingOutcome = map[uint64]bool{}
	m.holdReasons = map[uint64]string{}
}

// tickMoves sends evidence to the parent. On the controller it also decides on
// the open tickets every EvidenceInterval.
func (n *Node) tickMoves() {
	n.flushEvidence()
	if !n.isController() || n.now.Before(n.moves.nextDecision) {
		return
	}
	n.moves.nextDecision = n.now.Add(n.cfg.Timings.EvidenceInterval)
	for number := range n.moves.planners {
		if n.state.Open[number] == nil {
			delete(n.moves.planners, number)
			delete(n.moves.recordingOutcome, number)
			delete(n.moves.holdReasons, number)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(n.state.Open)) {
		n.decideMove(n.state.Open[number])
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

func (n *Node) decideMove(open *model.OpenTicket) {
	number := open.Ticket.Number
	p := n.planner(open)
	if brake, ok := n.brakes[number]; ok {
		p.RecordBrake(n.now, brake.GetReason())
	}
	decision := p.Next(n.now, move.Conditions{EvidenceLive: n.evidenceLive(), Targets: n.targetCounts(open)})
	n.moves.holdReasons[number] = decision.Reason
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

// evidenceLive reports whether every live member is attached below the
// controller, so that its evidence arrives.
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
		if shareIncreases(open, e.Target.Service, e.Target.Version) {
			count.New++
		} else {
			count.Old++
		}
		counts[e.Target.Service] = count
	}
	return counts
}

// shareIncreases reports whether the ticket increases the version's share.
func shareIncreases(open *model.OpenTicket, service, version string) bool {
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
	n.sendToChildren(stepsFrame([]move.Step{step}))
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

// stepsReceived applies newer steps and forwards them to the children. Steps of
// an epoch below the current controller's come from a controller that was
// replaced.
func (n *Node) stepsReceived(in []*wire.Step) {
	var fresh []move.Step
	for _, w := range in {
		step := move.Step{Ticket: w.GetTicket(), Epoch: w.GetEpoch(), Number: w.GetNumber(), Permille: min(w.GetPermille(), move.FullProgress), Focus: w.GetFocus()}
		known, ok := n.steps[step.Ticket]
		if ok && !step.Newer(known) {
			continue
		}
		if n.ticketEnded(step.Ticket) {
			continue
		}
		n.applyStep(step)
		fresh = append(fresh, step)
	}
	if len(fresh) > 0 {
		n.sendToChildren(stepsFrame(fresh))
	}
}

// ticketEnded reports whether the ticket is part of the state and no longer open.
func (n *Node) ticketEnded(ticket uint64) bool {
	return ticket <= n.state.LastTicket && n.state.Open[ticket] == nil
}

func stepsFrame(steps []move.Step) *wire.Frame {
	out := &wire.Steps{}
	for _, s := range steps {
		out.Steps = append(out.Steps, &wire.Step{Ticket: s.Ticket, Epoch: s.Epoch, Number: s.Number, Permille: s.Permille, Focus: s.Focus})
	}
	return &wire.Frame{Body: &wire.Frame_Steps{Steps: out}}
}

// recordOutcome appends the outcome of a ticket to the log. The transaction
// checks the epoch item as a fencing token, which rejects a controller that was
// replaced while it was paused.
func (n *Node) recordOutcome(outcome model.Outcome) {
	if n.moves.recordingOutcome[outcome.Ticket] {
		return
	}
	record := &model.Record{Revision: n.state.Revision + 1, At: n.now, Outcome: &outcome}
	writes, err := appendWrites(record)
	if err != nil {
		return
	}
	outcomePut, err := outcomeWrite(outcome, record.Revision)
	if err != nil {
		return
	}
	check := platform.Write{Op: platform.Check, Condition: platform.IfRev, WantRev: n.lease.epoch, Item: platform.Item{Key: epochKey}}
	n.moves.recordingOutcome[outcome.Ticket] = true
	epoch := n.lease.epoch
	n.call(Call{Transact: append(writes, outcomePut, check)}, func(r PlatformResult) {
		if n.lease.acquired && n.lease.epoch == epoch {
			delete(n.moves.recordingOutcome, outcome.Ticket)
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
		// The log shows whether the write was applied, whatever the response
		// was. The next decision retries if the ticket is still open then.
		n.pollLog()
	})
}

// brakesReceived sets the brakes and forwards them. A brake only lowers
// traffic, so it needs no epoch.
func (n *Node) brakesReceived(from peer.LinkID, in []*wire.Brake) {
	for _, b := range in {
		n.setBrake(from, b)
	}
}

func (n *Node) setBrake(from peer.LinkID, b *wire.Brake) {
	if _, known := n.brakes[b.GetTicket()]; known || n.ticketEnded(b.GetTicket()) {
		return
	}
	n.brakes[b.GetTicket()] = b
	n.publishDue = true
	n.emit(timeline.BrakeSet, func(e *timeline.Event) {
		e.Ticket = b.GetTicket()
		e.Detail = b.GetVm() + ": " + b.GetReason()
	})
	n.sendToOthers(from, &wire.Frame{Body: &wire.Frame_Brakes{Brakes: &wire.Brakes{Brakes: []*wire.Brake{b}}}})
	n.moves.nextDecision = time.Time{}
}

// sendToOthers sends a frame to every neighbor except the one that it came
// from.
func (n *Node) sendToOthers(from peer.LinkID, frame *wire.Frame) {
	for _, id := range n.childIDs() {
		if id != from {
			n.send(id, frame)
		}
	}
	if p := n.tree.parent; p != nil && p.id != from {
		n.send(p.id, frame)
	}
}

// crashReported increments the crash count of a request that crashed this VM's
// target.
func (n *Node) crashReported(fingerprint uint64) {
	n.mergeStrike(noLink, &wire.Strike{Fingerprint: fingerprint, Count: n.crashCounts[fingerprint] + 1})
}

func (n *Node) strikesReceived(from peer.LinkID, in []*wire.Strike) {
	for _, s := range in {
		n.mergeStrike(from, s)
	}
}

// maxCrashCounts bounds the number of request fingerprints with a crash count.
const maxCrashCounts = 4096

func (n *Node) mergeStrike(from peer.LinkID, s *wire.Strike) {
	if s.GetCount() <= n.crashCounts[s.GetFingerprint()] {
		return
	}
	if len(n.crashCounts) >= maxCrashCounts {
		clear(n.crashCounts)
	}
	n.crashCounts[s.GetFingerprint()] = s.GetCount()
	n.effects = append(n.effects, PublishCrashCounts{Counts: maps.Clone(n.crashCounts)})
	n.sendToOthers(from, &wire.Frame{Body: &wire.Frame_Strikes{Strikes: &wire.Strikes{Strikes: []*wire.Strike{s}}}})
	fingerprint := s.GetFingerprint()
	n.after(crashCountTTL, func() {
		delete(n.crashCounts, fingerprint)
		n.effects = append(n.effects, PublishCrashCounts{Counts: maps.Clone(n.crashCounts)})
	})
}

// crashCountTTL is how long a crash count is kept.
const crashCountTTL = 10 * time.Minute

// syncSoftState sends a new child the soft state and the newest statement.
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
	if len(n.crashCounts) > 0 {
		out := &wire.Strikes{}
		for _, fingerprint := range slices.Sorted(maps.Keys(n.crashCounts)) {
			out.Strikes = append(out.Strikes, &wire.Strike{Fingerprint: fingerprint, Count: n.crashCounts[fingerprint]})
		}
		n.send(id, &wire.Frame{Body: &wire.Frame_Strikes{Strikes: out}})
	}
	if n.statement.revision > 0 {
		n.send(id, n.statementFrame())
	}
}
