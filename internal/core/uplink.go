package core

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// uplink is the node's way to the controller.
type uplink struct {
	parent *parentLink
	// dialing is the link to a possible parent that has not welcomed us yet.
	dialing  *parentLink
	nextLink peer.LinkID
	search
	unrootedSince time.Time
	// introduced is set once this start of the daemon has had a parent.
	introduced bool
	sentAck    wire.Ack
}

func (u *uplink) init(now time.Time) {
	u.search.init()
	u.unrootedSince = now
}

func (u *uplink) rootLost(now time.Time) { u.unrootedSince = now }

// parentLink is a link to a parent, or to a daemon that may become one.
type parentLink struct {
	id      peer.LinkID
	vm      string
	address string
	started time.Time
	up      bool
	// digests are those of the Hello on this link.
	digests map[string]uint64
	// path lists the VMs from the parent to the controller; empty means that
	// the parent has no live path.
	path      []string
	lastHeard time.Time
	resync    time.Time
	// platformDown is set while the parent is the controller and cannot reach
	// the platform.
	platformDown bool
	// stale is set while the parent follows a controller that was replaced.
	stale bool
}

// checkParent notices a silent controller before the transport does.
func (n *Node) checkParent() {
	p := n.tree.parent
	if p == nil || len(p.path) != 1 {
		return
	}
	if n.now.Sub(p.lastHeard) > n.cfg.Timings.HeartbeatLoss {
		n.setPath(nil)
	}
}

func (n *Node) parentLost(err error) {
	t := &n.tree
	vm := t.parent.vm
	wasRooted := n.rooted()
	t.parent = nil
	text := vm
	if err != nil {
		text = vm + ": " + fault.As(fault.Wrap(err, fault.Unavailable, "link down")).Error()
	}
	n.emit(timeline.ParentLost, detail(text))
	t.suspects[vm] = n.now.Add(suspectFor)
	t.missing[vm] = n.now
	t.nextDial = n.now.Add(n.jitter(backoffMin))
	if wasRooted && !n.rooted() {
		t.rootLost(n.now)
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

// welcomeReceived handles the news of a parent or of a possible parent.
func (n *Node) welcomeReceived(id peer.LinkID, w *wire.Welcome) {
	t := &n.tree
	if c := w.GetController(); c != nil {
		n.learnController(controllerInfo{vm: c.GetVm(), epoch: c.GetEpoch(), address: c.GetPeerAddress()})
	}
	path := w.GetPath()
	stale := w.GetController().GetEpoch() < n.controller.epoch
	if stale || slices.Contains(path, n.cfg.VM) {
		path = nil
	}
	switch {
	case t.parent != nil && t.parent.id == id:
		t.parent.lastHeard = n.now
		t.parent.stale = stale
		if stale {
			n.sendUp(n.controllerFrame())
		}
		n.setPath(path)
	case t.dialing != nil && t.dialing.id == id:
		n.parentWelcomes(path, w)
	}
}

// parentWelcomes decides whether the daemon that was dialed becomes the parent.
func (n *Node) parentWelcomes(path []string, w *wire.Welcome) {
	t := &n.tree
	d := t.dialing
	better := len(path) > 0 || t.parent == nil
	if !better || n.isController() {
		n.closeLink(d.id)
		n.dialFailed(rootlessFor)
		return
	}
	if len(path) > 0 && d.vm == "" {
		d.vm = path[0]
	}
	if t.parent != nil {
		n.closeLink(t.parent.id)
	}
	wasRooted := n.rooted()
	d.stale = w.GetController().GetEpoch() < n.controller.epoch
	t.parent = d
	t.dialing = nil
	n.scheduleDial(len(path) > 0)
	d.lastHeard = n.now
	d.path = nil
	t.sentAck.Reset()
	n.emit(timeline.ParentAttached, func(e *timeline.Event) { e.Detail = d.vm; e.Epoch = w.GetController().GetEpoch() })
	n.sendChangedSince(d.id, d.digests)
	n.claimSubtree()
	n.setPath(path)
	if wasRooted != n.rooted() {
		n.sendWelcomes()
	}
	if w.GetRevision() < n.state.Revision {
		n.hintCommit(n.state.Revision)
	}
}

// setPath takes over a changed path to the controller and tells the children.
func (n *Node) setPath(path []string) {
	p := n.tree.parent
	if slices.Equal(p.path, path) {
		return
	}
	wasRooted := n.rooted()
	p.path = path
	if wasRooted && !n.rooted() {
		n.tree.rootLost(n.now)
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
		n.sendUp(n.controllerFrame())
		return
	}
	p.platformDown = h.GetPlatformDown()
}

// redirectReceived gives up a parent that has no room.
func (n *Node) redirectReceived(id peer.LinkID) {
	if d := n.tree.dialing; d != nil && d.id == id {
		n.closeLink(id)
		n.dialFailed(suspectFor)
	}
}
