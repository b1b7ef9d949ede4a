package core

import (
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// newSelf returns the endpoint of a daemon that has no target yet.
func newSelf(cfg *Config) member.Endpoint {
	return member.Endpoint{
		VM: cfg.VM, Incarnation: cfg.Incarnation, Sequence: 1, DescriptionSequence: 1, State: member.Ready,
		Domain: cfg.Domain, Region: cfg.Region,
		PeerAddress: cfg.PeerAddress, InboundAddress: cfg.InboundAddress, AdminAddress: cfg.AdminAddress,
	}
}

// stop announces that this daemon is leaving, and gives up the lease.
func (n *Node) stop() {
	if n.stopping {
		return
	}
	n.stopping = true
	n.emit(timeline.DaemonStopping, nil)
	n.self.State = member.Draining
	n.announceSelf(false)
	n.releaseLease()
	n.removeAnnouncement()
}

// leave announces that this daemon is gone, so that no other daemon waits for
// it.
func (n *Node) leave() {
	n.stopping = true
	n.self.State = member.Gone
	n.announceSelf(false)
	n.flushEndpoints()
}

func (n *Node) targetChanged(e TargetChanged) {
	state := member.Ready
	if e.State == member.Draining || n.stopping {
		state = member.Draining
	}
	if e.State == member.Gone {
		e.Target = member.Target{}
	}
	if n.self.Target == e.Target && n.self.State == state {
		return
	}
	described := n.self.Target != e.Target
	n.self.Target = e.Target
	n.self.State = state
	n.announceSelf(described)
}

// announceSelf sends this daemon's own endpoint to the neighbors with a higher
// sequence, and with its description if described is set.
func (n *Node) announceSelf(described bool) {
	n.self.Sequence++
	if described {
		n.self.DescriptionSequence = n.self.Sequence
	}
	n.members.Merge(n.now, n.self)
	n.emit(timeline.EndpointChanged, detail(n.self.Target.Service+" "+n.self.Target.Version+" "+n.self.State.String()))
	n.tree.markDirty(n.cfg.VM, noLink, described)
	n.publishDue = true
}

// reassertSelf overrides an entry of this VM that other daemons sent if it is
// newer than the node's own. An entry of a higher incarnation is from an
// earlier start with a clock that was ahead.
func (n *Node) reassertSelf(e *member.Endpoint) {
	if n.stopping || !e.Newer(&n.self) {
		return
	}
	n.self.Sequence = e.Sequence
	restarted := e.Incarnation > n.self.Incarnation
	if restarted {
		n.self.Incarnation = e.Incarnation + 1
		n.announce.nextWrite = n.now
	}
	n.announceSelf(restarted)
}
