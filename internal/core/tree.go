package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// noLink is the source link of changes that originate at this node.
const noLink peer.LinkID = 0

// tree is the node's position in the relay tree: its parent, its children and
// the members below it.
type tree struct {
	uplink
	downlinks
	presence
}

func (t *tree) init(now time.Time) {
	t.uplink.init(now)
	t.downlinks.init()
	t.presence.init()
}

// hasControllerPath reports whether the node has a live path to the controller.
func (n *Node) hasControllerPath() bool {
	if n.isController() {
		return true
	}
	p := n.tree.parent
	return p != nil && len(p.path) > 0
}

// ownPath returns the path to the controller that this node's children have
// through it, or nil without a live path.
func (n *Node) ownPath() []string {
	if n.isController() {
		return []string{n.cfg.VM}
	}
	if !n.hasControllerPath() {
		return nil
	}
	return append([]string{n.cfg.VM}, n.tree.parent.path...)
}

func (n *Node) tickTree() {
	t := &n.tree
	n.checkParent()
	if d := t.dialing; d != nil && n.now.Sub(d.started) > dialTimeout {
		n.closeLink(d.id)
		n.dialFailed(suspectDuration)
	}
	n.closeLinksWithoutHello()
	n.searchParent()
	n.sendHeartbeats()
}

func (n *Node) linkUp(id peer.LinkID) {
	t := &n.tree
	if id&peer.AcceptedBit != 0 {
		t.accepted[id] = n.now
		return
	}
	if t.dialing == nil || t.dialing.id != id {
		n.closeLink(id)
		return
	}
	t.dialing.up = true
	t.dialing.sentDigests = n.helloDigests()
	n.sendHello(id, t.dialing.sentDigests)
}

func (n *Node) linkDown(id peer.LinkID, err error) {
	t := &n.tree
	delete(t.accepted, id)
	switch {
	case t.dialing != nil && t.dialing.id == id:
		n.dialFailed(suspectDuration)
	case t.parent != nil && t.parent.id == id:
		n.parentLost(err)
	case t.children[id] != nil:
		n.childLost(id)
	}
}
