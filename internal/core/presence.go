package core

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// presence tells where members were last heard of and what is to be passed on
// about them.
type presence struct {
	// via names the child link through which a member was last heard of.
	via map[string]peer.LinkID
	// missing holds members whose link went down, and since when.
	missing map[string]time.Time
	// contested holds members that two children claimed with the same entry,
	// and since when.
	contested map[string]time.Time
	// dirty holds changed endpoints to pass on.
	dirty map[string]dirtyEntry
	// held holds new children without a target, which are passed on later.
	held map[string]heldEntry
	// sweepAt is when a new controller gives up members that nobody claimed.
	sweepAt time.Time
}

func (p *presence) init() {
	p.via = map[string]peer.LinkID{}
	p.missing = map[string]time.Time{}
	p.contested = map[string]time.Time{}
	p.dirty = map[string]dirtyEntry{}
	p.held = map[string]heldEntry{}
}

// below reports whether the member is in this node's subtree.
func (p *presence) below(vm string) bool {
	_, ok := p.via[vm]
	return ok
}

// heardThrough notes that the member is behind the child's link, and reports
// whether that is news.
func (p *presence) heardThrough(vm string, id peer.LinkID) bool {
	delete(p.missing, vm)
	if p.via[vm] == id {
		return false
	}
	p.via[vm] = id
	return true
}

// movedAway notes that the member left the subtree. What a member of the
// subtree announces comes from below first, so an announcement that comes from
// the parent was made elsewhere. Without this, a relay whose child had lost the
// member went on claiming it, and the controller missed it in the subtree that
// it had moved to.
func (p *presence) movedAway(vm string) { delete(p.via, vm) }

// childGone notes that the child and the members behind its link are missing.
func (p *presence) childGone(vm string, id peer.LinkID, now time.Time) {
	for other, via := range p.via {
		if via == id {
			p.missing[other] = now
			delete(p.via, other)
		}
	}
	p.missing[vm] = now
}

// takeOverdue removes and returns the members that stayed away for the time.
func (p *presence) takeOverdue(now time.Time, limit time.Duration) []string {
	var overdue []string
	for _, vm := range slices.Sorted(maps.Keys(p.missing)) {
		if now.Sub(p.missing[vm]) >= limit {
			delete(p.missing, vm)
			overdue = append(overdue, vm)
		}
	}
	return overdue
}

// dirtyEntry is a changed endpoint that has to be passed on.
type dirtyEntry struct {
	// from is the link that the change came from.
	from peer.LinkID
	// described is set if the neighbors lack the entry's description.
	described bool
}

// markDirty passes an entry on in the next tick.
func (p *presence) markDirty(vm string, from peer.LinkID, described bool) {
	_, held := p.held[vm]
	delete(p.held, vm)
	p.dirty[vm] = dirtyEntry{from: from, described: described || held || p.dirty[vm].described}
}

// heldEntry is a new endpoint that is passed on when its target is known, or
// at the latest when its time has come.
type heldEntry struct {
	from  peer.LinkID
	until time.Time
}

// joinHold is how long a relay waits for the target of a new child. Targets
// announce themselves every 2 s. A daemon without a target takes no requests,
// and telling all daemons of it twice made up a third of a restart's bytes.
const joinHold = 2500 * time.Millisecond

// releaseHeld passes on the held entries whose time has come.
func (p *presence) releaseHeld(now time.Time) {
	for _, vm := range slices.Sorted(maps.Keys(p.held)) {
		if h := p.held[vm]; !now.Before(h.until) {
			p.markDirty(vm, h.from, true)
		}
	}
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
	n.tree.forgetSuspects(n.now)
	n.tree.releaseHeld(n.now)
	n.flushEndpoints()
}

func (n *Node) markMissing() {
	for _, vm := range n.tree.takeOverdue(n.now, n.cfg.Timings.EndpointLost) {
		n.markLost(vm)
	}
}

func (n *Node) markLost(vm string) {
	if _, changed := n.members.MarkLost(n.now, vm); changed {
		n.tree.markDirty(vm, noLink, false)
		n.publishDue = true
	}
}

// sweepUnclaimed lets a new controller give up the members that have not come
// back below it; the relays that would have noticed may have died too.
func (n *Node) sweepUnclaimed() {
	t := &n.tree
	if t.sweepAt.IsZero() || n.now.Before(t.sweepAt) {
		return
	}
	if !n.isController() {
		t.sweepAt = time.Time{}
		return
	}
	t.sweepAt = n.now.Add(n.cfg.Timings.MemberExpiry)
	for _, e := range n.members.Live() {
		if !t.below(e.VM) && e.VM != n.cfg.VM {
			n.markLost(e.VM)
		}
	}
}
