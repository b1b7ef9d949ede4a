package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const (
	// eventQueue is the number of events that may wait for the node.
	eventQueue = 4096
	// maxPlatformCalls bounds the platform calls of one daemon at a time.
	maxPlatformCalls = 16
)

// loop owns the node: it alone calls Step, one event at a time, and carries
// out the effects.
type loop struct {
	daemon    *Daemon
	node      *core.Node
	transport peer.Transport
	events    chan core.Event
	views     chan chan core.NodeView
	ready     chan chan error
	calls     chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}

	mu      sync.Mutex
	replies map[uint64]chan core.Reply
	nextID  uint64
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
		events:  make(chan core.Event, eventQueue),
		views:   make(chan chan core.NodeView),
		ready:   make(chan chan error),
		calls:   make(chan struct{}, maxPlatformCalls),
		done:    make(chan struct{}),
		replies: map[uint64]chan core.Reply{},
	}
}

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
		case reply := <-l.views:
			reply <- l.node.View()
		case reply := <-l.ready:
			reply <- l.node.Ready()
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *loop) step(ev core.Event) {
	for _, effect := range l.node.Step(time.Now(), ev) {
		l.carryOut(effect)
	}
}

// post queues an event for the node. It waits while the queue is full.
func (l *loop) post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.ctx.Done():
	}
}

func (l *loop) carryOut(effect core.Effect) {
	d := l.daemon
	switch e := effect.(type) {
	case core.SendFrame:
		// A frame may be queued on several links, so the clock goes into a copy.
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
		d.record(e.Event)
	case core.Reply:
		l.reply(e)
	}
}

func (l *loop) callPlatform(c core.PlatformCall) {
	l.calls <- struct{}{}
	result := call(l.ctx, l.daemon.store, c.Call)
	<-l.calls
	l.post(core.PlatformDone{ID: c.ID, Result: result})
}

// call carries out one call to the platform.
func call(ctx context.Context, store *platform.Store, c core.Call) core.PlatformResult {
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
		r.Err = fault.New(fault.Internal, "platform call without an operation")
	}
	return r
}

// LinkUp reports a link of the transport.
func (l *loop) LinkUp(id peer.LinkID, _ string) { l.post(core.LinkUp{Link: id}) }

// LinkDown reports the end of a link.
func (l *loop) LinkDown(id peer.LinkID, err error) { l.post(core.LinkDown{Link: id, Err: err}) }

// FrameReceived reports a frame of another daemon.
func (l *loop) FrameReceived(id peer.LinkID, frame *wire.Frame) {
	l.daemon.events.Witness(frame.GetClock())
	l.post(core.FrameReceived{Link: id, Frame: frame})
}

// submit hands a ticket to the node and waits for its reply.
func (l *loop) submit(ctx context.Context, s core.Submit) (core.Accepted, error) {
	answer := make(chan core.Reply, 1)
	l.mu.Lock()
	l.nextID++
	s.ID = l.nextID
	l.replies[s.ID] = answer
	l.mu.Unlock()
	l.post(s)
	select {
	case r := <-answer:
		return r.Accepted, r.Err
	case <-ctx.Done():
		l.forget(s.ID)
		return core.Accepted{}, fault.New(fault.UnknownOutcome, "it is not known whether ticket %d was accepted; submit it again", s.Ticket.Number)
	case <-l.ctx.Done():
		return core.Accepted{}, fault.New(fault.UnknownOutcome, "the daemon stopped; submit ticket %d again", s.Ticket.Number)
	}
}

func (l *loop) reply(r core.Reply) {
	l.mu.Lock()
	answer := l.replies[r.ID]
	delete(l.replies, r.ID)
	l.mu.Unlock()
	if answer != nil {
		answer <- r
	}
}

func (l *loop) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.replies, id)
}

// view returns what the administration API shows of the node.
func (l *loop) view() core.NodeView {
	answer := make(chan core.NodeView, 1)
	select {
	case l.views <- answer:
		return <-answer
	case <-l.ctx.Done():
		return core.NodeView{State: model.NewState()}
	}
}

func (l *loop) readiness() error {
	answer := make(chan error, 1)
	select {
	case l.ready <- answer:
		return <-answer
	case <-l.ctx.Done():
		return fault.New(fault.NotReady, "the daemon has stopped")
	}
}
