package core

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// claimSubtree sends a new parent the members below this node. The node
// increments its own sequence, so that every relay that marked this VM lost
// accepts it as live again.
func (n *Node) claimSubtree() {
	t := &n.tree
	n.announceSelf(!t.hadParent)
	claim := member.Batch{ClaimsSubtree: true, Entries: []member.Endpoint{n.self.WithoutDescription()}}
	if !t.hadParent {
		claim.Entries[0] = n.self
	}
	t.hadParent = true
	for _, vm := range slices.Sorted(maps.Keys(t.viaChild)) {
		if e, ok := n.members.Get(vm); ok && vm != n.cfg.VM {
			claim.Entries = append(claim.Entries, e.WithoutDescription())
		}
	}
	n.sendBatch(t.parent.id, &claim)
}

// endpointsFromChild merges the entries and records which members are reached
// through the link.
func (n *Node) endpointsFromChild(id peer.LinkID, body *wire.Endpoints) {
	b, ok := n.decodeBatch(id, body)
	if !ok {
		return
	}
	if b.ClaimsSubtree {
		for i := range b.Entries {
			n.claimReceived(id, &b.Entries[i])
		}
	}
	n.mergeEndpoints(id, b)
}

// endpointsFromParent merges the entries and answers a comparison of tables.
func (n *Node) endpointsFromParent(id peer.LinkID, body *wire.Endpoints) {
	b, ok := n.decodeBatch(id, body)
	if !ok {
		return
	}
	n.mergeEndpoints(id, b)
	n.answerComparison(id, b)
}

func (n *Node) decodeBatch(id peer.LinkID, body *wire.Endpoints) (*member.Batch, bool) {
	encoded, err := wire.BatchOf(body)
	if err == nil {
		var b *member.Batch
		if b, err = member.DecodeBatch(encoded); err == nil {
			return b, true
		}
	}
	n.refuseLink(id, err.Error())
	return nil, false
}

// claimReceived records that a member is below the child. A claim with an older
// entry than the stored one, or for a member that is a child itself, comes from
// a relay that the member has left, and is ignored.
func (n *Node) claimReceived(id peer.LinkID, e *member.Endpoint) {
	known, ok := n.members.Get(e.VM)
	if e.VM == n.cfg.VM || ok && known.Newer(e) {
		return
	}
	for other, c := range n.tree.children {
		if c.vm == e.VM && other != id {
			return
		}
	}
	n.trackClaimConflict(id, e, ok && !e.Newer(&known))
	// A newer entry is sent to the neighbors when it is merged.
	if n.tree.addToSubtree(e.VM, id) && ok && !e.Newer(&known) {
		n.tree.markDirty(e.VM, id, false)
	}
}

// mergeEndpoints merges newer entries and schedules them for the neighbors. It
// requests the description of a short entry that refers to one that this node
// lacks.
func (n *Node) mergeEndpoints(from peer.LinkID, b *member.Batch) {
	n.sendWanted(from, b.WantedDescriptions)
	var wanted []string
	for i := range b.Entries {
		e := &b.Entries[i]
		switch {
		case e.VM == "" || e.State < member.Ready || e.State > member.Gone:
		case e.VM == n.cfg.VM:
			n.reassertSelf(e)
		case !n.mergeEndpoint(from, e, b.Sync):
			wanted = append(wanted, e.VM)
		}
	}
	n.sendBatch(from, &member.Batch{Sync: true, WantedDescriptions: wanted})
}

// mergeEndpoint merges an entry and reports whether its description is present.
// A stored entry that is received again, other than in a comparison of tables,
// means that a relay elsewhere has claimed the member.
func (n *Node) mergeEndpoint(from peer.LinkID, e *member.Endpoint, sync bool) bool {
	known, ok := n.members.Get(e.VM)
	if !sync && (!ok || !known.Newer(e)) {
		delete(n.tree.missing, e.VM)
	}
	if ok && !e.Newer(&known) {
		return true
	}
	if p := n.tree.parent; p != nil && p.id == from && e.AnnouncedAfter(&known) {
		n.tree.removeFromSubtree(e.VM)
	}
	if n.members.LacksDescription(e) {
		return false
	}
	newDescription := !known.SameDescription(e)
	n.members.Merge(n.now, *e)
	if n.joinsWithoutTarget(from, e, &known) {
		n.tree.delayed[e.VM] = delayedEntry{from: from, until: n.now.Add(joinDelay)}
	} else {
		n.tree.markDirty(e.VM, from, newDescription)
	}
	n.publishDue = true
	return true
}

// joinsWithoutTarget reports whether the entry is of a new start of a child
// that has no target yet. An entry that replaces a live one is not delayed,
// since the target of the live entry is gone; neither is that of a lost child
// that returns without a restart.
func (n *Node) joinsWithoutTarget(from peer.LinkID, e, known *member.Endpoint) bool {
	c := n.tree.children[from]
	_, pending := n.tree.dirty[e.VM]
	if c == nil || c.vm != e.VM || pending || e.State != member.Ready || e.Incarnation == known.Incarnation {
		return false
	}
	merged, _ := n.members.Get(e.VM)
	return merged.Target.Service == "" && (known.VM == "" || known.State >= member.Lost)
}

// flushEndpoints sends the changed entries to every neighbor except the one
// that they came from. One frame for all changes of a tick limits the traffic
// of bursts of churn.
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
			e, ok := n.members.Get(vm)
			switch d := t.dirty[vm]; {
			case !ok || d.from == id:
			case d.described:
				out = append(out, e.ForTransfer())
			default:
				out = append(out, e.WithoutDescription())
			}
		}
		n.sendChanged(id, out)
	}
	clear(t.dirty)
}

// sendChanged sends changed entries to a neighbor. Only entries of members
// of this subtree are sent to the parent as a claim.
func (n *Node) sendChanged(id peer.LinkID, changed []member.Endpoint) {
	t := &n.tree
	var claims, others []member.Endpoint
	for _, e := range changed {
		if t.parent != nil && t.parent.id == id && (t.inSubtree(e.VM) || e.VM == n.cfg.VM) {
			claims = append(claims, e)
		} else {
			others = append(others, e)
		}
	}
	n.sendBatch(id, &member.Batch{ClaimsSubtree: true, Entries: claims})
	n.sendBatch(id, &member.Batch{Entries: others})
}
