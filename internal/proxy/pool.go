package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// pool holds the places for connections to one endpoint, and the idle ones
// of them that have no goroutines. The places are shared with http.Transport,
// so that both together keep within the endpoint's limit.
type pool struct {
	address string
	dialer  net.Dialer
	// requestID is as in linkOptions.
	requestID string
	// load is as in linkOptions.
	load *routing.LinkLoad
	// places has an element for each open connection.
	places chan struct{}

	mu sync.Mutex
	// idle is in the order of the last use.
	idle []*directConn
	// wanting counts the dials of http.Transport that wait for a place. While
	// there are any, no connection is kept idle.
	wanting  int
	closed   bool
	sweeping bool
}

// get returns a connection for one round trip, or nil when there is no place
// for another one.
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
	case p.places <- struct{}{}:
	default:
		return nil, nil
	}
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	direct, err := newDirectConn(conn, p.requestID)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return direct, nil
}

// takeIdle returns the connection that was used last, or nil.
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

// dialPlaced dials for http.Transport. It takes the place of an idle
// connection, or waits for a place, when there is none left.
func (p *pool) dialPlaced(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case p.places <- struct{}{}:
		return p.dialConn(ctx)
	default:
	}
	p.want(1)
	defer p.want(-1)
	select {
	case p.places <- struct{}{}:
		return p.dialConn(ctx)
	case <-ctx.Done():
		return nil, &dialError{cause: ctx.Err()}
	}
}

func (p *pool) want(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanting += change
	if p.wanting > 0 {
		p.closeIdle()
	}
}

// dialConn keeps a nil connection from becoming a net.Conn that is not nil.
func (p *pool) dialConn(ctx context.Context) (net.Conn, error) {
	conn, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// dial opens a connection on a place that the caller took.
func (p *pool) dial(ctx context.Context) (*countedConn, error) {
	started := time.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		<-p.places
		return nil, &dialError{cause: err}
	}
	return &countedConn{Conn: conn, places: p.places, dialTime: time.Since(started), load: p.load}, nil
}

// put keeps a connection whose answer was read to its end.
func (p *pool) put(conn *directConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.wanting > 0 {
		_ = conn.Close()
		return
	}
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(idleTimeout, p.sweep)
	}
}

// sweep closes the connections that were not used for idleTimeout.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].idleSince) >= idleTimeout {
		_ = p.idle[old].Close()
		old++
	}
	left := copy(p.idle, p.idle[old:])
	clear(p.idle[left:])
	p.idle = p.idle[:left]
	p.sweeping = left > 0
	if p.sweeping {
		time.AfterFunc(p.idle[0].idleSince.Add(idleTimeout).Sub(now), p.sweep)
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
