package core

import (
	"crypto/subtle"
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// downlinks are the links to the node's children, which receive their state
// from it.
type downlinks struct {
	children map[peer.LinkID]*childLink
	// accepted maps links on which no Hello has arrived to the time when they
	// came up.
	accepted map[peer.LinkID]time.Time
	// relayedProbes maps the nonce of a forwarded RootProbe to the child that
	// it came from.
	relayedProbes map[uint64]peer.LinkID
	nextHeartbeat time.Time
}

func (d *downlinks) init() {
	d.children = map[peer.LinkID]*childLink{}
	d.accepted = map[peer.LinkID]time.Time{}
	d.relayedProbes = map[uint64]peer.LinkID{}
}

// childLink is a link to a child.
type childLink struct {
	vm string
	// sent is the highest revision that was sent on the link.
	sent uint64
	ack  *wire.Ack
}

func (n *Node) childIDs() []peer.LinkID {
	return slices.Sorted(maps.Keys(n.tree.children))
}

// helloReceived admits a child. A repeated Hello of an admitted child requests
// the records that it lacks.
func (n *Node) helloReceived(id peer.LinkID, h *wire.Hello) {
	t := &n.tree
	if c := t.children[id]; c != nil {
		c.sent = h.GetRevision()
		n.syncState(id, c)
		return
	}
	delete(t.accepted, id)
	if subtle.ConstantTimeCompare([]byte(h.GetToken()), []byte(n.cfg.Token)) != 1 {
		n.refuseLink(id, "hello from "+h.GetVm()+" has a wrong token")
		return
	}
	if h.GetVm() == "" || h.GetVm() == n.cfg.VM {
		n.refuseLink(id, "hello has an empty VM name or the name of this VM: "+h.GetVm())
		return
	}
	if len(t.children) >= maxChildren || n.stopping {
		n.redirect(id)
		return
	}
	n.replaceChild(h.GetVm())
	c := &childLink{vm: h.GetVm(), sent: h.GetRevision()}
	t.children[id] = c
	delete(t.missing, c.vm)
	delete(t.suspects, c.vm)
	n.emit(timeline.ChildAttached, detail(c.vm))
	n.send(id, n.welcomeFrame())
	n.syncState(id, c)
	n.syncSoftState(id)
	n.sendTable(id, h.GetEndpointDigests())
}

// replaceChild closes an earlier link of the VM, which its daemon has abandoned
// although this node has not detected that yet.
func (n *Node) replaceChild(vm string) {
	for _, id := range n.childIDs() {
		if n.tree.children[id].vm == vm {
			n.childLost(id)
			n.closeLink(id)
		}
	}
}

// redirect sends the addresses of other parents to a daemon that cannot be
// admitted, and closes the link.
func (n *Node) redirect(id peer.LinkID) {
	var addresses []string
	for _, e := range member.Ranked(n.members.Live(), n.cfg.Domain) {
		if e.VM != n.cfg.VM && len(addresses) < member.FanOut {
			addresses = append(addresses, e.PeerAddress)
		}
	}
	n.send(id, &wire.Frame{Body: &wire.Frame_Redirect{Redirect: &wire.Redirect{PeerAddresses: addresses}}})
	n.closeLink(id)
}

func (n *Node) childLost(id peer.LinkID) {
	t := &n.tree
	c := t.children[id]
	delete(t.children, id)
	n.emit(timeline.ChildLost, detail(c.vm))
	t.markMissing(c.vm, id, n.now)
}

// closeLinksWithoutHello closes accepted links on which no Hello arrived within
// dialTimeout.
func (n *Node) closeLinksWithoutHello() {
	t := &n.tree
	for _, id := range slices.Sorted(maps.Keys(t.accepted)) {
		if n.now.Sub(t.accepted[id]) > dialTimeout {
			delete(t.accepted, id)
			n.closeLink(id)
		}
	}
}

func (n *Node) welcomeFrame() *wire.Frame {
	w := &wire.Welcome{Revision: n.state.Revision, Path: n.ownPath()}
	if n.controller.epoch > 0 {
		w.Controller = &wire.Controller{Vm: n.controller.vm, Epoch: n.controller.epoch, PeerAddress: n.controller.address}
	}
	return &wire.Frame{Body: &wire.Frame_Welcome{Welcome: w}}
}

func (n *Node) sendWelcomes() {
	if len(n.tree.children) > 0 {
		n.sendToChildren(n.welcomeFrame())
	}
}

func (n *Node) sendHeartbeats() {
	t := &n.tree
	if !n.isController() || n.now.Before(t.nextHeartbeat) {
		return
	}
	t.nextHeartbeat = n.now.Add(n.cfg.Timings.Heartbeat)
	heartbeat := &wire.Heartbeat{Epoch: n.lease.epoch, PlatformDown: n.calls.platformDown}
	frame := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: heartbeat}}
	for _, id := range n.childIDs() {
		n.send(id, frame)
	}
}
