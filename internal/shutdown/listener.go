// Package shutdown stops HTTP servers without losing requests that have already
// arrived. http.Server.Shutdown closes connections that it considers idle, although
// the kernel may hold the bytes of a request that no goroutine has read yet, and
// drops requests that it reads afterwards. On a busy machine that takes
// milliseconds, and the client gets EOF or a reset in place of a response.
package shutdown

import (
	"context"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

const (
	// pollInterval is the interval at which Shutdown checks the connections.
	pollInterval = 5 * time.Millisecond
	// maxBacklogWait is how long Shutdown waits for a moment without connections that
	// the server has not accepted before it keeps clients from opening new ones.
	maxBacklogWait = 200 * time.Millisecond
	// firstRequestWait is how long Shutdown waits for the first request on a new
	// connection.
	firstRequestWait = 500 * time.Millisecond
)

// Listener is a TCP listener of an HTTP server that Shutdown stops.
type Listener struct {
	*net.TCPListener
	stopping atomic.Bool
	// close closes the listener at its first call and returns that result.
	close func() error
	// accept returns the next connection.
	accept func() (*net.TCPConn, error)
	// accepting is the number of calls of Accept, which may have got a connection that
	// open does not hold yet.
	accepting atomic.Int32

	mu sync.Mutex
	// open holds the connections that are not closed.
	open map[*conn]struct{}
}

// Listen listens on the TCP address.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	// Sockets of Multipath TCP have no socket filters.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := listener.(*net.TCPListener)
	return &Listener{TCPListener: tcp, close: sync.OnceValue(tcp.Close), accept: tcp.AcceptTCP, open: map[*conn]struct{}{}}, nil
}

// Close implements net.Listener. http.Server.Shutdown closes the listener again when
// Serve has not returned yet, which is no error.
func (l *Listener) Close() error { return l.close() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Add(1)
	defer l.accepting.Add(-1)
	accepted, err := l.accept()
	switch {
	case err != nil && l.stopping.Load():
		return nil, http.ErrServerClosed
	case err != nil:
		return nil, err
	}
	c := &conn{TCPConn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// TrackState makes the server report the states of its connections, which Shutdown
// needs.
func TrackState(server *http.Server) { server.ConnState = trackState }

// trackState finds the connection of a Listener behind wrappers that have NetConn,
// as tls.Conn does.
func trackState(c net.Conn, state http.ConnState) {
	for {
		if tracked, ok := c.(*conn); ok {
			tracked.setState(state)
			return
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapper.NetConn()
	}
}

// Shutdown stops the server of the listener as http.Server.Shutdown does, but
// serves the requests that have arrived by then. The responses to them must have
// "Connection: close", since a client may otherwise go on with its connection. It
// fails with fault.Timeout when ctx ends first.
func (l *Listener) Shutdown(ctx context.Context, server *http.Server) error {
	l.stopping.Store(true)
	acceptUntil := time.Now().Add(maxBacklogWait)
	waitUntil(ctx, func() bool { return !l.hasBacklog() || time.Now().After(acceptUntil) })
	refused := l.refuseConnections()
	// On a machine without a free processor, the server may accept connections seconds
	// after they were opened. Closing the listener would reset them.
	waitUntil(ctx, func() bool { return !l.hasBacklog() || !refused && time.Now().After(acceptUntil) })
	closed := l.Close()
	waitUntil(ctx, func() bool { return l.accepting.Load() == 0 })
	closeNewFrom := time.Now().Add(firstRequestWait)
	waitUntil(ctx, func() bool { return l.closeUnused(time.Now().After(closeNewFrom)) == 0 })
	if err := server.Shutdown(ctx); err != nil {
		return fault.Wrap(err, fault.Timeout, "requests are still in flight")
	}
	if closed != nil {
		return fault.Wrap(closed, fault.Internal, "close the listener")
	}
	return nil
}

// waitUntil waits until done returns true or ctx ends.
func waitUntil(ctx context.Context, done func() bool) {
	for !done() && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// flagsOffset is the offset in bytes of the flags in a TCP header, and synFlag is the
// flag of segments that open a connection.
const (
	flagsOffset = 13
	synFlag     = 2
)

// dropOpening is a socket filter in classic BPF that drops segments with synFlag and
// keeps all others.
var dropOpening = [...]unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: synFlag, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
}

// refuseConnections keeps clients from opening connections, and reports whether that
// succeeded. A client that tries sends its segment again a second later, and is refused
// if the listener is closed by then.
func (l *Listener) refuseConnections() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		program := unix.SockFprog{Len: uint16(len(dropOpening)), Filter: &dropOpening[0]}
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return err == nil && failure == nil
}

// hasBacklog reports whether connections wait to be accepted. Closing the listener
// resets them.
func (l *Listener) hasBacklog() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// closeUnused closes the idle connections on which no request has arrived, and the
// new ones too if closeNew is set. It returns the number of connections that are
// still open.
func (l *Listener) closeUnused(closeNew bool) int {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	left := len(conns)
	for _, c := range conns {
		if c.isUnused(closeNew) {
			_ = c.Close()
			left--
		}
	}
	return left
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is a connection of a Listener, as the server sees it.
type conn struct {
	*net.TCPConn
	listener *Listener

	mu    sync.Mutex
	state http.ConnState
	// received is true when bytes have been read since the state changed.
	received bool
	// seenUnused is true when the last check found the connection unused.
	seenUnused bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	c.received = n > 0 && err == nil
	c.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.received = state, false
}

// isUnused reports whether the connection is idle, or new if includeNew is set, and
// no part of a request has arrived on it, as in the check before. A single check could
// coincide with a read whose bytes are in neither the kernel nor the count.
func (c *conn) isUnused(includeNew bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.seenUnused
	c.seenUnused = (c.state == http.StateIdle || c.state == http.StateNew && includeNew) && !c.received && !c.hasUnreadBytes()
	return before && c.seenUnused
}

// hasUnreadBytes reports whether the kernel holds bytes that have not been read.
func (c *conn) hasUnreadBytes() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	var first [1]byte
	err = raw.Control(func(fd uintptr) {
		unread, _, _ = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}
