package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

// successorInterval bounds the time between two dials to lost members by a
// controller that cannot renew its lease.
const successorInterval = 5 * time.Second

// searchSuccessor dials lost members to find a controller that has taken the
// lease over on the other side of a network partition. While the platform is
// down, a replaced controller has no other way to detect that it was replaced,
// and its subtree would stay separate after the partition has healed.
func (n *Node) searchSuccessor() {
	t := &n.tree
	if n.now.Sub(n.lease.renewed) < n.cfg.Timings.LeaseTakeover {
		return
	}
	t.nextDial = n.now.Add(successorInterval/2 + n.jitter(successorInterval/2))
	lost := n.lostWithAddress()
	if len(lost) == 0 {
		return
	}
	t.lostIndex++
	n.dial(lost[t.lostIndex%len(lost)])
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
