package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/memlimit"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/shutdown"
)

const (
	// headerTimeout bounds the time that a client takes to send a request header.
	// It is longer than the limit that operators set, 3 s.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection stays open. It is longer than
	// callers may keep one, 15 s.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request header. Operators allow 16 KiB.
	maxHeaderBytes = 64 << 10
)

// server is one listener of the daemon with its HTTP server.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
	// tcp is the listener without the count of bytes.
	tcp *shutdown.Listener
	// carriesRequests is true when the listener accepts requests of callers,
	// directly or from other daemons. These listeners are shut down first.
	carriesRequests bool
}

// servers holds all listeners of the daemon.
type servers struct {
	all []*server
	// link counts the traffic of the request listeners. It may be nil.
	link *routing.LinkLoad
	// requests is the parent of the contexts of all requests of callers, and
	// cancelRequests cancels it.
	requests       context.Context
	cancelRequests context.CancelFunc
	// limits bounds what clients occupy; nil without limits.
	limits *clientLimits
}

// meteredListener counts the bytes that its connections transfer over the VM's
// link.
type meteredListener struct {
	net.Listener
	link *routing.LinkLoad
}

// Accept implements net.Listener. Connections from the VM itself are not
// counted, since they do not use its link.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || sameHost(conn.RemoteAddr(), conn.LocalAddr()) {
		return conn, err
	}
	return &meteredConn{Conn: conn, link: l.link}, nil
}

// sameHost reports whether both addresses have the same IP address.
func sameHost(a, b net.Addr) bool {
	addressA, isTCPA := a.(*net.TCPAddr)
	addressB, isTCPB := b.(*net.TCPAddr)
	return isTCPA && isTCPB && addressA.IP.Equal(addressB.IP)
}

// meteredConn counts the bytes that it reads and writes.
type meteredConn struct {
	net.Conn
	link *routing.LinkLoad
}

// NetConn returns the connection whose bytes are counted.
func (c *meteredConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.AddReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.AddSent(n)
	return n, err
}

// listen binds all addresses, so that an address conflict is reported at start.
func (s *servers) listen(d *Daemon) error {
	peer := http.NewServeMux()
	peer.HandleFunc("POST "+evidencePath, d.serveReport)
	peer.HandleFunc("POST "+gossipPath, d.serveGossip)
	peer.HandleFunc("POST "+lostStatePath, d.serveLostState)
	if d.quotas != nil {
		peer.HandleFunc("POST "+quotaPath, d.quotas.serveQuota)
	}
	inbound := d.senders.recordSenders(d.inbound, func() bool { return !d.ready.Load() })
	s.link, s.limits = d.link, newClientLimits(d)
	s.requests, s.cancelRequests = context.WithCancel(context.Background())
	if err := s.add("caller", d.config.Caller, proxy.CloseWhile(d.stopping.Load, d.outbound), memlimit.Caller); err != nil {
		return err
	}
	if err := s.add("inbound", d.config.Inbound, proxy.CloseWhile(d.leaving.Load, inbound), memlimit.Inbound); err != nil {
		return err
	}
	if err := s.add("peer", d.config.Peer, peer, memlimit.Peer); err != nil {
		return err
	}
	for _, l := range d.config.Listeners {
		if err := s.add(l.Name, l.Address, l.Handler(d), memlimit.Other); err != nil {
			return err
		}
	}
	return nil
}

// newHTTPServer returns the HTTP server of a listener.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// add binds an address and adds its server.
func (s *servers) add(name, address string, handler http.Handler, kind memlimit.Kind) error {
	carriesRequests := kind == memlimit.Caller || kind == memlimit.Inbound
	tcp, err := shutdown.Listen(address)
	if err != nil {
		return listenError(err, name, address)
	}
	srv := &server{name: name, listener: tcp, tcp: tcp, carriesRequests: carriesRequests, http: newHTTPServer(handler)}
	if carriesRequests && s.link != nil {
		srv.listener = &meteredListener{Listener: tcp, link: s.link}
	}
	if carriesRequests {
		srv.http.BaseContext = func(net.Listener) context.Context { return s.requests }
	}
	shutdown.TrackState(srv.http)
	s.limits.apply(srv, kind)
	s.all = append(s.all, srv)
	return nil
}

// serve starts all servers. The channel receives the error of a server that
// fails.
func (s *servers) serve() <-chan error {
	failed := make(chan error, len(s.all))
	for _, srv := range s.all {
		go func() {
			if err := srv.http.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fault.Wrap(err, fault.Internal, "listener %s failed", srv.name)
			}
		}()
	}
	return failed
}

// close closes the servers and listeners that are still open.
func (s *servers) close() {
	for _, srv := range s.all {
		_ = srv.http.Close()
		_ = srv.listener.Close()
	}
}

// shutdown closes the request listeners and waits for the requests in flight
// until ctx ends.
func (s *servers) shutdown(ctx context.Context) error {
	var group sync.WaitGroup
	failures := make(chan error, len(s.all))
	for _, srv := range s.all {
		if !srv.carriesRequests {
			continue
		}
		group.Go(func() {
			if err := srv.tcp.Shutdown(ctx, srv.http); err != nil {
				failures <- fault.Wrap(err, fault.Timeout, "stop listener %s", srv.name)
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}

// cancelInFlight cancels the requests that shutdown has not waited for, and waits until
// the proxies have responded to them.
func (s *servers) cancelInFlight() {
	s.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	// Requests that take longer are cut by close.
	_ = s.shutdown(ctx)
}
