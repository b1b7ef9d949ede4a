package core

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// evidence buffers the samples of this daemon and its subtree until they are
// sent to the parent, and holds the daemon's own judges of open tickets.
type evidence struct {
	pending   []move.Sample
	judges    map[uint64]*localJudge
	nextFlush time.Time
}

// maxPendingSamples bounds the buffered samples of a node without a parent. Beyond it, the
// samples of each version are combined.
const maxPendingSamples = 4096

func (e *evidence) init() { e.judges = map[uint64]*localJudge{} }

// add buffers the samples of a child.
func (e *evidence) add(in []*wire.Sample) {
	for _, w := range in {
		e.append(move.SampleFromWire(w))
	}
}

func (e *evidence) append(s move.Sample) {
	if len(e.pending) >= maxPendingSamples {
		e.pending = move.MergeSamples(e.pending)
	}
	if len(e.pending) >= maxPendingSamples {
		e.pending = move.CombineRoutes(e.pending)
	}
	e.pending = append(e.pending, s)
}

// localJudge evaluates an open ticket from this daemon's own samples.
type localJudge struct {
	brake   *move.Brake
	targets *move.TargetTracker
}

// samplesTaken evaluates this daemon's own samples, which requires no other
// daemon, and adds them to the evidence for the controller. It also evaluates
// an interval without samples, since targets may start or stop in it.
func (n *Node) samplesTaken(samples []move.Sample) {
	for _, number := range slices.Sorted(maps.Keys(n.state.Open)) {
		ticketSamples := samplesOf(number, samples)
		for _, s := range ticketSamples {
			n.evidence.append(s)
		}
		n.judgeLocally(n.state.Open[number], ticketSamples)
	}
}

func samplesOf(ticket uint64, samples []move.Sample) []move.Sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s move.Sample) bool { return s.Key.Ticket != ticket })
}

func (n *Node) judgeLocally(open *model.OpenTicket, samples []move.Sample) {
	number := open.Ticket.Number
	step := n.steps[number]
	judge := n.evidence.judges[number]
	if judge == nil {
		judge = &localJudge{brake: move.NewBrake(nil), targets: move.NewTargetTracker(open, step.Permille > 0)}
		n.evidence.judges[number] = judge
	}
	judge.targets.Update(n.now, n.targetCounts(open), step)
	stage := judge.targets.Stage(n.now, step)
	stage.ControllerUnreachable = !n.hasControllerPath()
	judge.brake.Observe(n.now, stage, samples)
	if reason, set := judge.brake.Set(); set {
		n.setBrake(noLink, &wire.Brake{Ticket: number, Reason: reason, Vm: n.cfg.VM})
	}
}

// flushEvidence sends the buffered evidence to the parent, or passes it to the
// planners on the controller.
func (n *Node) flushEvidence() {
	e := &n.evidence
	if n.now.Before(e.nextFlush) {
		return
	}
	e.nextFlush = n.now.Add(n.cfg.Timings.EvidenceInterval)
	for number := range e.judges {
		if n.state.Open[number] == nil {
			delete(e.judges, number)
		}
	}
	if len(e.pending) == 0 {
		return
	}
	merged := move.MergeSamples(e.pending)
	switch {
	case n.isController():
		n.observe(merged)
	case n.tree.parent != nil:
		n.sendEvidence(merged)
	default:
		// Evidence that is kept until the node has a parent again is too old to
		// be useful.
		merged = nil
	}
	e.pending = e.pending[:0]
}

func (n *Node) observe(samples []move.Sample) {
	for number, open := range n.state.Open {
		if ticketSamples := samplesOf(number, samples); len(ticketSamples) > 0 {
			n.planner(open).Observe(n.now, ticketSamples)
		}
	}
}

func (n *Node) sendEvidence(samples []move.Sample) {
	out := &wire.Evidence{}
	for i := range samples {
		out.Samples = append(out.Samples, samples[i].ToWire())
	}
	n.sendToParent(&wire.Frame{Body: &wire.Frame_Evidence{Evidence: out}})
}

func permilleText(permille uint32) string {
	return strconv.FormatFloat(float64(permille)/10, 'f', -1, 64) + "%"
}
