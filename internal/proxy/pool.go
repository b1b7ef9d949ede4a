package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// pool limits the open connections to one endpoint and holds the idle ones that
// it dialed for direct use. The permits are shared with http.Transport, so that
// both together stay within the endpoint's connection limit.
type pool struct {
	address string
	dialer  net.Dialer
	// requestID is as in linkOptions.
	requestID string
	// load is as in linkOptions.
	load *routing.LinkLoad
	// permits is a counting semaphore with one element for each open connection.
	permits chan struct{}

	mu sync.Mutex
	// idle is ordered by the last use, oldest first.
	idle []*directConn
	// waitingDials counts the dials of http.Transport that wait for a permit. While
	// there are any, no connection is kept idle.
	waitingDials   int
	closed         bool
	sweepScheduled bool
}

// get returns a connection for one round trip, or nil when no permit for another
// connection is available.
func (p *pool) get(ctx context.Context) (*directConn, error) {
	for {
		conn := p.takeIdle()
		if conn == nil {
			break
		}
		if conn.usable() {
			return conn, nil
		}
		_ = conn.Close()
	}
	select {
	case p.permits <- struct{}{}:
	default:
		return nil, nil
	}
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	direct, err := newDirectConn(conn, p)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return direct, nil
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) takeIdle() *directConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

// dialWithPermit dials for http.Transport. If no permit is available, it closes the
// idle connections of the pool and waits for a permit.
func (p *pool) dialWithPermit(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case p.permits <- struct{}{}:
		return p.dialConn(ctx)
	default:
	}
	p.addWaitingDials(1)
	defer p.addWaitingDials(-1)
	select {
	case p.permits <- struct{}{}:
		return p.dialConn(ctx)
	case <-ctx.Done():
		return nil, &dialError{cause: ctx.Err()}
	}
}

func (p *pool) addWaitingDials(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingDials += change
	if p.waitingDials > 0 {
		p.closeIdle()
	}
}

// dialConn calls dial and returns an untyped nil on failure. A nil *countedConn
// would become a non-nil net.Conn.
func (p *pool) dialConn(ctx context.Context) (net.Conn, error) {
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// dial opens a connection with a permit that its caller has acquired. It releases
// the permit if the dial fails.
func (p *pool) dial(ctx context.Context) (*countedConn, error) {
	started := time.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		<-p.permits
		return nil, &dialError{cause: err}
	}
	return &countedConn{Conn: conn, permits: p.permits, dialTime: time.Since(started), load: p.load}, nil
}

// put makes a connection idle after its response was read to the end. It closes
// the connection if the pool is closed or a dial of http.Transport waits.
func (p *pool) put(conn *directConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.waitingDials > 0 {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	if !p.sweepScheduled {
		p.sweepScheduled = true
		time.AfterFunc(idleTimeout, p.closeExpired)
	}
}

// closeExpired closes the connections that were idle for idleTimeout or longer.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	expired := 0
	for expired < len(p.idle) && now.Sub(p.idle[expired].idleSince) >= idleTimeout {
		_ = p.idle[expired].Close()
		expired++
	}
	left := copy(p.idle, p.idle[expired:])
	clear(p.idle[left:])
	p.idle = p.idle[:left]
	p.sweepScheduled = left > 0
	if p.sweepScheduled {
		time.AfterFunc(p.idle[0].idleSince.Add(idleTimeout).Sub(now), p.closeExpired)
	}
}

// close closes the idle connections now and the others after their round trip.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

func (p *pool) closeIdle() {
	for _, conn := range p.idle {
		_ = conn.Close()
	}
	p.idle = nil
}
