package core

import (
	"crypto/subtle"
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// childLink is a link to a daemon that takes its state from this one.
type childLink struct {
	vm string
	// sent is the highest revision that was sent on the link.
	sent uint64
	ack  *wire.Ack
}

func (n *Node) childIDs() []peer.LinkID {
	return slices.Sorted(maps.Keys(n.tree.children))
}

func (n *Node) toChildren(frame *wire.Frame) {
	for _, id := range n.childIDs() {
		n.send(id, frame)
	}
}

// helloReceived admits a child, or brings an admitted child that lost records
// up to date again.
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
		n.refuseLink(id, "hello names VM "+h.GetVm())
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

// replaceChild ends an earlier link of the VM, which its daemon has given up
// although its end has not been noticed here.
func (n *Node) replaceChild(vm string) {
	for _, id := range n.childIDs() {
		if n.tree.children[id].vm == vm {
			n.childLost(id)
			n.effects = append(n.effects, CloseLink{Link: id})
		}
	}
}

func (n *Node) refuseLink(id peer.LinkID, reason string) {
	n.emit(timeline.FrameRefused, detail(reason))
	n.effects = append(n.effects, CloseLink{Link: id})
}

// redirect names other parents to a child that cannot be admitted.
func (n *Node) redirect(id peer.LinkID) {
	var addresses []string
	for _, e := range member.Ranked(n.members.Live(), n.cfg.Domain) {
		if e.VM != n.cfg.VM && len(addresses) < member.FanOut {
			addresses = append(addresses, e.PeerAddress)
		}
	}
	n.send(id, &wire.Frame{Body: &wire.Frame_Redirect{Redirect: &wire.Redirect{PeerAddresses: addresses}}})
	n.effects = append(n.effects, CloseLink{Link: id})
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
		n.toChildren(n.welcomeFrame())
	}
}

// syncState sends a child what it lacks: records when they are still kept,
// otherwise a snapshot.
func (n *Node) syncState(id peer.LinkID, c *childLink) {
	if c.sent >= n.state.Revision {
		return
	}
	first := slices.IndexFunc(n.recent, func(r *model.Record) bool { return r.Revision == c.sent+1 })
	if first >= 0 {
		n.sendRecordsTo(id, c, n.recent[first:])
		return
	}
	compressed, err := wire.EncodeState(n.state)
	if err != nil {
		n.refuseLink(id, err.Error())
		return
	}
	c.sent = n.state.Revision
	n.sendBulk(id, &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{Revision: n.state.Revision, State: compressed}}})
}

func (n *Node) sendRecordsTo(id peer.LinkID, c *childLink, records []*model.Record) {
	out := &wire.Records{}
	for _, r := range records {
		if r.Revision > c.sent {
			out.Records = append(out.Records, wire.RecordToWire(r))
		}
	}
	if len(out.Records) == 0 {
		return
	}
	c.sent = records[len(records)-1].Revision
	n.send(id, &wire.Frame{Body: &wire.Frame_Records{Records: out}})
}

func (n *Node) sendRecords(records []*model.Record) {
	for _, id := range n.childIDs() {
		n.sendRecordsTo(id, n.tree.children[id], records)
	}
}

// recordsReceived applies records of the parent. A gap means that a snapshot
// is still under way or was lost; the parent is asked for the rest.
func (n *Node) recordsReceived(id peer.LinkID, in *wire.Records) {
	records := make([]*model.Record, 0, len(in.GetRecords()))
	for _, w := range in.GetRecords() {
		records = append(records, wire.RecordFromWire(w))
	}
	if len(records) > 0 && records[0].Revision > n.state.Revision+1 {
		n.askResync(id)
		return
	}
	n.applyRecords(records)
	n.checkReady()
	n.ackEarly()
}

func (n *Node) askResync(id peer.LinkID) {
	p := n.tree.parent
	if p == nil || p.id != id || n.now.Before(p.resync) {
		return
	}
	p.resync = n.now.Add(resyncInterval)
	n.after(resyncInterval, func() {
		if n.tree.parent == p {
			n.sendHello(id, nil)
		}
	})
}

// resyncInterval is how long a child with a gap waits for the missing snapshot.
const resyncInterval = 300 * time.Millisecond

func (n *Node) childLost(id peer.LinkID) {
	t := &n.tree
	c := t.children[id]
	delete(t.children, id)
	n.emit(timeline.ChildLost, detail(c.vm))
	for vm, via := range t.via {
		if via == id {
			t.missing[vm] = n.now
			delete(t.via, vm)
		}
	}
	t.missing[c.vm] = n.now
}

// frameReceived dispatches a frame. Frames of a link that has not said Hello,
// or in the wrong direction, are refused.
func (n *Node) frameReceived(id peer.LinkID, f *wire.Frame) {
	t := &n.tree
	if hello := f.GetHello(); hello != nil && id&peer.AcceptedBit != 0 {
		n.helloReceived(id, hello)
		return
	}
	switch {
	case t.children[id] != nil:
		n.childFrame(id, f)
	case t.parent != nil && t.parent.id == id, t.dialing != nil && t.dialing.id == id:
		n.parentFrame(id, f)
	default:
		if _, waiting := t.accepted[id]; waiting {
			n.refuseLink(id, "frame before hello")
		}
	}
}

func (n *Node) childFrame(id peer.LinkID, f *wire.Frame) {
	switch body := f.GetBody().(type) {
	case *wire.Frame_Ack:
		n.tree.children[id].ack = body.Ack
		n.ackEarly()
	case *wire.Frame_Endpoints:
		n.endpointsFromChild(id, body.Endpoints)
	case *wire.Frame_Evidence:
		n.evidence.add(body.Evidence.GetSamples())
	case *wire.Frame_Brakes:
		n.brakesReceived(id, body.Brakes.GetBrakes())
	case *wire.Frame_Strikes:
		n.strikesReceived(id, body.Strikes.GetStrikes())
	case *wire.Frame_CommitHint:
		n.hintCommit(body.CommitHint.GetRevision())
	case *wire.Frame_Controller:
		n.learnController(controllerInfo{vm: body.Controller.GetVm(), epoch: body.Controller.GetEpoch(), address: body.Controller.GetPeerAddress()})
	case *wire.Frame_RootProbe:
		n.probeReceived(id, body.RootProbe)
	default:
		n.refuseLink(id, "unexpected frame from a child")
	}
}

func (n *Node) parentFrame(id peer.LinkID, f *wire.Frame) {
	if p := n.tree.parent; p != nil && p.id == id {
		p.lastHeard = n.now
	}
	switch body := f.GetBody().(type) {
	case *wire.Frame_Welcome:
		n.welcomeReceived(id, body.Welcome)
	case *wire.Frame_Records:
		n.recordsReceived(id, body.Records)
	case *wire.Frame_Snapshot:
		n.applySnapshot(body.Snapshot.GetState())
		n.checkReady()
	case *wire.Frame_Endpoints:
		n.endpointsFromParent(id, body.Endpoints)
	case *wire.Frame_Steps:
		if p := n.tree.parent; p != nil && p.id == id && !p.stale {
			n.stepsReceived(body.Steps.GetSteps())
		}
	case *wire.Frame_Brakes:
		n.brakesReceived(id, body.Brakes.GetBrakes())
	case *wire.Frame_Strikes:
		n.strikesReceived(id, body.Strikes.GetStrikes())
	case *wire.Frame_Statement:
		n.statementReceived(body.Statement)
	case *wire.Frame_RootProof:
		n.proofReceived(body.RootProof)
	case *wire.Frame_Redirect:
		n.redirectReceived(id)
	case *wire.Frame_Heartbeat:
		n.heartbeatReceived(id, body.Heartbeat)
	default:
		n.refuseLink(id, "unexpected frame from a parent")
	}
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
		n.effects = append(n.effects, CloseLink{Link: id})
		n.dialFailed(suspectFor)
	}
}
