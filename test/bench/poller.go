package bench

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const (
	// pollInterval is the interval at which a poller reads the head item.
	pollInterval = time.Second
	// pollObject is the name of the object that holds the whole state for the
	// pollers.
	pollObject = "bench/state"
)

var headKey = platform.Key{Partition: "head", Sort: "head"}

// Polling is the cost of distribution by polling, which the mesh is compared
// with: every poller, in place of a daemon, reads the head item once a second
// and the whole state on each change.
type Polling struct {
	Pollers int `json:"pollers"`
	Tickets int `json:"tickets"`
	// Bytes counts all bytes on the connections to the platform, both directions.
	Bytes          int64     `json:"bytes"`
	BytesPerSecond float64   `json:"bytes_per_second_and_daemon"`
	IdlePerSecond  float64   `json:"idle_bytes_per_second_and_daemon"`
	PerChange      float64   `json:"bytes_per_change_and_daemon"`
	ReadsPerSecond float64   `json:"reads_per_second"`
	StateBytes     int       `json:"state_bytes"`
	Everywhere     Quantiles `json:"everywhere"`
	Failures       int64     `json:"failures"`
}

// byteCounter is a TCP proxy that forwards connections to an address and counts
// their bytes in both directions.
type byteCounter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newByteCounter(target string) (*byteCounter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen for the byte counter")
	}
	c := &byteCounter{listener: listener, target: target}
	go c.accept()
	return c, nil
}

func (c *byteCounter) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.forward(conn)
	}
}

func (c *byteCounter) forward(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() { _, _ = io.Copy(countingWriter{upstream, &c.bytes}, conn); _ = upstream.Close() }()
	_, _ = io.Copy(countingWriter{conn, &c.bytes}, upstream)
}

type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

// Write writes p to the wrapped writer and counts the written bytes.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// pollers is the state that all pollers share.
type pollers struct {
	store *platform.Store
	mu    sync.Mutex
	// receivedAt holds the time at which the last poller received each revision.
	receivedAt map[uint64]time.Time
	reads      atomic.Int64
	failures   atomic.Int64
	stateBytes atomic.Int64
}

func platformAt(address string) (*platform.Store, error) {
	return platform.NewAWS(platform.AWSConfig{
		Region: "region-1", TableEndpoint: "http://" + address, ObjectsEndpoint: "http://" + address,
		Table: "magnoliamount", Bucket: "magnoliamount", AccessKey: "test-access-key", SecretKey: "test-secret-key",
	})
}

func (p *pollers) run(ctx context.Context, delay time.Duration) {
	time.Sleep(delay)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var revision uint64
	for {
		revision = p.poll(ctx, revision)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *pollers) poll(ctx context.Context, revision uint64) uint64 {
	p.reads.Add(1)
	head, err := p.store.Table.Get(ctx, headKey)
	if err != nil || head.Rev <= revision {
		return revision
	}
	p.reads.Add(1)
	body, err := p.store.Objects.Get(ctx, pollObject)
	if err != nil {
		p.failures.Add(1)
		return revision
	}
	state, err := wire.DecodeState(body)
	if err != nil || state.Revision < head.Rev {
		return revision
	}
	p.stateBytes.Store(int64(len(body)))
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := revision + 1; n <= state.Revision; n++ {
		p.receivedAt[n] = time.Now()
	}
	return state.Revision
}

// comparePolling measures n pollers while the mesh runs: first idle, then with
// tickets at the interval. The bench stores the whole state after each ticket.
func (m *mesh) comparePolling(n, tickets int, interval time.Duration) (Polling, error) {
	counter, err := newByteCounter(m.fleet.PlatformAddress)
	if err != nil {
		return Polling{}, err
	}
	defer counter.listener.Close()
	store, err := platformAt(counter.listener.Addr().String())
	if err != nil {
		return Polling{}, err
	}
	uncounted, err := platformAt(m.fleet.PlatformAddress)
	if err != nil {
		return Polling{}, err
	}
	writer := &stateWriter{store: uncounted, state: model.NewState()}
	if err := writer.storeLatest(m.ctx); err != nil {
		return Polling{}, err
	}
	p := &pollers{store: store, receivedAt: map[uint64]time.Time{}}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	for i := range n {
		go p.run(ctx, time.Duration(i)*pollInterval/time.Duration(n))
	}
	time.Sleep(3 * pollInterval)
	idleBytes := counter.bytes.Load()
	idleStart := time.Now()
	time.Sleep(5 * pollInterval)
	idle := float64(counter.bytes.Load()-idleBytes) / time.Since(idleStart).Seconds() / float64(n)
	return m.pollChanges(p, counter, writer, n, tickets, interval, idle)
}

func (m *mesh) pollChanges(p *pollers, counter *byteCounter, writer *stateWriter, n, tickets int, interval time.Duration, idle float64) (Polling, error) {
	bytes, reads, start := counter.bytes.Load(), p.reads.Load(), time.Now()
	acceptedAt := map[uint64]time.Time{}
	for i := range tickets {
		revision, err := m.submit(m.vms[i%len(m.vms)], m.change())
		if err != nil {
			return Polling{}, err
		}
		acceptedAt[revision] = time.Now()
		if err := writer.storeLatest(m.ctx); err != nil {
			return Polling{}, err
		}
		time.Sleep(interval)
	}
	time.Sleep(2 * pollInterval)
	seconds := time.Since(start).Seconds()
	used := counter.bytes.Load() - bytes
	everywhere := newHistogram()
	p.mu.Lock()
	defer p.mu.Unlock()
	for revision, at := range acceptedAt {
		recordDuration(everywhere, p.receivedAt[revision].Sub(at))
	}
	return Polling{
		Pollers: n, Tickets: tickets, Bytes: used, IdlePerSecond: idle,
		BytesPerSecond: float64(used) / seconds / float64(n),
		PerChange:      (float64(used)/float64(n) - idle*seconds) / float64(tickets),
		ReadsPerSecond: float64(p.reads.Load()-reads) / seconds,
		StateBytes:     int(p.stateBytes.Load()), Everywhere: quantiles(everywhere), Failures: p.failures.Load(),
	}, nil
}

// stateWriter stores the newest state in pollObject.
type stateWriter struct {
	store *platform.Store
	state *model.State
}

// logPageSize is the number of log records read per query.
const logPageSize = 64

// storeLatest applies the new log records to the state and stores it.
func (s *stateWriter) storeLatest(ctx context.Context) error {
	for {
		items, err := s.store.Table.Query(ctx, "log", core.LogKey(s.state.Revision).Sort, logPageSize)
		if err != nil {
			return err
		}
		for _, item := range items {
			record, err := wire.DecodeRecord(item.Body)
			if err != nil {
				return err
			}
			if s.state, err = s.state.Apply(record); err != nil {
				return err
			}
		}
		if len(items) < logPageSize {
			break
		}
	}
	body, err := wire.EncodeState(s.state)
	if err != nil {
		return err
	}
	return s.store.Objects.Put(ctx, pollObject, body)
}
