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
)

const (
	// headerTimeout bounds the time that a client takes to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 2 * time.Minute
)

// servers holds the HTTP listeners of a daemon.
type servers struct {
	caller  server
	inbound server
	admin   server
}

type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// listen binds the addresses, so that a clash is reported at start.
func (s *servers) listen(d *Daemon) error {
	callers := http.NewServeMux()
	callers.Handle(proxy.TargetPath, d.targets)
	callers.Handle("/", d.outbound)
	operators := admin.NewServer(d, admin.ServerConfig{
		Token: d.settings.Admin.Token, Metrics: d.registry,
		Panicked: func(path string, value any) {
			d.logger.Error().Str("path", path).Any("panic", value).Msg("handler panicked")
		},
	})
	limit := d.settings.Limits.MaxHeaderBytes
	s.caller = server{name: "caller", http: newServer(rawPaths(callers, d), limit)}
	s.inbound = server{name: "inbound", http: newServer(d.inbound, limit)}
	s.admin = server{name: "admin", http: newServer(operators, limit)}
	for _, bind := range []struct {
		server  *server
		address string
	}{{&s.caller, d.settings.Listen.Caller}, {&s.inbound, d.settings.Listen.Inbound}, {&s.admin, d.settings.Listen.Admin}} {
		listener, err := net.Listen("tcp", bind.address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "cannot listen on %s for %s", bind.address, bind.server.name)
		}
		bind.server.listener = listener
	}
	return s.secureAdmin(d)
}

// rawPaths sends requests past the mux unless they are for the daemon itself,
// because the mux redirects paths that it would write in another way.
func rawPaths(mux http.Handler, d *Daemon) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == proxy.TargetPath {
			mux.ServeHTTP(w, r)
			return
		}
		d.outbound.ServeHTTP(w, r)
	})
}

func (s *servers) secureAdmin(d *Daemon) error {
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

func (s *servers) serve() <-chan error {
	failed := make(chan error, len(s.all()))
	for _, one := range s.all() {
		go func() {
			if err := one.http.Serve(one.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fault.Wrap(err, fault.Internal, "listener %s", one.name)
			}
		}()
	}
	return failed
}

// shutdown stops the listeners of requests and waits for requests in flight.
func (s *servers) shutdown(ctx context.Context) error {
	var group sync.WaitGroup
	failures := make(chan error, 2)
	for _, one := range []*server{&s.caller, &s.inbound} {
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

func (s *servers) close() {
	for _, one := range s.all() {
		if one.http != nil {
			_ = one.http.Close()
		}
		if one.listener != nil {
			_ = one.listener.Close()
		}
	}
}
