package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/memlimit"
)

// clientLimits applies the memory budget to the listeners. It is nil when the
// settings state neither the memory nor the file descriptors.
type clientLimits struct {
	budget *memlimit.Budget
}

// newClientLimits returns the limits that the settings ask for, or nil.
func newClientLimits(d *Daemon) *clientLimits {
	limits := memlimit.Derive(d.config.MemoryBytes, d.config.FileDescriptors)
	if !limits.Enabled() {
		return nil
	}
	events := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliamount_client_limits_total", Help: "Connections and requests that met a limit of memory or connections, by listener and reason.",
	}, []string{"listener", "reason"})
	c := &clientLimits{}
	c.budget = memlimit.New(limits, time.Now, func(e memlimit.Event) {
		events.WithLabelValues(e.Listener, string(e.Reason)).Inc()
		if d.requestLogs.allow(time.Now()) {
			d.logger.Warn().Str("event", "client-limit").Str("reason", string(e.Reason)).Str("listener", e.Listener).Int("connections", e.Open).
				Int64("used_bytes", e.Used).Int64("capacity_bytes", e.Capacity).Dur("stalled", e.Stalled).Msg("a client met a limit")
		}
	})
	reserved := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "magnoliamount_client_bytes", Help: "Bytes reserved for connections, headers and buffered bodies.",
	}, func() float64 { return float64(c.budget.Used()) })
	d.registry.MustRegister(events, reserved)
	return c
}

// apply makes the server of a listener obey the limits.
func (c *clientLimits) apply(srv *server, kind memlimit.Kind) {
	if c == nil {
		return
	}
	srv.listener = &limitedListener{Listener: srv.listener, limits: c.budget.Listener(srv.name, kind)}
	srv.http.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if limited, ok := conn.(*limitedConn); ok {
			return memlimit.NewContext(ctx, limited.holder)
		}
		return ctx
	}
	srv.http.Handler = limitedHandler(srv.http.Handler)
	track := srv.http.ConnState
	srv.http.ConnState = func(conn net.Conn, state http.ConnState) {
		if limited, ok := conn.(*limitedConn); ok && state == http.StateIdle {
			limited.holder.EndRequest()
		}
		track(conn, state)
	}
}

// limitedListener accepts the connections that the limits have room for.
type limitedListener struct {
	net.Listener
	limits *memlimit.Listener
}

// refuseTimeout bounds the write of a refusal to a new connection, whose send buffer is
// empty.
const refuseTimeout = 10 * time.Millisecond

// refusedConnection is the response on a connection that there is no room for. No part
// of a request was read from it.
const refusedConnection = "HTTP/1.1 503 Service Unavailable\r\nMagnoliamount-Outcome: not-run\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Accept implements net.Listener. It refuses connections for which there is no room.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limited := &limitedConn{Conn: conn}
		if limited.holder = l.limits.Open(limited.drop); limited.holder != nil {
			return limited, nil
		}
		_ = conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
		// The client may have gone.
		_, _ = io.WriteString(conn, refusedConnection)
		_ = conn.Close()
	}
}

// limitedConn is a connection with its reservations.
type limitedConn struct {
	net.Conn
	holder *memlimit.Holder
}

// NetConn returns the connection below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It fails when the request header does not fit into the
// budget.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.holder.BeginRead()
	n, err := c.Conn.Read(p)
	if !c.holder.Received(n) && err == nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// drop closes the connection, or fails its reads if atOnce is false.
func (c *limitedConn) drop(atOnce bool) {
	if atOnce {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Close implements net.Conn. It returns the reservations after the descriptor.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}

// limitedHandler tells the limits whether a request has a body. It does not replace the
// body: net/http would then read the rest of a body before it sends a refusal, also one
// that the sender holds back until it gets "100 Continue".
func limitedHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder := memlimit.FromContext(r.Context())
		if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			holder.BeginRun()
		} else {
			holder.BeginBody()
		}
		handler.ServeHTTP(w, r)
	})
}
