package peer

import (
	"bufio"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// link is a connection to another daemon, from its dial or admission until it
// is closed.
type link struct {
	id        LinkID
	transport *Yamux
	queue     *queue
	ctx       context.Context
	cancel    context.CancelFunc
	up        atomic.Bool
	// conn is set before up becomes true.
	conn atomic.Pointer[countedConn]

	mu      sync.Mutex
	closing bool
	stopped bool
	// cause is the first error that ended the link; nil if this side closed it.
	cause error
}

func newLink(y *Yamux, id LinkID) *link {
	l := &link{id: id, transport: y, queue: newQueue(&y.config, time.Now())}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *link) dialed() bool { return l.id&AcceptedBit == 0 }

// stop closes the link immediately. Only the first call sets the cause.
func (l *link) stop(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	if !l.closing || !fault.Is(cause, fault.Unavailable) {
		l.cause = cause
	}
	l.cancel()
}

// close closes the link after its queue has been written. A link that is still
// being opened is closed immediately.
func (l *link) close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.queue.close()
	if !l.up.Load() {
		l.stop(nil)
		return
	}
	l.stopAfter(closeTimeout)
}

func (l *link) stopAfter(delay time.Duration) {
	timer := time.AfterFunc(delay, func() { l.stop(nil) })
	context.AfterFunc(l.ctx, func() { timer.Stop() })
}

// send queues a frame. A frame that is too large or that does not fit into
// the queue ends the link, because the peer would not detect that it is missing.
func (l *link) send(frame *wire.Frame, bulk bool) {
	encoded, err := encodeFrame(frame)
	if err == nil {
		err = l.queue.push(queuedFrame{kind: frameKind(frame), encoded: encoded}, bulk, time.Now())
	}
	if err != nil {
		l.stop(err)
	}
}

// run opens the link, serves it until it ends, and reports the end to the
// handler.
func (l *link) run(open func(context.Context) (*linkConn, error)) {
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.config.DialTimeout)
	c, err := open(ctx)
	cancel()
	if err != nil {
		l.stop(err)
		l.transport.remove(l)
		l.reportUnopened()
		return
	}
	l.serve(c)
	l.transport.remove(l)
	l.transport.config.Handler.LinkDown(l.id, l.cause)
}

func (l *link) reportUnopened() {
	if l.dialed() {
		l.transport.config.Handler.LinkDown(l.id, l.cause)
		return
	}
	l.transport.counters.countRefused(reasonHandshake)
}

// serve runs the goroutines of an open link and returns when all have ended. It
// calls the handler from the calling goroutine only, which keeps the calls in
// order.
func (l *link) serve(c *linkConn) {
	context.AfterFunc(l.ctx, c.close)
	l.conn.Store(c.conn)
	l.up.Store(true)
	var workers sync.WaitGroup
	workers.Go(func() { l.write(c) })
	workers.Go(func() { l.refuseStreams(c) })
	if l.dialed() {
		workers.Go(func() { l.ping(c) })
	}
	l.transport.config.Handler.LinkUp(l.id, c.conn.RemoteAddr().String())
	l.read(c)
	workers.Wait()
}

func (l *link) read(c *linkConn) {
	reader := bufio.NewReader(c.stream)
	for {
		frame, n, err := readFrame(reader)
		if err != nil {
			l.stop(err)
			return
		}
		if l.ctx.Err() != nil {
			return
		}
		kind := frameKind(frame)
		l.transport.counters.countReceived(kind, n)
		// A newer version may send a body type that this version does not
		// support.
		if kind != unknownKind {
			l.transport.config.Handler.FrameReceived(l.id, frame)
		}
	}
}

func (l *link) write(c *linkConn) {
	for {
		next := l.queue.pop(time.Now())
		switch {
		case next.ok:
			if !l.writeFrame(c, next.frame) {
				return
			}
		case next.done:
			_ = c.stream.Close()
			l.stopAfter(lingerTimeout)
			return
		case !l.awaitQueue(next.wait):
			return
		}
	}
}

func (l *link) writeFrame(c *linkConn, frame queuedFrame) bool {
	if _, err := c.stream.Write(frame.encoded); err != nil {
		l.stop(fault.Wrap(err, fault.Unavailable, "write frame %s", frame.kind))
		return false
	}
	l.transport.counters.countSent(frame.kind, len(frame.encoded))
	return true
}

// awaitQueue waits until the queue changes or, if wait is positive, until wait
// has passed. It returns false when the link has ended.
func (l *link) awaitQueue(wait time.Duration) bool {
	var elapsed <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-l.queue.changed:
	case <-elapsed:
	case <-l.ctx.Done():
		return false
	}
	return true
}

// ping sends a ping every pingInterval. The ping and its response keep both
// sides below receiveTimeout.
func (l *link) ping(c *linkConn) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// receiveTimeout detects a ping without a response.
			_, _ = c.session.Ping()
		case <-l.ctx.Done():
			return
		}
	}
}

// refuseStreams ends the link when the peer opens a second stream.
func (l *link) refuseStreams(c *linkConn) {
	if _, err := c.session.AcceptStream(); err == nil {
		l.stop(fault.New(fault.Protocol, "peer opened a second stream"))
	}
}
