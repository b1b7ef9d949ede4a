package core

import (
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// frameReceived dispatches a frame. Frames on a link without a Hello, or in the
// wrong direction, are refused.
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
		n.ackWhenComplete()
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
		n.updateController(controllerInfo{vm: body.Controller.GetVm(), epoch: body.Controller.GetEpoch(), address: body.Controller.GetPeerAddress()})
	case *wire.Frame_RootProbe:
		n.probeReceived(id, body.RootProbe)
	default:
		n.refuseLink(id, "unexpected frame from a child")
	}
}

func (n *Node) parentFrame(id peer.LinkID, f *wire.Frame) {
	if p := n.tree.parent; p != nil && p.id == id {
		p.lastReceived = n.now
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
