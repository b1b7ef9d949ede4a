package core

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// trackClaimConflict records a claim with the same entry with which another
// child has claimed the member. When a relay and its former child attach to
// this node at the same time, both claim the members below that child, and the
// order of the claims does not show where the members are. A newer entry ends
// the conflict.
func (n *Node) trackClaimConflict(id peer.LinkID, e *member.Endpoint, sameEntry bool) {
	t := &n.tree
	other, known := t.viaChild[e.VM]
	switch {
	case !sameEntry:
		delete(t.claimConflicts, e.VM)
	case known && other != id && t.children[other] != nil:
		t.claimConflicts[e.VM] = n.now
	}
}

// resolveClaimConflicts marks a member with conflicting claims lost when the
// child that claimed it last acknowledges fewer members than it claimed. The
// member then announces itself again with a higher sequence, and only the relay
// above it claims that. Without this, the member is missing from the
// acknowledgements permanently: no ticket is stated to be in force, and all
// moves are held.
func (n *Node) resolveClaimConflicts() {
	t := &n.tree
	if len(t.claimConflicts) == 0 {
		return
	}
	claimed := n.claimedMembers()
	for _, vm := range slices.Sorted(maps.Keys(t.claimConflicts)) {
		if n.now.Sub(t.claimConflicts[vm]) < n.cfg.Timings.EndpointLost {
			continue
		}
		delete(t.claimConflicts, vm)
		id := t.viaChild[vm]
		if c := t.children[id]; c != nil && c.ack.GetMembers() < claimed[id] {
			n.markLost(vm)
		}
	}
}
