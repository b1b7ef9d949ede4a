package peer

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Reasons for refusing an incoming connection, as in the metric's label.
const (
	reasonRate      = "rate"
	reasonLimit     = "limit"
	reasonHandshake = "handshake"
)

// Count is a number of frames and their bytes, length prefixes included.
type Count struct {
	Frames uint64
	Bytes  uint64
}

// Stats contains the counters of a transport since its start.
type Stats struct {
	// Sent and Received are keyed by the frame kind, named as in wire.proto.
	Sent     map[string]Count
	Received map[string]Count
	// WireSent and WireReceived count all bytes on TCP connections: frames,
	// yamux headers, keepalive and TLS.
	WireSent     uint64
	WireReceived uint64
	// Accepted and Dialed are the numbers of open links.
	Accepted int
	Dialed   int
	// Refused counts incoming connections that were closed, by reason.
	Refused map[string]uint64
	// ReloadFailures counts TLS files that could not be loaded after a change.
	ReloadFailures uint64
}

// counters collects the values of Stats. It is safe for concurrent use.
type counters struct {
	wireSent       atomic.Uint64
	wireReceived   atomic.Uint64
	reloadFailures atomic.Uint64

	mu       sync.Mutex
	sent     map[string]Count
	received map[string]Count
	refused  map[string]uint64
}

func newCounters() *counters {
	return &counters{sent: map[string]Count{}, received: map[string]Count{}, refused: map[string]uint64{}}
}

func (c *counters) countSent(kind string, bytes int)     { c.count(c.sent, kind, bytes) }
func (c *counters) countReceived(kind string, bytes int) { c.count(c.received, kind, bytes) }

func (c *counters) count(counts map[string]Count, kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := counts[kind]
	count.Frames++
	count.Bytes += uint64(bytes)
	counts[kind] = count
}

func (c *counters) countRefused(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[reason]++
}

func (c *counters) stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{
		Sent: maps.Clone(c.sent), Received: maps.Clone(c.received), Refused: maps.Clone(c.refused),
		WireSent: c.wireSent.Load(), WireReceived: c.wireReceived.Load(),
		ReloadFailures: c.reloadFailures.Load(),
	}
}

// countedConn counts the bytes of a connection and records when the last byte
// was received.
type countedConn struct {
	net.Conn
	counters *counters
	// lastReceived is the time from opened to the last byte received, in
	// nanoseconds.
	lastReceived atomic.Int64
	opened       time.Time
}

func newCountedConn(conn net.Conn, counters *counters) *countedConn {
	return &countedConn{Conn: conn, counters: counters, opened: time.Now()}
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markReceived()
		c.counters.wireReceived.Add(uint64(n))
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.wireSent.Add(uint64(n))
	return n, err
}

func (c *countedConn) markReceived() { c.lastReceived.Store(int64(time.Since(c.opened))) }

// sinceLastReceived returns the time since the last byte was received.
func (c *countedConn) sinceLastReceived() time.Duration {
	return time.Since(c.opened) - time.Duration(c.lastReceived.Load())
}

// Descriptions of the metrics.
var (
	bytesDesc   = prometheus.NewDesc("magnoliamount_peer_frame_bytes_total", "Bytes of frames, length prefixes included.", []string{"direction", "kind"}, nil)
	framesDesc  = prometheus.NewDesc("magnoliamount_peer_frames_total", "Frames.", []string{"direction", "kind"}, nil)
	wireDesc    = prometheus.NewDesc("magnoliamount_peer_wire_bytes_total", "Bytes on TCP connections between daemons.", []string{"direction"}, nil)
	linksDesc   = prometheus.NewDesc("magnoliamount_peer_links", "Open links.", []string{"side"}, nil)
	refusedDesc = prometheus.NewDesc("magnoliamount_peer_refused_total", "Incoming connections that were closed.", []string{"reason"}, nil)
	reloadDesc  = prometheus.NewDesc("magnoliamount_peer_tls_reload_failures_total", "Changed TLS files that could not be loaded.", nil, nil)
)

// Describe sends the descriptions of the transport's metrics.
func (y *Yamux) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{bytesDesc, framesDesc, wireDesc, linksDesc, refusedDesc, reloadDesc} {
		out <- desc
	}
}

// Collect sends the transport's metrics.
func (y *Yamux) Collect(out chan<- prometheus.Metric) {
	s := y.Stats()
	collectCounts(out, "sent", s.Sent)
	collectCounts(out, "received", s.Received)
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	counter(wireDesc, s.WireSent, "sent")
	counter(wireDesc, s.WireReceived, "received")
	counter(reloadDesc, s.ReloadFailures)
	for reason, n := range s.Refused {
		counter(refusedDesc, n, reason)
	}
	out <- prometheus.MustNewConstMetric(linksDesc, prometheus.GaugeValue, float64(s.Accepted), "accepted")
	out <- prometheus.MustNewConstMetric(linksDesc, prometheus.GaugeValue, float64(s.Dialed), "dialed")
}

func collectCounts(out chan<- prometheus.Metric, direction string, counts map[string]Count) {
	for kind, count := range counts {
		out <- prometheus.MustNewConstMetric(bytesDesc, prometheus.CounterValue, float64(count.Bytes), direction, kind)
		out <- prometheus.MustNewConstMetric(framesDesc, prometheus.CounterValue, float64(count.Frames), direction, kind)
	}
}
