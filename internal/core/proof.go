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
	// maxPendingProbes bounds the unanswered probes that a relay or the
	// controller keeps.
	maxPendingProbes = 1024
	// proofDelay is how long a controller that cannot renew its lease waits
	// before it answers a probe. It exceeds the time after which the members
	// behind a network partition are marked lost: 4 s of silence on the link
	// plus EndpointLost.
	proofDelay = 8 * time.Second
)

// probeResponder is the controller's state for answering root probes. Daemons
// that start while they cannot reach the platform send them.
type probeResponder struct {
	// confirmed holds the members by failure domain and VM as of the last
	// renewal of the lease.
	confirmed map[string]map[string]confirmedMember
	pending   map[uint64]pendingProbe
}

type confirmedMember struct {
	incarnation uint64
	live        bool
}

// pendingProbe is a probe that is not answered yet.
type pendingProbe struct {
	link  peer.LinkID
	since time.Time
}

func (p *probeResponder) init() {
	p.confirmed = map[string]map[string]confirmedMember{}
	p.pending = map[uint64]pendingProbe{}
}

// confirmMembers records the members at a time when no other daemon can have
// taken the lease over.
func (p *probeResponder) confirmMembers(members []member.Endpoint) {
	clear(p.confirmed)
	for i := range members {
		e := &members[i]
		if p.confirmed[e.Domain] == nil {
			p.confirmed[e.Domain] = map[string]confirmedMember{}
		}
		p.confirmed[e.Domain][e.VM] = confirmedMember{incarnation: e.Incarnation, live: e.State < member.Lost}
	}
}

// probeReceived answers a child's probe on the controller and forwards it to
// the parent on other nodes.
func (n *Node) probeReceived(link peer.LinkID, probe *wire.RootProbe) {
	if n.isController() {
		n.queueProbe(link, probe.GetNonce())
		n.answerProbes()
		return
	}
	if len(n.tree.relayedProbes) >= maxPendingProbes {
		clear(n.tree.relayedProbes)
	}
	n.tree.relayedProbes[probe.GetNonce()] = link
	n.sendToParent(&wire.Frame{Body: &wire.Frame_RootProbe{RootProbe: probe}})
}

// queueProbe stores a probe until it can be answered. It keeps the time of the
// first probe of a nonce, because a daemon repeats its probe until it receives
// a response.
func (n *Node) queueProbe(link peer.LinkID, nonce uint64) {
	pending := n.probeResponder.pending
	if len(pending) >= maxPendingProbes {
		clear(pending)
	}
	since := n.now
	if earlier, ok := pending[nonce]; ok {
		since = earlier.since
	}
	pending[nonce] = pendingProbe{link: link, since: since}
}

// answerProbes answers the pending probes while no other controller can have
// put a newer revision in force. A controller that cannot renew its lease may
// have been replaced, and a newer revision may be in force elsewhere.
func (n *Node) answerProbes() {
	if !n.isController() {
		clear(n.probeResponder.pending)
		return
	}
	if len(n.probeResponder.pending) == 0 {
		return
	}
	renewed := n.now.Sub(n.lease.renewed) < n.cfg.Timings.LeaseTakeover
	if !renewed && !n.allDomainsReachable() {
		return
	}
	for _, nonce := range slices.Sorted(maps.Keys(n.probeResponder.pending)) {
		probe := n.probeResponder.pending[nonce]
		if renewed || n.now.Sub(probe.since) >= proofDelay {
			delete(n.probeResponder.pending, nonce)
			proof := &wire.RootProof{Nonce: nonce, Epoch: n.lease.epoch, Revision: n.state.Revision}
			n.send(probe.link, &wire.Frame{Body: &wire.Frame_RootProof{RootProof: proof}})
		}
	}
}

// allDomainsReachable reports whether no failure domain can have continued with
// another controller. A domain counts as reachable if a member that has not
// restarted since the last renewal is reachable, because that member would
// report the other controller, or if all its members are reachable again.
func (n *Node) allDomainsReachable() bool {
	for _, members := range n.probeResponder.confirmed {
		if !n.domainReachable(members) {
			return false
		}
	}
	return true
}

func (n *Node) domainReachable(members map[string]confirmedMember) bool {
	allReachable := true
	for vm, confirmed := range members {
		e, _ := n.members.Get(vm)
		reachable := e.VM != "" && e.State < member.Lost
		if reachable && e.Incarnation == confirmed.incarnation {
			return true
		}
		allReachable = allReachable && (reachable || !confirmed.live)
	}
	return allReachable
}

// proofReceived handles the response to the node's own probe and forwards the
// responses to its children's probes.
func (n *Node) proofReceived(proof *wire.RootProof) {
	if proof.GetEpoch() < n.controller.epoch {
		return
	}
	if proof.GetNonce() == n.ready.probeNonce && n.ready.probeNonce != 0 {
		n.setMinRevision(proof.GetRevision())
	}
	link, ok := n.tree.relayedProbes[proof.GetNonce()]
	if !ok {
		return
	}
	delete(n.tree.relayedProbes, proof.GetNonce())
	n.send(link, &wire.Frame{Body: &wire.Frame_RootProof{RootProof: proof}})
}
