package core

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// evidence gathers samples of this daemon and its subtree until they are sent
// up, and holds the daemon's own brakes.
type evidence struct {
	pending []move.Sample
	brakes  map[uint64]*move.Brake
	next    time.Time
}

// maxPendingSamples bounds the samples that wait, for a node without a parent.
const maxPendingSamples = 4096

func (e *evidence) init() { e.brakes = map[uint64]*move.Brake{} }

// add takes over samples of a child.
func (e *evidence) add(in []*wire.Sample) {
	for _, w := range in {
		e.append(move.SampleFromWire(w))
	}
}

func (e *evidence) append(s move.Sample) {
	if len(e.pending) >= maxPendingSamples {
		e.pending = move.MergeSamples(e.pending)
	}
	if len(e.pending) < maxPendingSamples {
		e.pending = append(e.pending, s)
	}
}

// samplesTaken judges this daemon's own samples, which needs no one else, and
// adds them to the evidence for the controller.
func (n *Node) samplesTaken(samples []move.Sample) {
	byTicket := map[uint64][]move.Sample{}
	for _, s := range samples {
		if n.state.Open[s.Key.Ticket] == nil {
			continue
		}
		byTicket[s.Key.Ticket] = append(byTicket[s.Key.Ticket], s)
		n.evidence.append(s)
	}
	for _, number := range slices.Sorted(maps.Keys(byTicket)) {
		n.judgeLocally(number, byTicket[number])
	}
}

func (n *Node) judgeLocally(number uint64, own []move.Sample) {
	brake := n.evidence.brakes[number]
	if brake == nil {
		brake = move.NewBrake(nil)
		n.evidence.brakes[number] = brake
	}
	brake.Observe(n.now, n.stage(number), own)
	if reason, set := brake.Set(); set {
		n.setBrake(noLink, &wire.Brake{Ticket: number, Reason: reason, Vm: n.cfg.VM})
	}
}

// stage describes the traffic under which this daemon took its samples.
func (n *Node) stage(number uint64) move.Stage {
	stage := move.Stage{Permille: n.steps[number].Permille}
	open := n.state.Open[number]
	var cold, all float64
	for _, e := range n.members.Live() {
		if !gains(open, e.Target.Service, e.Target.Version) {
			continue
		}
		all++
		if n.now.Sub(e.Target.Started) < coldFor {
			cold++
		}
	}
	if all > 0 {
		stage.Cold = cold / all
	}
	return stage
}

// coldFor is how long a target counts as cold after its start.
const coldFor = 10 * time.Second

// flushEvidence sends the evidence up, or feeds the controller's planners.
func (n *Node) flushEvidence() {
	e := &n.evidence
	if n.now.Before(e.next) {
		return
	}
	e.next = n.now.Add(n.cfg.Timings.Evidence)
	for number := range e.brakes {
		if n.state.Open[number] == nil {
			delete(e.brakes, number)
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
		// Without a path to the controller old evidence is worth little.
		merged = nil
	}
	e.pending = e.pending[:0]
}

func (n *Node) observe(samples []move.Sample) {
	for number, open := range n.state.Open {
		own := slices.DeleteFunc(slices.Clone(samples), func(s move.Sample) bool { return s.Key.Ticket != number })
		if len(own) > 0 {
			n.planner(open).Observe(n.now, own)
		}
	}
}

func (n *Node) sendEvidence(samples []move.Sample) {
	out := &wire.Evidence{}
	for i := range samples {
		out.Samples = append(out.Samples, samples[i].ToWire())
	}
	n.sendUp(&wire.Frame{Body: &wire.Frame_Evidence{Evidence: out}})
}

func permilleText(permille uint32) string {
	return strconv.FormatFloat(float64(permille)/10, 'f', -1, 64) + "%"
}
