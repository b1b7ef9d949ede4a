package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/shutdown"
)

const (
	// headerTimeout is the timeout for reading the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
)

// servers contains the HTTP servers of a daemon.
type servers struct {
	caller  server
	inbound server
	admin   server
	// requests is the parent of the contexts of all requests of callers and of other
	// daemons, and cancelRequests cancels it.
	requests       context.Context
	cancelRequests context.CancelFunc
	// cancelOperators cancels the contexts of all operators' requests.
	cancelOperators context.CancelFunc
}

type server struct {
	name     string
	http     *http.Server
	listener net.Listener
	// tcp is the listener without TLS.
	tcp *shutdown.Listener
}

// listen binds the addresses, so that an address in use is reported at startup.
// It fails with fault.Invalid.
func (s *servers) listen(d *Daemon) error {
	callerMux := http.NewServeMux()
	callerMux.Handle(proxy.TargetPath, d.targets)
	callerMux.Handle("/", d.outbound)
	adminHandler := admin.NewServer(d, admin.ServerConfig{
		Token: d.settings.Admin.Token, Metrics: d.registry,
		Panicked: func(path string, value any) {
			d.logger.Error().Str("path", path).Any("panic", value).Msg("handler panicked")
		},
	})
	limit := d.settings.Limits.MaxHeaderBytes
	s.caller = server{name: "caller", http: newServer(proxy.CloseWhile(d.stopping.Load, bypassMux(callerMux, d)), limit)}
	s.inbound = server{name: "inbound", http: newServer(proxy.CloseWhile(d.stopping.Load, d.inbound), limit)}
	s.admin = server{name: "admin", http: newServer(proxy.CloseWhile(d.stopping.Load, adminHandler), limit)}
	s.requests, s.cancelRequests = context.WithCancel(context.Background())
	for _, srv := range []*server{&s.caller, &s.inbound} {
		srv.http.BaseContext = func(net.Listener) context.Context { return s.requests }
	}
	operators, cancelOperators := context.WithCancel(context.Background())
	s.admin.http.BaseContext = func(net.Listener) context.Context { return operators }
	s.cancelOperators = cancelOperators
	for _, bind := range []struct {
		server  *server
		address string
	}{{&s.caller, d.settings.Listen.Caller}, {&s.inbound, d.settings.Listen.Inbound}, {&s.admin, d.settings.Listen.Admin}} {
		listener, err := shutdown.Listen(bind.address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "cannot listen on %s for %s", bind.address, bind.server.name)
		}
		bind.server.listener, bind.server.tcp = listener, listener
		shutdown.TrackState(bind.server.http)
	}
	return s.enableAdminTLS(d)
}

// bypassMux passes requests directly to the outbound proxy unless they are for
// proxy.TargetPath, because the mux redirects requests whose paths are not clean.
func bypassMux(mux http.Handler, d *Daemon) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == proxy.TargetPath {
			mux.ServeHTTP(w, r)
			return
		}
		d.outbound.ServeHTTP(w, r)
	})
}

// enableAdminTLS enables TLS on the administration listener if the settings
// contain a certificate.
func (s *servers) enableAdminTLS(d *Daemon) error {
	if d.settings.Admin.TLSCertificate == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(d.settings.Admin.TLSCertificate, d.settings.Admin.TLSKey)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "cannot load the certificate of the admin listener")
	}
	s.admin.listener = tls.NewListener(s.admin.listener, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13})
	return nil
}

func (s *servers) all() []*server { return []*server{&s.caller, &s.inbound, &s.admin} }

// serve starts the servers. The returned channel receives their errors.
func (s *servers) serve() <-chan error {
	failures := make(chan error, len(s.all()))
	for _, srv := range s.all() {
		go func() {
			if err := srv.http.Serve(srv.listener); !errors.Is(err, http.ErrServerClosed) {
				failures <- fault.Wrap(err, fault.Internal, "serve listener %s", srv.name)
			}
		}()
	}
	return failures
}

// shutdown stops the caller and inbound servers and waits for requests in flight
// until ctx ends. The administration server stays available.
func (s *servers) shutdown(ctx context.Context) error {
	var group sync.WaitGroup
	failures := make(chan error, 2)
	for _, srv := range []*server{&s.caller, &s.inbound} {
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

const (
	// adminStopTimeout is how long a stopping daemon waits for its last responses to
	// operators.
	adminStopTimeout = time.Second
	// finalResponseTime bounds the time for the responses to requests that are
	// canceled.
	finalResponseTime = 200 * time.Millisecond
)

// cancelInFlight cancels the requests that shutdown has not waited for, and waits until
// the proxies have responded to them.
func (s *servers) cancelInFlight() {
	s.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	// Requests that take longer are cut by close.
	_ = s.shutdown(ctx)
}

// shutdownAdmin stops the administration server after the end of the event loop, which
// releases the handlers that wait for it, and waits for their responses. Handlers that
// wait for the platform are canceled after adminStopTimeout, so that they respond.
func (s *servers) shutdownAdmin() {
	if s.shutdownAdminWithin(adminStopTimeout) == nil {
		return
	}
	s.cancelOperators()
	// The server's connections that are left are closed with the daemon.
	_ = s.shutdownAdminWithin(finalResponseTime)
}

func (s *servers) shutdownAdminWithin(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.admin.tcp.Shutdown(ctx, s.admin.http)
}

// close closes all servers and listeners immediately.
func (s *servers) close() {
	if s.cancelOperators != nil {
		s.cancelOperators()
	}
	for _, srv := range s.all() {
		if srv.http != nil {
			_ = srv.http.Close()
		}
		if srv.listener != nil {
			_ = srv.listener.Close()
		}
	}
}
