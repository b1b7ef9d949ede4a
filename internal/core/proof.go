package core

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const (
	// maxProbes bounds the probes that a relay or the controller remembers.
	maxProbes = 1024
	// proofHold is how long a controller that cannot renew its lease waits
	// before it answers a probe. It is above the time after which the members
	// behind a cut are marked lost: 4 s of silence on the link and EndpointLost.
	proofHold = 8 * time.Second
)

// proofs is the controller's part in the readiness of daemons that start
// while they cannot reach the platform.
type proofs struct {
	// settled holds the incarnations of the members by failure domain and VM
	// when the lease was last renewed.
	settled map[string]map[string]settledMember
	held    map[uint64]heldProbe
}

type settledMember struct {
	incarnation uint64
	live        bool
}

// heldProbe is a probe that waits for its answer.
type heldProbe struct {
	link  peer.LinkID
	since time.Time
}

func (p *proofs) init() {
	p.settled = map[string]map[string]settledMember{}
	p.held = map[uint64]heldProbe{}
}

// settle notes the members while it is sure that no other daemon has taken
// the lease over.
func (p *proofs) settle(members []member.Endpoint) {
	clear(p.settled)
	for i := range members {
		e := &members[i]
		if p.settled[e.Domain] == nil {
			p.settled[e.Domain] = map[string]settledMember{}
		}
		p.settled[e.Domain][e.VM] = settledMember{incarnation: e.Incarnation, live: e.State < member.Lost}
	}
}

// probeReceived answers a child's probe at the controller and passes it up
// elsewhere.
func (n *Node) probeReceived(link peer.LinkID, probe *wire.RootProbe) {
	if n.isController() {
		n.holdProbe(link, probe.GetNonce())
		n.answerProbes()
		return
	}
	if len(n.tree.probes) >= maxProbes {
		clear(n.tree.probes)
	}
	n.tree.probes[probe.GetNonce()] = link
	n.sendUp(&wire.Frame{Body: &wire.Frame_RootProbe{RootProbe: probe}})
}

// holdProbe keeps the time of the first probe of a nonce: a daemon repeats its
// probe until it has an answer.
func (n *Node) holdProbe(link peer.LinkID, nonce uint64) {
	held := n.proofs.held
	if len(held) >= maxProbes {
		clear(held)
	}
	since := n.now
	if earlier, ok := held[nonce]; ok {
		since = earlier.since
	}
	held[nonce] = heldProbe{link: link, since: since}
}

// answerProbes answers the probes that the controller can answer for sure. A
// controller that cannot renew its lease may have been replaced, and a newer
// revision may be in force elsewhere.
func (n *Node) answerProbes() {
	if !n.isController() {
		clear(n.proofs.held)
		return
	}
	if len(n.proofs.held) == 0 {
		return
	}
	renewed := n.now.Sub(n.lease.renewed) < n.cfg.Timings.LeaseTakeover
	if !renewed && !n.everyDomainHere() {
		return
	}
	for _, nonce := range slices.Sorted(maps.Keys(n.proofs.held)) {
		probe := n.proofs.held[nonce]
		if renewed || n.now.Sub(probe.since) >= proofHold {
			delete(n.proofs.held, nonce)
			proof := &wire.RootProof{Nonce: nonce, Epoch: n.lease.epoch, Revision: n.state.Revision}
			n.send(probe.link, &wire.Frame{Body: &wire.Frame_RootProof{RootProof: proof}})
		}
	}
}

// everyDomainHere reports whether no failure domain can have gone on with
// another controller. A domain is here if a member that has not restarted
// since the last renewal is reachable, because that member would know of the
// other controller, or if all its members are back.
func (n *Node) everyDomainHere() bool {
	for _, members := range n.proofs.settled {
		if !n.domainHere(members) {
			return false
		}
	}
	return true
}

func (n *Node) domainHere(members map[string]settledMember) bool {
	allBack := true
	for vm, settled := range members {
		e, _ := n.members.Get(vm)
		reachable := e.VM != "" && e.State < member.Lost
		if reachable && e.Incarnation == settled.incarnation {
			return true
		}
		allBack = allBack && (reachable || !settled.live)
	}
	return allBack
}

// proofReceived takes the answer to the node's own probe, and passes on those
// to the probes of its children.
func (n *Node) proofReceived(proof *wire.RootProof) {
	if proof.GetEpoch() < n.controller.epoch {
		return
	}
	if proof.GetNonce() == n.ready.nonce && n.ready.nonce != 0 {
		n.setFloor(proof.GetRevision())
	}
	link, ok := n.tree.probes[proof.GetNonce()]
	if !ok {
		return
	}
	delete(n.tree.probes, proof.GetNonce())
	n.send(link, &wire.Frame{Body: &wire.Frame_RootProof{RootProof: proof}})
}
