package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

// successorInterval bounds the time between two dials to lost members by a
// controller that cannot renew its lease.
const successorInterval = 5 * time.Second

// seekSuccessor looks for a controller that has taken the lease over behind a
// cut. While the platform is down, nothing else tells a replaced controller
// that it was replaced, and its subtree would stay apart after the cut.
func (n *Node) seekSuccessor() {
	t := &n.tree
	if n.now.Sub(n.lease.renewed) < n.cfg.Timings.LeaseTakeover {
		return
	}
	t.nextDial = n.now.Add(successorInterval/2 + n.jitter(successorInterval/2))
	lost := n.lostWithAddress()
	if len(lost) == 0 {
		return
	}
	t.nextLost++
	n.dial(lost[t.nextLost%len(lost)])
}

// lostWithAddress returns the members that are lost, or were removed after
// they had been lost.
func (n *Node) lostWithAddress() []member.Endpoint {
	var lost []member.Endpoint
	for _, e := range n.members.All() {
		if e.State >= member.Lost && e.PeerAddress != "" {
			lost = append(lost, e)
		}
	}
	return lost
}
