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

// link is one link from its dial or admission to its end.
type link struct {
	id        LinkID
	transport *Yamux
	queue     *queue
	ctx       context.Context
	cancel    context.CancelFunc
	up        atomic.Bool
	// conn is set before up.
	conn atomic.Pointer[countedConn]

	mu      sync.Mutex
	closing bool
	stopped bool
	// cause is the first reason for the end; nil for an end that was asked for.
	cause error
}

func newLink(y *Yamux, id LinkID) *link {
	l := &link{id: id, transport: y, queue: newQueue(&y.config, time.Now())}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *link) dialed() bool { return l.id&AcceptedBit == 0 }

// stop ends the link at once. Only the first call sets the cause.
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

// close ends the link once its queue has been written. A link that is still
// being opened ends at once.
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
// the queue ends the link, because its absence would go unnoticed.
func (l *link) send(frame *wire.Frame, bulk bool) {
	encoded, err := encodeFrame(frame)
	if err == nil {
		err = l.queue.push(item{kind: kindOf(frame), encoded: encoded}, bulk, time.Now())
	}
	if err != nil {
		l.stop(err)
	}
}

// run opens the link, serves it and reports its end.
func (l *link) run(open func(context.Context) (*pipe, error)) {
	ctx, cancel := context.WithTimeout(l.ctx, l.transport.config.DialTimeout)
	p, err := open(ctx)
	cancel()
	if err != nil {
		l.stop(err)
		l.transport.remove(l)
		l.reportUnopened()
		return
	}
	l.serve(p)
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

// serve calls the handler from this goroutine only, which keeps the calls in order.
func (l *link) serve(p *pipe) {
	context.AfterFunc(l.ctx, p.close)
	l.conn.Store(p.conn)
	l.up.Store(true)
	var helpers sync.WaitGroup
	helpers.Go(func() { l.write(p) })
	helpers.Go(func() { l.refuseStreams(p) })
	if l.dialed() {
		helpers.Go(func() { l.ping(p) })
	}
	l.transport.config.Handler.LinkUp(l.id, p.conn.RemoteAddr().String())
	l.read(p)
	helpers.Wait()
}

func (l *link) read(p *pipe) {
	reader := bufio.NewReader(p.stream)
	for {
		frame, n, err := readFrame(reader)
		if err != nil {
			l.stop(err)
			return
		}
		if l.ctx.Err() != nil {
			return
		}
		kind := kindOf(frame)
		l.transport.counters.countReceived(kind, n)
		// A newer version may send a body that this one does not know.
		if kind != unknownKind {
			l.transport.config.Handler.FrameReceived(l.id, frame)
		}
	}
}

func (l *link) write(p *pipe) {
	for {
		next := l.queue.pop(time.Now())
		switch {
		case next.ok:
			if !l.writeItem(p, next.item) {
				return
			}
		case next.done:
			_ = p.stream.Close()
			l.stopAfter(lingerTimeout)
			return
		case !l.awaitQueue(next.wait):
			return
		}
	}
}

func (l *link) writeItem(p *pipe, it item) bool {
	if _, err := p.stream.Write(it.encoded); err != nil {
		l.stop(fault.Wrap(err, fault.Unavailable, "write frame %s", it.kind))
		return false
	}
	l.transport.counters.countSent(it.kind, len(it.encoded))
	return true
}

// awaitQueue waits for a new frame or, when wait is set, for that time. It
// returns false at the end of the link.
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

// ping makes the peer answer, so that both sides hear each other.
func (l *link) ping(p *pipe) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// A ping without an answer is noticed as silence.
			_, _ = p.session.Ping()
		case <-l.ctx.Done():
			return
		}
	}
}

// refuseStreams ends the link when the peer opens a second stream.
func (l *link) refuseStreams(p *pipe) {
	if _, err := p.session.AcceptStream(); err == nil {
		l.stop(fault.New(fault.Protocol, "peer opened a second stream"))
	}
}
