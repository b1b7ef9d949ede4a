package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const (
	// eventQueueCapacity is the maximum number of events queued for the node.
	eventQueueCapacity = 4096
	// maxPlatformCalls is the concurrency limit for platform calls of one daemon.
	maxPlatformCalls = 16
)

// loop is the event loop of the node. Only its goroutine uses the node: it calls
// Step with one event at a time and executes the returned effects.
type loop struct {
	daemon            *Daemon
	node              *core.Node
	transport         peer.Transport
	events            chan core.Event
	viewRequests      chan chan core.NodeView
	readyRequests     chan chan error
	platformCallSlots chan struct{}
	ctx               context.Context
	cancel            context.CancelFunc
	done              chan struct{}

	mu             sync.Mutex
	pendingReplies map[uint64]chan core.Reply
	nextID         uint64
}

func newLoop(d *Daemon) *loop {
	ctx, cancel := context.WithCancel(context.Background())
	s := d.settings
	timings := core.DefaultTimings()
	timings.LeaseRenew = s.Timeouts.LeaseRenew
	timings.LeaseTakeover = s.Timeouts.Lease
	timings.Announce = s.Timeouts.Announce
	timings.MemberExpiry = s.Timeouts.MemberExpiry
	timings.EndpointLost = s.Timeouts.EndpointLost
	now := time.Now()
	node := core.NewNode(core.Config{
		VM: s.VM.Name, Domain: s.VM.FailureDomain, Region: s.VM.Region,
		Incarnation: uint64(now.UnixMicro()),
		PeerAddress: s.Advertise.Peer, InboundAddress: s.Advertise.Inbound, AdminAddress: s.Advertise.Admin,
		SeedPeers: s.Peers.Addresses, Token: s.Peers.Token, Timings: timings, Rand: newRandom(),
	}, now)
	return &loop{
		daemon: d, node: node, ctx: ctx, cancel: cancel,
		events:            make(chan core.Event, eventQueueCapacity),
		viewRequests:      make(chan chan core.NodeView),
		readyRequests:     make(chan chan error),
		platformCallSlots: make(chan struct{}, maxPlatformCalls),
		done:              make(chan struct{}),
		pendingReplies:    map[uint64]chan core.Reply{},
	}
}

// run processes ticks, events and queries of the node until the loop's context
// ends.
func (l *loop) run() {
	defer close(l.done)
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.step(core.Tick{})
		case ev := <-l.events:
			l.step(ev)
		case reply := <-l.viewRequests:
			reply <- l.node.View()
		case reply := <-l.readyRequests:
			reply <- l.node.Ready()
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *loop) step(ev core.Event) {
	for _, effect := range l.node.Step(time.Now(), ev) {
		l.execute(effect)
	}
}

// post queues an event for the node. It blocks while the queue is full and drops
// the event once the loop's context has ended.
func (l *loop) post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.ctx.Done():
	}
}

func (l *loop) execute(effect core.Effect) {
	d := l.daemon
	switch e := effect.(type) {
	case core.SendFrame:
		// The same frame may be sent on several links, so the clock is set on a copy.
		l.transport.Send(e.Link, &wire.Frame{Body: e.Frame.GetBody(), Clock: d.events.Clock()}, e.Bulk)
	case core.Dial:
		l.transport.Dial(e.Link, e.Address)
	case core.CloseLink:
		l.transport.CloseLink(e.Link)
	case core.PlatformCall:
		go l.callPlatform(e)
	case core.Publish:
		d.outbound.Update(e.Config)
		d.outbound.SetReady(nil)
	case core.PublishCrashCounts:
		d.outbound.SetCrashCounts(e.Counts)
		d.inbound.SetCrashCounts(e.Counts)
	case core.Emit:
		d.appendEvent(e.Event)
	case core.Reply:
		l.reply(e)
	}
}

func (l *loop) callPlatform(c core.PlatformCall) {
	l.platformCallSlots <- struct{}{}
	result := executePlatformCall(l.ctx, l.daemon.store, c.Call)
	<-l.platformCallSlots
	l.post(core.PlatformDone{ID: c.ID, Result: result})
}

// executePlatformCall runs one call to the platform and returns its result.
func executePlatformCall(ctx context.Context, store *platform.Store, c core.Call) core.PlatformResult {
	var r core.PlatformResult
	switch {
	case c.Get != nil:
		r.Item, r.Err = store.Table.Get(ctx, *c.Get)
	case c.Query != nil:
		r.Items, r.Err = store.Table.Query(ctx, c.Query.Partition, c.Query.After, c.Query.Limit)
	case c.Transact != nil:
		r.Err = store.Table.Transact(ctx, c.Transact)
	case c.PutObject != nil:
		r.Err = store.Objects.Put(ctx, c.PutObject.Name, c.PutObject.Body)
	case c.GetObject != "":
		r.Body, r.Err = store.Objects.Get(ctx, c.GetObject)
	default:
		r.Err = fault.New(fault.Internal, "platform call has no operation")
	}
	return r
}

// LinkUp posts the opening of a link to the node.
func (l *loop) LinkUp(id peer.LinkID, _ string) { l.post(core.LinkUp{Link: id}) }

// LinkDown posts the end of a link to the node.
func (l *loop) LinkDown(id peer.LinkID, err error) { l.post(core.LinkDown{Link: id, Err: err}) }

// FrameReceived advances the Lamport clock to at least that of the frame and
// posts the frame to the node.
func (l *loop) FrameReceived(id peer.LinkID, frame *wire.Frame) {
	l.daemon.events.Witness(frame.GetClock())
	l.post(core.FrameReceived{Link: id, Frame: frame})
}

// submit posts a ticket to the node and waits for its reply. It fails with
// fault.UnknownOutcome if ctx or the loop ends before the reply.
func (l *loop) submit(ctx context.Context, s core.Submit) (core.Accepted, error) {
	reply := make(chan core.Reply, 1)
	l.mu.Lock()
	l.nextID++
	s.ID = l.nextID
	l.pendingReplies[s.ID] = reply
	l.mu.Unlock()
	l.post(s)
	select {
	case r := <-reply:
		return r.Accepted, r.Err
	case <-ctx.Done():
		l.removePendingReply(s.ID)
		return core.Accepted{}, fault.New(fault.UnknownOutcome, "it is not known whether ticket %d was accepted; submit it again", s.Ticket.Number)
	case <-l.ctx.Done():
		return core.Accepted{}, fault.New(fault.UnknownOutcome, "the daemon stopped; submit ticket %d again", s.Ticket.Number)
	}
}

// reply delivers a reply of the node to the waiting submit, if there is one.
func (l *loop) reply(r core.Reply) {
	l.mu.Lock()
	pending := l.pendingReplies[r.ID]
	delete(l.pendingReplies, r.ID)
	l.mu.Unlock()
	if pending != nil {
		pending <- r
	}
}

func (l *loop) removePendingReply(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingReplies, id)
}

// view returns a copy of the node's state for the administration API. After the
// loop has stopped, that is its last state.
func (l *loop) view() core.NodeView {
	reply := make(chan core.NodeView, 1)
	select {
	case l.viewRequests <- reply:
		return <-reply
	case <-l.done:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.node.View()
	}
}

// readiness returns nil if the node can serve, or fault.NotReady.
func (l *loop) readiness() error {
	reply := make(chan error, 1)
	select {
	case l.readyRequests <- reply:
		return <-reply
	case <-l.ctx.Done():
		return fault.New(fault.NotReady, "the daemon has stopped")
	}
}
