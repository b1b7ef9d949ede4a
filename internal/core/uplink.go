package core

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// uplink is the node's link to its parent and the search for a better one.
type uplink struct {
	parent *parentLink
	// dialing is the link to a candidate parent that has not sent its Welcome
	// yet.
	dialing  *parentLink
	nextLink peer.LinkID
	parentSearch
	// pathLostAt is when the node last lost its path to the controller, or when
	// it started.
	pathLostAt time.Time
	// hadParent is set once the daemon has had a parent since its start.
	hadParent bool
	sentAck   wire.Ack
}

func (u *uplink) init(now time.Time) {
	u.parentSearch.init()
	u.pathLostAt = now
}

func (u *uplink) setPathLost(now time.Time) { u.pathLostAt = now }

// parentLink is a link to a parent, or to a daemon that may become one.
type parentLink struct {
	id      peer.LinkID
	vm      string
	address string
	started time.Time
	up      bool
	// sentDigests are the endpoint digests in the Hello on this link.
	sentDigests map[string]uint64
	// path lists the VMs from the parent to the controller; empty means that
	// the parent has no live path.
	path         []string
	lastReceived time.Time
	nextResync   time.Time
	// platformDown is set while the parent is the controller and cannot reach
	// the platform.
	platformDown bool
	// stale is set while the parent follows a controller that was replaced.
	stale bool
}

// checkParent clears the path when the parent is the controller and has sent
// nothing for HeartbeatTimeout, which is shorter than the timeout of the
// transport.
func (n *Node) checkParent() {
	p := n.tree.parent
	if p == nil || len(p.path) != 1 {
		return
	}
	if n.now.Sub(p.lastReceived) > n.cfg.Timings.HeartbeatTimeout {
		n.setPath(nil)
	}
}

func (n *Node) parentLost(err error) {
	t := &n.tree
	vm := t.parent.vm
	hadPath := n.hasControllerPath()
	t.parent = nil
	text := vm
	if err != nil {
		text = vm + ": " + fault.As(fault.Wrap(err, fault.Unavailable, "link down")).Error()
	}
	n.emit(timeline.ParentLost, detail(text))
	t.suspects[vm] = n.now.Add(suspectDuration)
	t.missing[vm] = n.now
	t.nextDial = n.now.Add(n.jitter(backoffMin))
	if hadPath && !n.hasControllerPath() {
		t.setPathLost(n.now)
		n.sendWelcomes()
	}
}

// dropParent ends the link to the parent when this node becomes the controller.
func (n *Node) dropParent() {
	t := &n.tree
	if t.dialing != nil {
		n.closeLink(t.dialing.id)
		t.dialing = nil
	}
	if t.parent != nil {
		n.closeLink(t.parent.id)
		t.parent = nil
	}
}

// welcomeReceived handles a Welcome of the parent or of a candidate parent.
func (n *Node) welcomeReceived(id peer.LinkID, w *wire.Welcome) {
	t := &n.tree
	if c := w.GetController(); c != nil {
		n.updateController(controllerInfo{vm: c.GetVm(), epoch: c.GetEpoch(), address: c.GetPeerAddress()})
	}
	path := w.GetPath()
	stale := w.GetController().GetEpoch() < n.controller.epoch
	if stale || slices.Contains(path, n.cfg.VM) {
		path = nil
	}
	switch {
	case t.parent != nil && t.parent.id == id:
		t.parent.lastReceived = n.now
		t.parent.stale = stale
		if stale {
			n.sendToParent(n.controllerFrame())
		}
		n.setPath(path)
	case t.dialing != nil && t.dialing.id == id:
		n.dialWelcomed(path, w)
	}
}

// dialWelcomed decides whether the daemon that was dialed becomes the parent.
func (n *Node) dialWelcomed(path []string, w *wire.Welcome) {
	t := &n.tree
	d := t.dialing
	better := len(path) > 0 || t.parent == nil
	if !better || n.isController() {
		n.closeLink(d.id)
		n.dialFailed(noPathSuspectDuration)
		return
	}
	if len(path) > 0 && d.vm == "" {
		d.vm = path[0]
	}
	if t.parent != nil {
		n.closeLink(t.parent.id)
	}
	hadPath := n.hasControllerPath()
	d.stale = w.GetController().GetEpoch() < n.controller.epoch
	t.parent = d
	t.dialing = nil
	n.scheduleDial(len(path) > 0)
	d.lastReceived = n.now
	d.path = nil
	t.sentAck.Reset()
	n.emit(timeline.ParentAttached, func(e *timeline.Event) { e.Detail = d.vm; e.Epoch = w.GetController().GetEpoch() })
	n.sendChangedSince(d.id, d.sentDigests)
	n.claimSubtree()
	n.setPath(path)
	if hadPath != n.hasControllerPath() {
		n.sendWelcomes()
	}
	if w.GetRevision() < n.state.Revision {
		n.hintCommit(n.state.Revision)
	}
}

// setPath stores a changed path to the controller and sends it to the children.
func (n *Node) setPath(path []string) {
	p := n.tree.parent
	if slices.Equal(p.path, path) {
		return
	}
	hadPath := n.hasControllerPath()
	p.path = path
	if hadPath && !n.hasControllerPath() {
		n.tree.setPathLost(n.now)
		n.tree.nextDial = n.now.Add(n.jitter(backoffMin))
	}
	n.sendWelcomes()
	n.checkReady()
}

func (n *Node) heartbeatReceived(id peer.LinkID, h *wire.Heartbeat) {
	p := n.tree.parent
	if p == nil || p.id != id {
		return
	}
	if h.GetEpoch() < n.controller.epoch {
		p.stale = true
		n.setPath(nil)
		n.sendToParent(n.controllerFrame())
		return
	}
	p.platformDown = h.GetPlatformDown()
}

// redirectReceived closes the link to a candidate parent that accepts no more
// children.
func (n *Node) redirectReceived(id peer.LinkID) {
	if d := n.tree.dialing; d != nil && d.id == id {
		n.closeLink(id)
		n.dialFailed(suspectDuration)
	}
}
