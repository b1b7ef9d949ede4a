package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// headerTimeout bounds the time that a client takes to send a header. It
	// is above the limit that operators set, 3 s.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection stays open. It is above the
	// time that callers may keep one, 15 s.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header. Operators allow 16 KiB.
	maxHeaderBytes = 64 << 10
)

// server is one listener of the daemon.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
	// requests is true when the listener takes requests of callers, directly
	// or from other daemons. These listeners close first.
	requests bool
}

type servers struct {
	all []*server
	// link, if set, learns what the listeners of requests carry.
	link *routing.LinkLoad
}

// meteredListener counts what its connections carry over the VM's link.
type meteredListener struct {
	net.Listener
	link *routing.LinkLoad
}

// Accept implements net.Listener. Connections from the VM itself do not use
// its link.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || sameHost(conn.RemoteAddr(), conn.LocalAddr()) {
		return conn, err
	}
	return &meteredConn{Conn: conn, link: l.link}, nil
}

func sameHost(a, b net.Addr) bool {
	x, isTCP := a.(*net.TCPAddr)
	y, areTCP := b.(*net.TCPAddr)
	return isTCP && areTCP && x.IP.Equal(y.IP)
}

type meteredConn struct {
	net.Conn
	link *routing.LinkLoad
}

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

// listen binds the addresses, so that a clash is reported at start.
func (s *servers) listen(d *Daemon) error {
	peer := http.NewServeMux()
	peer.HandleFunc("POST "+evidencePath, d.takeReport)
	peer.HandleFunc("POST "+gossipPath, d.takeGossip)
	inbound := d.callers.record(d.inbound, func() bool { return !d.ready.Load() })
	s.link = d.link
	if err := s.add("caller", d.config.Caller, d.closing(d.outbound), true); err != nil {
		return err
	}
	if err := s.add("inbound", d.config.Inbound, d.closing(inbound), true); err != nil {
		return err
	}
	if err := s.add("peer", d.config.Peer, peer, false); err != nil {
		return err
	}
	for _, l := range d.config.Listeners {
		if err := s.add(l.Name, l.Address, l.Handler(d), false); err != nil {
			return err
		}
	}
	return nil
}

func (s *servers) add(name, address string, handler http.Handler, requests bool) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return cannotListen(err, name, address)
	}
	if requests && s.link != nil {
		listener = &meteredListener{Listener: listener, link: s.link}
	}
	s.all = append(s.all, &server{name: name, listener: listener, requests: requests, http: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}})
	return nil
}

func (s *servers) serve() <-chan error {
	failed := make(chan error, len(s.all))
	for _, one := range s.all {
		go func() {
			if err := one.http.Serve(one.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fault.Wrap(err, fault.Internal, "listener %s", one.name)
			}
		}()
	}
	return failed
}

// closing makes the clients of a stopping daemon open a new connection for their
// next request, which goes elsewhere. Connections without a request stay open
// until the listeners close, since closing them now would cross requests.
func (d *Daemon) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// close releases what is still open.
func (s *servers) close() {
	for _, one := range s.all {
		_ = one.http.Close()
		_ = one.listener.Close()
	}
}

// shutdown closes the listeners of requests and waits for those in flight.
func (s *servers) shutdown(ctx context.Context) error {
	var group sync.WaitGroup
	failures := make(chan error, len(s.all))
	for _, one := range s.all {
		if !one.requests {
			continue
		}
		group.Go(func() {
			if err := one.http.Shutdown(ctx); err != nil {
				failures <- fault.Wrap(err, fault.Timeout, "listener %s still had requests in flight", one.name)
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}
