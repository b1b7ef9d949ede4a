package core

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// endpointsPerFrame keeps a frame of endpoints well below the frame limit.
const endpointsPerFrame = 1000

// claimSubtree tells a new parent which members are below this node. The own
// sequence rises, so that every relay that gave this VM up takes it back.
func (n *Node) claimSubtree() {
	n.announceSelf()
	endpoints := []member.Endpoint{n.self}
	for _, vm := range slices.Sorted(maps.Keys(n.tree.via)) {
		if e, ok := n.members.Get(vm); ok && vm != n.cfg.VM {
			endpoints = append(endpoints, e)
		}
	}
	n.sendEndpoints(n.tree.parent.id, endpoints, endpointFlags{claim: true})
}

// endpointFlags are the flags of a frame of endpoints.
type endpointFlags struct{ claim, sync bool }

// sendEndpoints sends entries. A comparison of tables is bulk, changes are not.
func (n *Node) sendEndpoints(id peer.LinkID, endpoints []member.Endpoint, flags endpointFlags) {
	for chunk := range slices.Chunk(endpoints, endpointsPerFrame) {
		out := &wire.Endpoints{Claim: flags.claim, Sync: flags.sync}
		for i := range chunk {
			out.Endpoints = append(out.Endpoints, chunk[i].ToWire())
		}
		frame := &wire.Frame{Body: &wire.Frame_Endpoints{Endpoints: out}}
		n.effects = append(n.effects, SendFrame{Link: id, Frame: frame, Bulk: flags.sync})
	}
}

// sendDifferingEndpoints sends the endpoints of the failure domains whose
// digest differs from the neighbor's. Both sides do so when a link comes up,
// since each may have marked members lost that the other knows to be live.
func (n *Node) sendDifferingEndpoints(id peer.LinkID, theirs map[string]uint64) {
	ours := n.members.Digests()
	var differing []member.Endpoint
	for _, e := range n.members.All() {
		digest, known := theirs[e.Domain]
		if !known || digest != ours[e.Domain] {
			differing = append(differing, e)
		}
	}
	if len(differing) > 0 {
		n.sendEndpoints(id, differing, endpointFlags{sync: true})
	}
}

// endpointsFromChild merges the entries and remembers which members are
// reached through the link.
func (n *Node) endpointsFromChild(id peer.LinkID, in *wire.Endpoints) {
	if in.GetClaim() {
		for _, w := range in.GetEndpoints() {
			n.claimed(id, w)
		}
	}
	n.mergeEndpoints(id, in)
}

// claimed takes note that a member is below the child. A claim with an older
// entry than the known one, or for a member that is a child itself, comes from
// a relay that the member has left.
func (n *Node) claimed(id peer.LinkID, w *wire.Endpoint) {
	e := member.FromWire(w)
	known, ok := n.members.Get(e.VM)
	if e.VM == n.cfg.VM || ok && known.Newer(&e) {
		return
	}
	for other, c := range n.tree.children {
		if c.vm == e.VM && other != id {
			return
		}
	}
	delete(n.tree.missing, e.VM)
	n.noteContest(id, &e, ok && !e.Newer(&known))
	if n.tree.via[e.VM] != id {
		n.tree.via[e.VM] = id
		n.markDirty(e.VM, id)
	}
}

// mergeEndpoints takes over newer entries and passes them on. A known entry
// that comes again, other than in a comparison of tables, means that a relay
// elsewhere has claimed the member.
func (n *Node) mergeEndpoints(from peer.LinkID, in *wire.Endpoints) {
	for _, w := range in.GetEndpoints() {
		e := member.FromWire(w)
		if e.VM == "" || e.State < member.Ready || e.State > member.Gone {
			continue
		}
		if e.VM == n.cfg.VM {
			n.defendSelf(&e)
			continue
		}
		known, ok := n.members.Get(e.VM)
		if !in.GetSync() && (!ok || !known.Newer(&e)) {
			delete(n.tree.missing, e.VM)
		}
		if n.members.Merge(n.now, e) {
			n.markDirty(e.VM, from)
			n.publishDue = true
		}
	}
}

// defendSelf overrides an entry of this VM that others hold. An entry of a
// higher incarnation is from an earlier start under a clock that was ahead.
func (n *Node) defendSelf(e *member.Endpoint) {
	if n.stopping || !e.Newer(&n.self) {
		return
	}
	n.self.Sequence = e.Sequence
	if e.Incarnation > n.self.Incarnation {
		n.self.Incarnation = e.Incarnation + 1
		n.announce.nextWrite = n.now
	}
	n.announceSelf()
}

func (n *Node) markDirty(vm string, from peer.LinkID) { n.tree.dirty[vm] = from }

// spreadEndpoints passes entries on in the next tick.
func (n *Node) spreadEndpoints(from peer.LinkID, endpoints []member.Endpoint) {
	for i := range endpoints {
		n.markDirty(endpoints[i].VM, from)
	}
}

// flushEndpoints sends the changed entries to every neighbor but the one they
// came from. One frame for a tick's changes keeps bursts of churn small.
func (n *Node) flushEndpoints() {
	t := &n.tree
	if len(t.dirty) == 0 {
		return
	}
	neighbors := n.childIDs()
	if t.parent != nil {
		neighbors = append(neighbors, t.parent.id)
	}
	changed := slices.Sorted(maps.Keys(t.dirty))
	for _, id := range neighbors {
		var out []member.Endpoint
		for _, vm := range changed {
			if e, ok := n.members.Get(vm); ok && t.dirty[vm] != id {
				out = append(out, e)
			}
		}
		n.sendChanged(id, out)
	}
	clear(t.dirty)
}

// sendChanged sends changed entries to a neighbor. What the parent gets is a
// claim for the members of this subtree only.
func (n *Node) sendChanged(id peer.LinkID, changed []member.Endpoint) {
	t := &n.tree
	var claims, others []member.Endpoint
	for _, e := range changed {
		_, below := t.via[e.VM]
		if t.parent != nil && t.parent.id == id && (below || e.VM == n.cfg.VM) {
			claims = append(claims, e)
		} else {
			others = append(others, e)
		}
	}
	n.sendEndpoints(id, claims, endpointFlags{claim: true})
	n.sendEndpoints(id, others, endpointFlags{})
}

// tickMembers gives up members that stayed away and forgets old ones.
func (n *Node) tickMembers() {
	n.markMissing()
	n.settleContests()
	n.sweepUnclaimed()
	expired := n.members.Expire(n.now, n.cfg.Timings.MemberExpiry, keepGone)
	if n.isController() {
		for _, e := range expired {
			n.deleteAnnouncement(e.VM, e.Incarnation)
		}
	}
	for vm, until := range n.tree.suspects {
		if n.now.After(until) {
			delete(n.tree.suspects, vm)
		}
	}
	n.flushEndpoints()
}

func (n *Node) markMissing() {
	for _, vm := range slices.Sorted(maps.Keys(n.tree.missing)) {
		if n.now.Sub(n.tree.missing[vm]) < n.cfg.Timings.EndpointLost {
			continue
		}
		delete(n.tree.missing, vm)
		n.markLost(vm)
	}
}

func (n *Node) markLost(vm string) {
	e, changed := n.members.MarkLost(n.now, vm)
	if !changed {
		return
	}
	n.spreadEndpoints(noLink, []member.Endpoint{e})
	n.publishDue = true
}

// sweepUnclaimed lets a new controller give up the members that have not come
// back below it; the relays that would have noticed may have died too.
func (n *Node) sweepUnclaimed() {
	t := &n.tree
	if t.sweepAt.IsZero() || n.now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = n.now.Add(n.cfg.Timings.MemberExpiry)
	if !n.isController() {
		t.sweepAt = t.sweepAt.AddDate(1, 0, 0)
		return
	}
	for _, e := range n.members.Live() {
		if _, claimed := t.via[e.VM]; !claimed && e.VM != n.cfg.VM {
			n.markLost(e.VM)
		}
	}
}
