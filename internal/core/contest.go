package core

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// noteContest takes note of a claim with the entry that another child has
// claimed the member with. When a relay and its former child attach to this
// node together, both claim the members below that child, and the order of the
// claims does not tell where the members are.
func (n *Node) noteContest(id peer.LinkID, e *member.Endpoint, same bool) {
	t := &n.tree
	other, known := t.via[e.VM]
	switch {
	case !same:
		delete(t.contested, e.VM)
	case known && other != id && t.children[other] != nil:
		t.contested[e.VM] = n.now
	}
}

// settleContests marks a contested member lost when the child that claimed it
// last acknowledges fewer members than it claimed. The member then announces
// itself again with a higher sequence, and only the relay above it claims that.
// Without this, the member is missing from the acknowledgements for ever: no
// ticket is stated to be in force, and all moves are held.
func (n *Node) settleContests() {
	t := &n.tree
	if len(t.contested) == 0 {
		return
	}
	claimed := n.claimedMembers()
	for _, vm := range slices.Sorted(maps.Keys(t.contested)) {
		if n.now.Sub(t.contested[vm]) < n.cfg.Timings.EndpointLost {
			continue
		}
		delete(t.contested, vm)
		id := t.via[vm]
		if c := t.children[id]; c != nil && c.ack.GetMembers() < claimed[id] {
			n.markLost(vm)
		}
	}
}
