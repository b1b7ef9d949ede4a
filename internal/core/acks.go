package core

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// statement is a controller's newest statement of which revision is in force,
// on how many members, and which members are unreachable.
type statement struct {
	revision    uint64
	epoch       uint64
	members     uint32
	unreachable []string
}

// subtreeAck combines the acknowledgements of this node and its children: the
// lowest applied revision, the number of members and the laggards.
func (n *Node) subtreeAck() *wire.Ack {
	ack := &wire.Ack{Revision: n.state.Revision, Members: 1}
	claimed := n.claimedMembers()
	for _, id := range n.childIDs() {
		c := n.tree.children[id]
		if c.ack == nil {
			ack.Revision = 0
			ack.Laggards = append(ack.Laggards, &wire.Laggard{Vm: c.vm})
			continue
		}
		ack.Revision = min(ack.Revision, c.ack.GetRevision())
		ack.Members += min(c.ack.GetMembers(), claimed[id])
		ack.Laggards = append(ack.Laggards, c.ack.GetLaggards()...)
		if c.ack.GetRevision() < n.state.Revision && len(c.ack.GetLaggards()) == 0 {
			ack.Laggards = append(ack.Laggards, &wire.Laggard{Vm: c.vm, Revision: c.ack.GetRevision()})
		}
	}
	slices.SortFunc(ack.Laggards, func(a, b *wire.Laggard) int {
		return cmp.Or(cmp.Compare(a.GetRevision(), b.GetRevision()), cmp.Compare(a.GetVm(), b.GetVm()))
	})
	ack.Laggards = ack.Laggards[:min(len(ack.Laggards), maxLaggards)]
	return ack
}

// claimedMembers counts the live members that each child claimed last. A
// subtree that moved counts at its new place only, although its old relay may
// still report it for the seconds until it detects the move.
func (n *Node) claimedMembers() map[peer.LinkID]uint32 {
	claimed := make(map[peer.LinkID]uint32, len(n.tree.children))
	for vm, id := range n.tree.viaChild {
		if e, ok := n.members.Get(vm); ok && e.State < member.Lost {
			claimed[id]++
		}
	}
	return claimed
}

// tickAcks sends the acknowledgement of the subtree to the parent if it
// changed. On the controller it updates the statement instead.
func (n *Node) tickAcks() {
	ack := n.subtreeAck()
	if n.isController() {
		n.updateStatement(ack)
		return
	}
	if n.tree.parent == nil || proto.Equal(ack, &n.tree.sentAck) {
		return
	}
	n.tree.sentAck.Reset()
	proto.Merge(&n.tree.sentAck, ack)
	n.sendToParent(&wire.Frame{Body: &wire.Frame_Ack{Ack: ack}})
}

// ackWhenComplete sends the acknowledgement as soon as the whole subtree has
// applied the newest revision, so that a ticket is stated to be in force
// without waiting for a tick at every relay. Partial progress waits for the
// tick, which keeps the relay from sending one acknowledgement for each child.
func (n *Node) ackWhenComplete() {
	for _, c := range n.tree.children {
		if c.ack == nil || c.ack.GetRevision() < n.state.Revision {
			return
		}
	}
	n.tickAcks()
}

// updateStatement states that a revision is in force once every reachable
// member has applied it. It lists the lost members. Live members that are not
// below the controller at present delay the statement until they reattach or
// are marked lost.
func (n *Node) updateStatement(ack *wire.Ack) {
	if int(ack.GetMembers()) < n.members.LiveCount() || ack.GetRevision() == 0 {
		return
	}
	var unreachable []string
	for _, e := range n.members.Lost() {
		unreachable = append(unreachable, e.VM)
	}
	s := &n.statement
	if ack.GetRevision() < s.revision {
		return
	}
	if ack.GetRevision() == s.revision && slices.Equal(unreachable, s.unreachable) {
		return
	}
	advanced := ack.GetRevision() > s.revision
	*s = statement{revision: ack.GetRevision(), epoch: n.lease.epoch, members: ack.GetMembers(), unreachable: unreachable}
	if advanced || len(unreachable) == 0 {
		n.emitInForce()
	}
	n.sendToChildren(n.statementFrame())
}

func (n *Node) emitInForce() {
	s := n.statement
	n.emit(timeline.RevisionInForce, func(e *timeline.Event) {
		e.Revision = s.revision
		e.Epoch = s.epoch
		if len(s.unreachable) > 0 {
			e.Detail = "unreachable: " + join(s.unreachable)
		}
	})
}

func join(names []string) string {
	var text string
	for i, name := range names {
		if i > 0 {
			text += ", "
		}
		text += name
	}
	return text
}

func (n *Node) statementFrame() *wire.Frame {
	s := n.statement
	return &wire.Frame{Body: &wire.Frame_Statement{Statement: &wire.Statement{
		Revision: s.revision, Epoch: s.epoch, Members: s.members, Unreachable: s.unreachable,
	}}}
}

func (n *Node) statementReceived(in *wire.Statement) {
	s := &n.statement
	if in.GetRevision() < s.revision || in.GetEpoch() < s.epoch {
		return
	}
	*s = statement{revision: in.GetRevision(), epoch: in.GetEpoch(), members: in.GetMembers(), unreachable: in.GetUnreachable()}
	n.sendToChildren(n.statementFrame())
}
