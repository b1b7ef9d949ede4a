package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// acceptRetryDelay is the delay before accept is retried after an error, such as
// a lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

var _ Transport = (*Yamux)(nil)

// Yamux is a Transport over yamux sessions. It also implements
// prometheus.Collector for its metrics.
//
// LinkDown reports a nil error when this side closed the link. Otherwise the
// error's kind is fault.Unavailable when the peer closed the link or the
// connection ended, fault.Timeout for an expired receive or dial timeout,
// fault.Protocol for a malformed frame, fault.Overloaded for a full queue,
// fault.Unauthorized for a rejected certificate, and fault.Invalid for a
// frame above MaxFrameBytes given to Send.
type Yamux struct {
	config       Config
	counters     *counters
	certificates *certificateReloader
	listener     net.Listener

	mu            sync.Mutex
	links         map[LinkID]*link
	accepted      int
	lastID        LinkID
	acceptLimiter *slidingWindow
	closed        bool
	// done is closed by Close.
	done chan struct{}
}

// New opens the listener and starts to accept links. It fails with
// fault.Invalid if the configuration cannot be used.
func New(config Config) (*Yamux, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	y := &Yamux{
		config: config, counters: newCounters(), links: map[LinkID]*link{}, done: make(chan struct{}),
		acceptLimiter: newSlidingWindow(config.AcceptPerWindow, config.AcceptWindow),
	}
	if config.TLS != nil {
		certificates, err := newCertificateReloader(*config.TLS, &y.counters.reloadFailures)
		if err != nil {
			return nil, err
		}
		y.certificates = certificates
	}
	if err := y.listen(); err != nil {
		return nil, err
	}
	if config.Registerer != nil {
		if err := config.Registerer.Register(y); err != nil {
			// Close must not unregister the collector that already uses the names.
			y.config.Registerer = nil
			_ = y.Close()
			return nil, fault.Wrap(err, fault.Invalid, "register metrics of the transport")
		}
	}
	go y.monitorReceiveTimeouts()
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

// Addr returns the address of the listener, or nil if there is none.
func (y *Yamux) Addr() net.Addr {
	if y.listener == nil {
		return nil
	}
	return y.listener.Addr()
}

// Stats returns the current counters.
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

// Dial opens a link. It ignores an ID that is in use or that has AcceptedBit set.
// After Close, it reports LinkDown.
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
	go l.run(func(ctx context.Context) (*linkConn, error) { return y.dial(ctx, address) })
}

// Send queues a frame; it may be called as soon as Dial has returned. The frame
// may be reused after the call. Send does nothing on a link that is down or
// closing.
func (y *Yamux) Send(id LinkID, frame *wire.Frame, bulk bool) {
	if l := y.link(id); l != nil {
		l.send(frame, bulk)
	}
}

// CloseLink closes a link after its queue has been written, or after 5 s. Bulk
// frames that the rate limit delays for longer are dropped.
func (y *Yamux) CloseLink(id LinkID) {
	if l := y.link(id); l != nil {
		l.close()
	}
}

// Close closes the listener and all links immediately. It does not wait for the
// handler; LinkDown is called for each open link.
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

// remove deletes a link from the table. It is called before LinkDown, so that the
// handler may dial with the same ID again.
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

// admit starts a link on an incoming connection, or closes the connection if a
// limit is reached.
func (y *Yamux) admit(conn net.Conn) {
	l, reason := y.newAcceptedLink(time.Now())
	if l == nil {
		y.counters.countRefused(reason)
		_ = conn.Close()
		return
	}
	go l.run(func(ctx context.Context) (*linkConn, error) { return y.open(ctx, conn, false) })
}

// newAcceptedLink returns a new link for an incoming connection, or nil and the
// reason for refusing it.
func (y *Yamux) newAcceptedLink(now time.Time) (*link, string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.closed || y.accepted >= y.config.MaxAccepted {
		return nil, reasonLimit
	}
	if !y.acceptLimiter.allow(now) {
		return nil, reasonRate
	}
	y.lastID++
	y.accepted++
	l := newLink(y, y.lastID|AcceptedBit)
	y.links[l.id] = l
	return l, ""
}
