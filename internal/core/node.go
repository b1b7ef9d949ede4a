package core

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// Config describes the daemon to its node.
type Config struct {
	VM     string
	Domain string
	Region string
	// Incarnation rises with every start of the daemon on this VM.
	Incarnation    uint64
	PeerAddress    string
	InboundAddress string
	AdminAddress   string
	// SeedPeers are peer addresses for a start while the platform is down.
	SeedPeers []string
	// Token is the secret that every daemon of the mesh sends in Hello.
	Token   string
	Timings Timings
	// Rand is the only source of randomness of the node.
	Rand *rand.Rand
}

// Node is the state machine of one daemon. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	now     time.Time
	effects []Effect

	state    *model.State
	recent   []*model.Record
	shadow   *model.State
	members  *member.Table
	self     member.Endpoint
	steps    map[uint64]move.Step
	brakes   map[uint64]*wire.Brake
	strikes  map[uint64]uint32
	evidence evidence

	controller controllerInfo
	lease      lease
	poll       logPoll
	moves      movePlans
	tree       tree
	calls      calls
	announce   announcement
	ready      readiness
	proofs     proofs
	statement  statement

	publishDue bool
	stopping   bool
}

// controllerInfo is the newest controller that the node knows.
type controllerInfo struct {
	vm      string
	epoch   uint64
	address string
}

// NewNode returns a node that has no configuration yet.
func NewNode(cfg Config, now time.Time) *Node {
	n := &Node{
		cfg:     cfg,
		now:     now,
		state:   model.NewState(),
		shadow:  model.NewState(),
		members: member.NewTable(),
		steps:   map[uint64]move.Step{},
		brakes:  map[uint64]*wire.Brake{},
		strikes: map[uint64]uint32{},
		self: member.Endpoint{
			VM: cfg.VM, Incarnation: cfg.Incarnation, Sequence: 1, Described: 1, State: member.Ready,
			Domain: cfg.Domain, Region: cfg.Region,
			PeerAddress: cfg.PeerAddress, InboundAddress: cfg.InboundAddress, AdminAddress: cfg.AdminAddress,
		},
	}
	n.evidence.init()
	n.moves.init()
	n.tree.init(now)
	n.calls.init()
	n.proofs.init()
	n.members.Merge(now, n.self)
	return n
}

// Step handles an event and returns what the daemon has to do. now must not
// go back.
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
	case StrikeSeen:
		n.strikeSeen(e.Fingerprint)
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

func (n *Node) emit(kind timeline.Kind, set func(*timeline.Event)) {
	event := timeline.Event{Kind: kind}
	if set != nil {
		set(&event)
	}
	n.effects = append(n.effects, Emit{Event: event})
}

func detail(text string) func(*timeline.Event) {
	return func(e *timeline.Event) { e.Detail = text }
}

func (n *Node) send(link peer.LinkID, frame *wire.Frame) {
	n.effects = append(n.effects, SendFrame{Link: link, Frame: frame})
}

func (n *Node) sendBulk(link peer.LinkID, frame *wire.Frame) {
	n.effects = append(n.effects, SendFrame{Link: link, Frame: frame, Bulk: true})
}

// isController reports whether this node holds the lease, as far as it knows,
// and has read the whole log since it took it.
func (n *Node) isController() bool { return n.lease.held && n.lease.caughtUp }

// stop tells the others that this daemon leaves, and gives up the lease.
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

// leave tells the others that this daemon is gone, so that nobody waits for it.
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

// announceSelf spreads this daemon's own endpoint with a higher sequence, and
// with its description if that is new.
func (n *Node) announceSelf(described bool) {
	n.self.Sequence++
	if described {
		n.self.Described = n.self.Sequence
	}
	n.members.Merge(n.now, n.self)
	n.emit(timeline.EndpointChanged, detail(n.self.Target.Service+" "+n.self.Target.Version+" "+n.self.State.String()))
	n.markDirty(n.cfg.VM, noLink, described)
	n.publishDue = true
}

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
