package core

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// search tells when to look for a parent and which members to leave out.
type search struct {
	// suspects are members that could not be reached, and until when they are
	// left out.
	suspects map[string]time.Time
	nextDial time.Time
	backoff  time.Duration
	nextSeed int
	// nextLost counts the dials to lost members.
	nextLost int
}

func (s *search) init() { s.suspects = map[string]time.Time{} }

// suspected reports whether the member could not be reached lately.
func (s *search) suspected(vm string, now time.Time) bool {
	until, ok := s.suspects[vm]
	return ok && now.Before(until)
}

// forgetSuspects drops the members that are no longer left out.
func (s *search) forgetSuspects(now time.Time) {
	maps.DeleteFunc(s.suspects, func(_ string, until time.Time) bool { return now.After(until) })
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
	if n.tree.suspected(c.vm, n.now) {
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

func (n *Node) sendHello(id peer.LinkID, digests map[string]uint64) {
	hello := &wire.Hello{
		Vm: n.cfg.VM, Incarnation: n.self.Incarnation, Domain: n.cfg.Domain, Region: n.cfg.Region,
		Revision: n.state.Revision, Epoch: n.controller.epoch, Token: n.cfg.Token,
		EndpointDigests: digests,
	}
	n.send(id, &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
}
