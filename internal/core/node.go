package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
)

// Node is the state machine of one daemon. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	now     time.Time
	effects []Effect

	replica
	softState
	evidence evidence

	// members holds the endpoints of all daemons, and self that of this one.
	members *member.Table
	self    member.Endpoint
	tree    tree

	controller     controllerInfo
	lease          lease
	poll           logPoll
	moves          movePlans
	calls          calls
	announce       announcement
	ready          readiness
	probeResponder probeResponder
	statement      statement

	publishDue bool
	stopping   bool
}

// NewNode returns a node that has no configuration yet.
func NewNode(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:       cfg,
		now:       now,
		replica:   newReplica(),
		softState: newSoftState(),
		members:   member.NewTable(),
		self:      newSelf(&cfg),
	}
	n.evidence.init()
	n.moves.init()
	n.tree.init(now)
	n.calls.init()
	n.probeResponder.init()
	n.members.Merge(now, n.self)
	return n
}

// Step handles an event and returns the effects that the daemon has to carry
// out. now must not decrease between calls.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	n.now = now
	n.effects = nil
	switch e := ev.(type) {
	case Tick:
		n.tick()
	case LinkUp:
		n.linkUp(e.Link)
	case LinkDown:
		n.linkDown(e.Link, e.Err)
	case FrameReceived:
		n.frameReceived(e.Link, e.Frame)
	case PlatformDone:
		n.platformDone(e)
	case Submit:
		n.submit(e)
	case TargetChanged:
		n.targetChanged(e)
	case SamplesTaken:
		n.samplesTaken(e.Samples)
	case CrashReported:
		n.crashReported(e.Fingerprint)
	case Stop:
		n.stop()
	case Leave:
		n.leave()
	}
	n.publish()
	return n.effects
}

func (n *Node) tick() {
	n.tickAnnouncement()
	n.tickReadiness()
	n.answerProbes()
	n.tickTree()
	n.tickLease()
	n.tickLog()
	n.tickMembers()
	n.tickMoves()
	n.tickAcks()
}

// isController reports whether this node holds the lease and has read the whole
// log since it acquired it. A node that cannot renew the lease may have been
// replaced without having detected it.
func (n *Node) isController() bool { return n.lease.acquired && n.lease.caughtUp }

// Ready returns nil once the node may serve, or fault.NotReady.
func (n *Node) Ready() error {
	if n.stopping {
		return fault.New(fault.NotReady, "the daemon is stopping")
	}
	if !n.ready.done {
		return fault.New(fault.NotReady, "revision %d is not yet known to be the newest", n.state.Revision)
	}
	return nil
}
