package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// noLink stands for this node itself where a link is asked for.
const noLink peer.LinkID = 0

// tree is the node's place in the relay tree.
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

// rooted reports whether the node has a live path to the controller.
func (n *Node) rooted() bool {
	if n.isController() {
		return true
	}
	p := n.tree.parent
	return p != nil && len(p.path) > 0
}

// ownPath is the path that this node's children have through it.
func (n *Node) ownPath() []string {
	if n.isController() {
		return []string{n.cfg.VM}
	}
	if !n.rooted() {
		return nil
	}
	return append([]string{n.cfg.VM}, n.tree.parent.path...)
}

func (n *Node) tickTree() {
	t := &n.tree
	n.checkParent()
	if d := t.dialing; d != nil && n.now.Sub(d.started) > dialTimeout {
		n.closeLink(d.id)
		n.dialFailed(suspectFor)
	}
	n.dropSilentLinks()
	n.seekParent()
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
	t.dialing.digests = n.helloDigests()
	n.sendHello(id, t.dialing.digests)
}

func (n *Node) linkDown(id peer.LinkID, err error) {
	t := &n.tree
	delete(t.accepted, id)
	switch {
	case t.dialing != nil && t.dialing.id == id:
		n.dialFailed(suspectFor)
	case t.parent != nil && t.parent.id == id:
		n.parentLost(err)
	case t.children[id] != nil:
		n.childLost(id)
	}
}
