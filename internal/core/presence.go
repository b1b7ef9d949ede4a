package core

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// presence tracks through which child each member is reached, and which
// endpoint changes are still to be sent to the neighbors.
type presence struct {
	// viaChild maps a member to the child link that last claimed it.
	viaChild map[string]peer.LinkID
	// missing maps members whose link is down to the time when it went down.
	missing map[string]time.Time
	// claimConflicts maps members that two children claimed with the same entry
	// to the time of the last such claim.
	claimConflicts map[string]time.Time
	// dirty holds the changed endpoints that are to be sent to the neighbors.
	dirty map[string]dirtyEntry
	// delayed holds new children without a target, whose endpoints are sent
	// later.
	delayed map[string]delayedEntry
	// nextSweep is when a new controller marks the members lost that no child
	// has claimed.
	nextSweep time.Time
}

func (p *presence) init() {
	p.viaChild = map[string]peer.LinkID{}
	p.missing = map[string]time.Time{}
	p.claimConflicts = map[string]time.Time{}
	p.dirty = map[string]dirtyEntry{}
	p.delayed = map[string]delayedEntry{}
}

// inSubtree reports whether the member is in this node's subtree.
func (p *presence) inSubtree(vm string) bool {
	_, ok := p.viaChild[vm]
	return ok
}

// addToSubtree records that the member is reached through the child's link, and
// reports whether this is a change.
func (p *presence) addToSubtree(vm string, id peer.LinkID) bool {
	delete(p.missing, vm)
	if p.viaChild[vm] == id {
		return false
	}
	p.viaChild[vm] = id
	return true
}

// removeFromSubtree records that the member left the subtree. The announcement
// of a member of the subtree arrives from below first, so one that arrives from
// the parent was made elsewhere. Without this, a relay whose child had lost the
// member kept claiming it, and the controller did not count it in the subtree
// that it had moved to.
func (p *presence) removeFromSubtree(vm string) { delete(p.viaChild, vm) }

// markMissing records that the child and the members behind its link are
// missing.
func (p *presence) markMissing(vm string, id peer.LinkID, now time.Time) {
	for other, viaChild := range p.viaChild {
		if viaChild == id {
			p.missing[other] = now
			delete(p.viaChild, other)
		}
	}
	p.missing[vm] = now
}

// removeOverdue removes and returns the members that have been missing for at
// least limit.
func (p *presence) removeOverdue(now time.Time, limit time.Duration) []string {
	var overdue []string
	for _, vm := range slices.Sorted(maps.Keys(p.missing)) {
		if now.Sub(p.missing[vm]) >= limit {
			delete(p.missing, vm)
			overdue = append(overdue, vm)
		}
	}
	return overdue
}

// dirtyEntry describes how a changed endpoint is sent to the neighbors.
type dirtyEntry struct {
	// from is the link that the change came from.
	from peer.LinkID
	// described is set if the neighbors lack the entry's description.
	described bool
}

// markDirty schedules an entry for the next tick, which sends it to the
// neighbors.
func (p *presence) markDirty(vm string, from peer.LinkID, described bool) {
	_, delayed := p.delayed[vm]
	delete(p.delayed, vm)
	p.dirty[vm] = dirtyEntry{from: from, described: described || delayed || p.dirty[vm].described}
}

// delayedEntry is a new endpoint that is sent to the neighbors when its target
// is known, or at the latest at the time until.
type delayedEntry struct {
	from  peer.LinkID
	until time.Time
}

// joinDelay is how long a relay waits for the target of a new child. Targets
// announce themselves every 2 s. A daemon without a target takes no requests,
// and sending its endpoint to all daemons twice made up a third of a restart's
// bytes.
const joinDelay = 2500 * time.Millisecond

// releaseDelayed schedules the delayed entries that are due.
func (p *presence) releaseDelayed(now time.Time) {
	for _, vm := range slices.Sorted(maps.Keys(p.delayed)) {
		if entry := p.delayed[vm]; !now.Before(entry.until) {
			p.markDirty(vm, entry.from, true)
		}
	}
}

// tickMembers marks members lost that did not reattach in time, expires old
// entries and sends the changes to the neighbors.
func (n *Node) tickMembers() {
	n.markOverdueLost()
	n.resolveClaimConflicts()
	n.sweepUnclaimed()
	expired := n.members.Expire(n.now, n.cfg.Timings.MemberExpiry, tombstoneTTL)
	if n.isController() {
		for _, e := range expired {
			n.deleteAnnouncement(e.VM, e.Incarnation)
		}
	}
	n.tree.expireSuspects(n.now)
	n.tree.releaseDelayed(n.now)
	n.flushEndpoints()
}

func (n *Node) markOverdueLost() {
	for _, vm := range n.tree.removeOverdue(n.now, n.cfg.Timings.EndpointLost) {
		n.markLost(vm)
	}
}

func (n *Node) markLost(vm string) {
	if _, changed := n.members.MarkLost(n.now, vm); changed {
		n.tree.markDirty(vm, noLink, false)
		n.publishDue = true
	}
}

// sweepUnclaimed marks the members lost that have not reattached below a new
// controller. The relays that would have detected their loss may have failed
// too.
func (n *Node) sweepUnclaimed() {
	t := &n.tree
	if t.nextSweep.IsZero() || n.now.Before(t.nextSweep) {
		return
	}
	if !n.isController() {
		t.nextSweep = time.Time{}
		return
	}
	t.nextSweep = n.now.Add(n.cfg.Timings.MemberExpiry)
	for _, e := range n.members.Live() {
		if !t.inSubtree(e.VM) && e.VM != n.cfg.VM {
			n.markLost(e.VM)
		}
	}
}
