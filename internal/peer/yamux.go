package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// acceptRetryDelay is the pause after a failed accept, such as one for lack
// of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

var _ Transport = (*Yamux)(nil)

// Yamux is the Transport over yamux sessions. It is also a
// prometheus.Collector of its metrics.
//
// LinkDown has a nil error when this side closed the link. Otherwise the
// error's kind is fault.Unavailable when the peer closed the link or the
// connection ended, fault.Timeout for a silent peer or a late dial,
// fault.Protocol for a malformed frame, fault.Overloaded for a full queue,
// fault.Unauthorized for a rejected certificate, and fault.Invalid for a
// frame above MaxFrameBytes given to Send.
type Yamux struct {
	config   Config
	counters *counters
	keeper   *keeper
	listener net.Listener

	mu       sync.Mutex
	links    map[LinkID]*link
	accepted int
	lastID   LinkID
	admitted *window
	closed   bool
	// done is closed by Close.
	done chan struct{}
}

// New opens the listener and starts to accept links. It fails with
// fault.Invalid.
func New(config Config) (*Yamux, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	y := &Yamux{
		config: config, counters: newCounters(), links: map[LinkID]*link{}, done: make(chan struct{}),
		admitted: newWindow(config.AcceptPerWindow, config.AcceptWindow),
	}
	if config.TLS != nil {
		keeper, err := newKeeper(*config.TLS, &y.counters.reloadFailures)
		if err != nil {
			return nil, err
		}
		y.keeper = keeper
	}
	if err := y.listen(); err != nil {
		return nil, err
	}
	if config.Registerer != nil {
		if err := config.Registerer.Register(y); err != nil {
			// Close must not unregister the collector that took the names.
			y.config.Registerer = nil
			_ = y.Close()
			return nil, fault.Wrap(err, fault.Invalid, "register metrics of the transport")
		}
	}
	go y.watch()
	return y, nil
}

func (y *Yamux) listen() error {
	if y.config.Listen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", y.config.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "listen on %q", y.config.Listen)
	}
	y.listener = listener
	go y.accept()
	return nil
}

// Addr is the address of the listener, or nil without one.
func (y *Yamux) Addr() net.Addr {
	if y.listener == nil {
		return nil
	}
	return y.listener.Addr()
}

// Stats returns the counters.
func (y *Yamux) Stats() Stats {
	stats := y.counters.stats()
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, l := range y.links {
		switch {
		case !l.up.Load():
		case l.dialed():
			stats.Dialed++
		default:
			stats.Accepted++
		}
	}
	return stats
}

// Dial opens a link. A Dial with an ID that is in use or that has
// AcceptedBit set is ignored. After Close, LinkDown follows.
func (y *Yamux) Dial(id LinkID, address string) {
	y.mu.Lock()
	if y.closed {
		y.mu.Unlock()
		go y.config.Handler.LinkDown(id, fault.New(fault.Unavailable, "the transport is closed"))
		return
	}
	defer y.mu.Unlock()
	if _, used := y.links[id]; used || id&AcceptedBit != 0 {
		return
	}
	l := newLink(y, id)
	y.links[id] = l
	go l.run(func(ctx context.Context) (*pipe, error) { return y.dial(ctx, address) })
}

// Send queues a frame; it may be called from Dial on. The frame may be reused
// after the call. A Send on a link that is down or closing does nothing.
func (y *Yamux) Send(id LinkID, frame *wire.Frame, bulk bool) {
	if l := y.link(id); l != nil {
		l.send(frame, bulk)
	}
}

// CloseLink closes a link after its queue has been written, within 5 s; bulk
// frames that the bulk rate holds back beyond that are dropped.
func (y *Yamux) CloseLink(id LinkID) {
	if l := y.link(id); l != nil {
		l.close()
	}
}

// Close closes the listener and all links at once. It does not wait for the
// handler: LinkDown of each open link follows.
func (y *Yamux) Close() error {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.closed {
		return nil
	}
	y.closed = true
	close(y.done)
	for _, l := range y.links {
		l.stop(nil)
	}
	if y.config.Registerer != nil {
		y.config.Registerer.Unregister(y)
	}
	if y.listener == nil {
		return nil
	}
	if err := y.listener.Close(); err != nil {
		return fault.Wrap(err, fault.Internal, "close listener")
	}
	return nil
}

func (y *Yamux) link(id LinkID) *link {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.links[id]
}

// remove forgets a link before its LinkDown, so that the handler may dial
// with the same ID again.
func (y *Yamux) remove(l *link) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.links, l.id)
	if !l.dialed() {
		y.accepted--
	}
}

func (y *Yamux) accept() {
	for {
		conn, err := y.listener.Accept()
		if err == nil {
			y.admit(conn)
			continue
		}
		if y.isClosed() {
			return
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (y *Yamux) isClosed() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.closed
}

// admit starts a link on an incoming connection, or closes the connection.
func (y *Yamux) admit(conn net.Conn) {
	l, reason := y.newAccepted(time.Now())
	if l == nil {
		y.counters.countRefused(reason)
		_ = conn.Close()
		return
	}
	go l.run(func(ctx context.Context) (*pipe, error) { return y.open(ctx, conn, false) })
}

func (y *Yamux) newAccepted(now time.Time) (*link, string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.closed || y.accepted >= y.config.MaxAccepted {
		return nil, reasonLimit
	}
	if !y.admitted.allow(now) {
		return nil, reasonRate
	}
	y.lastID++
	y.accepted++
	l := newLink(y, y.lastID|AcceptedBit)
	y.links[l.id] = l
	return l, ""
}
