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
	// pollInterval is how often a poller reads the head.
	pollInterval = time.Second
	// pollObject holds the whole state for the pollers.
	pollObject = "bench/state"
)

var headKey = platform.Key{Partition: "head", Sort: "head"}

// Polling is what the plain way costs: every daemon reads the head once a
// second and the whole state on each change.
type Polling struct {
	Pollers int `json:"pollers"`
	Tickets int `json:"tickets"`
	// Bytes are all bytes of the connections to the platform.
	Bytes          int64     `json:"bytes"`
	BytesPerSecond float64   `json:"bytes_per_second_and_daemon"`
	IdlePerSecond  float64   `json:"idle_bytes_per_second_and_daemon"`
	PerChange      float64   `json:"bytes_per_change_and_daemon"`
	ReadsPerSecond float64   `json:"reads_per_second"`
	StateBytes     int       `json:"state_bytes"`
	Everywhere     Quantiles `json:"everywhere"`
	Failures       int64     `json:"failures"`
}

// meter forwards connections to an address and counts their bytes.
type meter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newMeter(target string) (*meter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listen for the meter")
	}
	m := &meter{listener: listener, target: target}
	go m.accept()
	return m, nil
}

func (m *meter) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.forward(conn)
	}
}

func (m *meter) forward(conn net.Conn) {
	defer conn.Close()
	other, err := net.Dial("tcp", m.target)
	if err != nil {
		return
	}
	defer other.Close()
	go func() { _, _ = io.Copy(countingWriter{other, &m.bytes}, conn); _ = other.Close() }()
	_, _ = io.Copy(countingWriter{conn, &m.bytes}, other)
}

type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

// Write counts and passes on.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// pollers are the plain way for n daemons.
type pollers struct {
	store *platform.Store
	mu    sync.Mutex
	// seen holds when each revision reached the last poller.
	seen  map[uint64]time.Time
	reads atomic.Int64
	fails atomic.Int64
	size  atomic.Int64
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
	var have uint64
	for {
		have = p.poll(ctx, have)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *pollers) poll(ctx context.Context, have uint64) uint64 {
	p.reads.Add(1)
	head, err := p.store.Table.Get(ctx, headKey)
	if err != nil || head.Rev <= have {
		return have
	}
	p.reads.Add(1)
	body, err := p.store.Objects.Get(ctx, pollObject)
	if err != nil {
		p.fails.Add(1)
		return have
	}
	state, err := wire.DecodeState(body)
	if err != nil || state.Revision < head.Rev {
		return have
	}
	p.size.Store(int64(len(body)))
	p.mu.Lock()
	defer p.mu.Unlock()
	for revision := have + 1; revision <= state.Revision; revision++ {
		p.seen[revision] = time.Now()
	}
	return state.Revision
}

// comparePolling runs the plain way beside the mesh: first idle, then with
// tickets. The bench stores the whole state after each ticket.
func (m *mesh) comparePolling(n, tickets int, interval time.Duration) (Polling, error) {
	meter, err := newMeter(m.fleet.PlatformAddress)
	if err != nil {
		return Polling{}, err
	}
	defer meter.listener.Close()
	store, err := platformAt(meter.listener.Addr().String())
	if err != nil {
		return Polling{}, err
	}
	own, err := platformAt(m.fleet.PlatformAddress)
	if err != nil {
		return Polling{}, err
	}
	writer := &stateWriter{store: own, state: model.NewState()}
	if err := writer.follow(m.ctx); err != nil {
		return Polling{}, err
	}
	p := &pollers{store: store, seen: map[uint64]time.Time{}}
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	for i := range n {
		go p.run(ctx, time.Duration(i)*pollInterval/time.Duration(n))
	}
	time.Sleep(3 * pollInterval)
	idleBytes := meter.bytes.Load()
	idleStart := time.Now()
	time.Sleep(5 * pollInterval)
	idle := float64(meter.bytes.Load()-idleBytes) / time.Since(idleStart).Seconds() / float64(n)
	return m.pollChanges(p, meter, writer, n, tickets, interval, idle)
}

func (m *mesh) pollChanges(p *pollers, meter *meter, writer *stateWriter, n, tickets int, interval time.Duration, idle float64) (Polling, error) {
	bytes, reads, start := meter.bytes.Load(), p.reads.Load(), time.Now()
	accepts := map[uint64]time.Time{}
	for i := range tickets {
		revision, err := m.submit(m.vms[i%len(m.vms)], m.change())
		if err != nil {
			return Polling{}, err
		}
		accepts[revision] = time.Now()
		if err := writer.follow(m.ctx); err != nil {
			return Polling{}, err
		}
		time.Sleep(interval)
	}
	time.Sleep(2 * pollInterval)
	took := time.Since(start).Seconds()
	used := meter.bytes.Load() - bytes
	everywhere := newHistogram()
	p.mu.Lock()
	defer p.mu.Unlock()
	for revision, at := range accepts {
		record(everywhere, p.seen[revision].Sub(at))
	}
	return Polling{
		Pollers: n, Tickets: tickets, Bytes: used, IdlePerSecond: idle,
		BytesPerSecond: float64(used) / took / float64(n),
		PerChange:      (float64(used)/float64(n) - idle*took) / float64(tickets),
		ReadsPerSecond: float64(p.reads.Load()-reads) / took,
		StateBytes:     int(p.size.Load()), Everywhere: quantiles(everywhere), Failures: p.fails.Load(),
	}, nil
}

// stateWriter keeps the object with the whole state up to date.
type stateWriter struct {
	store *platform.Store
	state *model.State
}

// logPage is the number of records read at a time.
const logPage = 64

func (s *stateWriter) follow(ctx context.Context) error {
	for {
		items, err := s.store.Table.Query(ctx, "log", core.LogKey(s.state.Revision).Sort, logPage)
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
		if len(items) < logPage {
			break
		}
	}
	body, err := wire.EncodeState(s.state)
	if err != nil {
		return err
	}
	return s.store.Objects.Put(ctx, pollObject, body)
}
