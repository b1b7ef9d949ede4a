package core

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// parentSearch schedules the search for a parent and excludes members that
// could not be reached recently.
type parentSearch struct {
	// suspects maps members that could not be reached to the end of their
	// exclusion.
	suspects  map[string]time.Time
	nextDial  time.Time
	backoff   time.Duration
	seedIndex int
	// lostIndex selects the lost member to dial next, modulo their number.
	lostIndex int
}

func (s *parentSearch) init() { s.suspects = map[string]time.Time{} }

// suspected reports whether the member is excluded because it could not be
// reached recently.
func (s *parentSearch) suspected(vm string, now time.Time) bool {
	until, ok := s.suspects[vm]
	return ok && now.Before(until)
}

// expireSuspects removes the members whose exclusion has ended.
func (s *parentSearch) expireSuspects(now time.Time) {
	maps.DeleteFunc(s.suspects, func(_ string, until time.Time) bool { return now.After(until) })
}

// searchParent dials a better parent if there is one. The old parent stays
// until the new one has a path to the controller, so that the change does not
// disconnect the subtree.
func (n *Node) searchParent() {
	t := &n.tree
	if n.stopping || t.dialing != nil || n.now.Before(t.nextDial) {
		return
	}
	if n.isController() {
		n.searchSuccessor()
		return
	}
	vm, address := n.chooseParent()
	if address == "" {
		n.delaySearch()
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

// delaySearch postpones the next search of a node that has the best parent.
// Ranking all members in every tick allocates memory in proportion to their
// number, and was the largest part of an idle daemon's CPU time.
func (n *Node) delaySearch() {
	if n.hasControllerPath() {
		n.tree.nextDial = n.now.Add(parentSearchInterval)
	}
}

// scheduleDial schedules the next search after a change of the parent. A parent
// without a path to the controller may itself be below this node, so the search
// continues with a backoff.
func (n *Node) scheduleDial(hasPath bool) {
	t := &n.tree
	if !hasPath {
		n.increaseBackoff()
		return
	}
	t.backoff = 0
	t.nextDial = n.now.Add(suspectDuration + n.jitter(suspectDuration))
}

// chooseParent returns the best parent to dial, or empty strings if the current
// parent is the best.
func (n *Node) chooseParent() (vm, address string) {
	t := &n.tree
	candidates := member.Parents(n.withController(n.reachableMembers()), n.self, n.controller.vm)
	for _, c := range candidates {
		// A member whose first received entry was sent while it was leaving has
		// no address.
		if c.PeerAddress == "" {
			continue
		}
		if t.parent != nil && t.parent.vm == c.VM {
			if n.hasControllerPath() {
				return "", ""
			}
			continue
		}
		return c.VM, c.PeerAddress
	}
	if t.parent == nil && len(n.cfg.SeedPeers) > 0 {
		t.seedIndex++
		seed := n.cfg.SeedPeers[t.seedIndex%len(n.cfg.SeedPeers)]
		if seed != n.cfg.PeerAddress {
			return "", seed
		}
	}
	return "", ""
}

// withController adds the controller to the members, since a node that has just
// started may have found it in the lease only.
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

// dialFailed excludes the member from the search and backs off with full
// jitter, so that many daemons do not reconnect at the same time.
func (n *Node) dialFailed(exclusion time.Duration) {
	t := &n.tree
	if t.dialing == nil {
		return
	}
	if t.dialing.vm != "" {
		t.suspects[t.dialing.vm] = n.now.Add(exclusion)
	}
	t.dialing = nil
	n.increaseBackoff()
}

func (n *Node) increaseBackoff() {
	t := &n.tree
	t.backoff = min(max(2*t.backoff, backoffMin), backoffMax)
	t.nextDial = n.now.Add(n.jitter(t.backoff))
}

// resetBackoff ends a backoff whose failures happened before the new controller
// was found.
func (n *Node) resetBackoff() {
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
