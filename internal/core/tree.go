package core

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// noLink stands for this node itself where a link is asked for.
const noLink peer.LinkID = 0

// tree is the node's place in the relay tree.
type tree struct {
	parent *parentLink
	// dialing is the link to a possible parent that has not welcomed us yet.
	dialing  *parentLink
	children map[peer.LinkID]*childLink
	// accepted holds links whose Hello has not come yet, and their age.
	accepted map[peer.LinkID]time.Time
	// suspects are members that could not be reached, and until when they are
	// left out.
	suspects map[string]time.Time
	nextLink peer.LinkID
	nextDial time.Time
	backoff  time.Duration
	nextSeed int
	// nextLost counts the dials to lost members.
	nextLost      int
	unrootedSince time.Time
	nextHeartbeat time.Time

	// via names the child link through which a member was last heard of.
	via map[string]peer.LinkID
	// missing holds members whose child link went down, and since when.
	missing map[string]time.Time
	// dirty holds changed endpoints to pass on, and where they came from.
	dirty map[string]dirtyEntry
	// introduced is set once this start of the daemon has had a parent.
	introduced bool
	// sweepAt is when a new controller gives up members that nobody claimed.
	sweepAt time.Time
	probes  map[uint64]peer.LinkID
	sentAck wire.Ack
}

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

func (t *tree) init(now time.Time) {
	t.children = map[peer.LinkID]*childLink{}
	t.accepted = map[peer.LinkID]time.Time{}
	t.suspects = map[string]time.Time{}
	t.via = map[string]peer.LinkID{}
	t.missing = map[string]time.Time{}
	t.dirty = map[string]dirtyEntry{}
	t.probes = map[uint64]peer.LinkID{}
	t.unrootedSince = now
}

func (t *tree) rootLost(now time.Time) { t.unrootedSince = now }

// rooted reports whether the node has a live path to the controller.
func (n *Node) rooted() bool {
	if n.isController() {
		return true
	}
	p := n.tree.parent
	return p != nil && len(p.path) > 0
}

func (n *Node) tickTree() {
	t := &n.tree
	n.checkParent()
	if d := t.dialing; d != nil && n.now.Sub(d.started) > dialTimeout {
		n.effects = append(n.effects, CloseLink{Link: d.id})
		n.dialFailed(suspectFor)
	}
	for _, id := range slices.Sorted(maps.Keys(t.accepted)) {
		if n.now.Sub(t.accepted[id]) > dialTimeout {
			delete(t.accepted, id)
			n.effects = append(n.effects, CloseLink{Link: id})
		}
	}
	n.seekParent()
	n.sendHeartbeats()
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

func (n *Node) sendHeartbeats() {
	t := &n.tree
	if !n.isController() || n.now.Before(t.nextHeartbeat) {
		return
	}
	t.nextHeartbeat = n.now.Add(n.cfg.Timings.Heartbeat)
	heartbeat := &wire.Heartbeat{Epoch: n.lease.epoch, PlatformDown: n.calls.down}
	frame := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: heartbeat}}
	for _, id := range n.childIDs() {
		n.send(id, frame)
	}
}

// seekParent dials a better parent. The old one stays until the new one has
// a path to the controller, so that a change does not cut the subtree off.
func (n *Node) seekParent() {
	t := &n.tree
	if n.stopping || t.dialing != nil || n.now.Before(t.nextDial) {
		return
	}
	if n.isController() {
		n.seekSuccessor()
		return
	}
	vm, address := n.chooseParent()
	if address == "" {
		n.seekLater()
		return
	}
	n.dial(member.Endpoint{VM: vm, PeerAddress: address})
}

func (n *Node) dial(to member.Endpoint) {
	t := &n.tree
	t.nextLink++
	t.dialing = &parentLink{id: t.nextLink, vm: to.VM, address: to.PeerAddress, started: n.now}
	n.effects = append(n.effects, Dial{Link: t.nextLink, Address: to.PeerAddress})
}

// seekLater delays the next search of a node that has the best parent. Ranking
// all members in every tick made garbage in proportion to their number, which
// was the largest part of an idle daemon's processor time.
func (n *Node) seekLater() {
	if n.rooted() {
		n.tree.nextDial = n.now.Add(seekInterval)
	}
}

// chooseParent returns the best parent to dial, or nothing when the present
// parent is the best.
func (n *Node) chooseParent() (vm, address string) {
	t := &n.tree
	candidates := member.Parents(n.withController(n.reachableMembers()), n.self, n.controller.vm)
	for _, c := range candidates {
		// A member that was first heard of while it was leaving has no address.
		if c.PeerAddress == "" {
			continue
		}
		if t.parent != nil && t.parent.vm == c.VM {
			if n.rooted() {
				return "", ""
			}
			continue
		}
		return c.VM, c.PeerAddress
	}
	if t.parent == nil && len(n.cfg.SeedPeers) > 0 {
		t.nextSeed++
		seed := n.cfg.SeedPeers[t.nextSeed%len(n.cfg.SeedPeers)]
		if seed != n.cfg.PeerAddress {
			return "", seed
		}
	}
	return "", ""
}

// withController adds the controller to the members, since a newcomer may
// know it from the lease only.
func (n *Node) withController(members []member.Endpoint) []member.Endpoint {
	c := n.controller
	if c.vm == "" || c.vm == n.cfg.VM || slices.ContainsFunc(members, func(e member.Endpoint) bool { return e.VM == c.vm }) {
		return members
	}
	if until, ok := n.tree.suspects[c.vm]; ok && n.now.Before(until) {
		return members
	}
	return append(members, member.Endpoint{VM: c.vm, PeerAddress: c.address})
}

// dialFailed leaves the member out for a while and backs off with full
// jitter, so that a herd of daemons does not reconnect in step.
func (n *Node) dialFailed(leaveOut time.Duration) {
	t := &n.tree
	if t.dialing == nil {
		return
	}
	if t.dialing.vm != "" {
		t.suspects[t.dialing.vm] = n.now.Add(leaveOut)
	}
	t.dialing = nil
	n.backOff()
}

func (n *Node) backOff() {
	t := &n.tree
	t.backoff = min(max(2*t.backoff, backoffMin), backoffMax)
	t.nextDial = n.now.Add(n.jitter(t.backoff))
}

// dialSoon ends a backoff that counts failures before a new controller was known.
func (n *Node) dialSoon() {
	t := &n.tree
	t.backoff = 0
	t.nextDial = n.now.Add(n.jitter(backoffMin))
}

func (n *Node) linkUp(id peer.LinkID) {
	t := &n.tree
	if id&peer.AcceptedBit != 0 {
		t.accepted[id] = n.now
		return
	}
	if t.dialing == nil || t.dialing.id != id {
		n.effects = append(n.effects, CloseLink{Link: id})
		return
	}
	t.dialing.up = true
	t.dialing.digests = n.helloDigests()
	n.sendHello(id, t.dialing.digests)
}

func (n *Node) sendHello(id peer.LinkID, digests map[string]uint64) {
	hello := &wire.Hello{
		Vm: n.cfg.VM, Incarnation: n.self.Incarnation, Domain: n.cfg.Domain, Region: n.cfg.Region,
		Revision: n.state.Revision, Epoch: n.controller.epoch, Token: n.cfg.Token,
		EndpointDigests: digests,
	}
	n.send(id, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
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
		n.effects = append(n.effects, CloseLink{Link: t.dialing.id})
		t.dialing = nil
	}
	if t.parent != nil {
		n.effects = append(n.effects, CloseLink{Link: t.parent.id})
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
		n.effects = append(n.effects, CloseLink{Link: d.id})
		n.dialFailed(rootlessFor)
		return
	}
	if len(path) > 0 && d.vm == "" {
		d.vm = path[0]
	}
	if t.parent != nil {
		n.effects = append(n.effects, CloseLink{Link: t.parent.id})
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

// scheduleDial plans the next search after a change of the parent. A parent
// without a path may itself be below this node, so the search goes on.
func (n *Node) scheduleDial(rooted bool) {
	t := &n.tree
	if !rooted {
		n.backOff()
		return
	}
	t.backoff = 0
	t.nextDial = n.now.Add(suspectFor + n.jitter(suspectFor))
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

func (n *Node) sendUp(frame *wire.Frame) {
	if p := n.tree.parent; p != nil {
		n.send(p.id, frame)
	}
}
