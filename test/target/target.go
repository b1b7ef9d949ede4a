package target

import (
	"context"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Times of a target.
const (
	// DefaultLinger is how long a stopping target still takes new requests:
	// the daemon forwards new work for 2 s after the DELETE.
	DefaultLinger = 3 * time.Second
	// shutdownTimeout bounds the wait for requests in flight.
	shutdownTimeout = 10 * time.Minute
)

// Options describe a target.
type Options struct {
	VM      string
	Service string
	Version string
	// Listen is the address to serve on; port 0 picks one.
	Listen string
	// Daemon is the caller listener to announce to; empty announces nothing.
	Daemon      string
	Slots       uint32
	Connections uint32
	// Record is the file for the runs; empty keeps none.
	Record string
	// Next is a path that each request calls through the daemon first; a
	// failure of that call becomes the request's status. Empty calls nothing.
	Next      string
	Behaviour Behaviour
	// Linger is how long a stopping target still takes new requests.
	Linger time.Duration
	// Seed seeds the choice of the requests that fail.
	Seed uint64
	// Exit ends the process on a crash; nil means os.Exit.
	Exit func(code int)
}

// Target is a running test target.
type Target struct {
	options   Options
	listener  net.Listener
	server    *http.Server
	record    *recorder
	behaviour atomic.Pointer[Behaviour]
	started   time.Time
	inFlight  atomic.Int64
	served    atomic.Uint64
	runs      atomic.Uint64
	randomMu  sync.Mutex
	random    *rand.Rand
}

// New listens and opens the record. It fails with fault.Invalid.
func New(options Options) (*Target, error) {
	record, err := openRecorder(options.Record)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "listen on %q", options.Listen)
	}
	t := &Target{
		options: options, listener: listener, record: record, started: time.Now(),
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	t.behaviour.Store(&options.Behaviour)
	t.server = &http.Server{Handler: t.routes(), ReadHeaderTimeout: shutdownTimeout}
	return t, nil
}

// Address is where the target serves.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetBehaviour replaces the behaviour for requests that start later.
func (t *Target) SetBehaviour(b Behaviour) { t.behaviour.Store(&b) }

// Run serves and announces until the context ends. Then it asks the daemon to
// drain, waits for the requests in flight and returns nil.
func (t *Target) Run(ctx context.Context) error {
	if err := t.record.write(t.entry(Up)); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		t.announceUntil(ctx)
	}()
	select {
	case err := <-served:
		return fault.Wrap(err, fault.Internal, "serve on %s", t.Address())
	case <-ctx.Done():
	}
	<-announced
	return t.stop()
}

func (t *Target) stop() error {
	if err := t.withdraw(); err != nil {
		log.Printf("withdraw target: %v", err)
	} else if err := t.record.write(t.entry(Leaving)); err != nil {
		return err
	}
	time.Sleep(t.options.Linger)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := t.server.Shutdown(ctx); err != nil {
		return fault.Wrap(err, fault.Timeout, "requests still in flight: %d", t.inFlight.Load())
	}
	return t.record.write(t.entry(Stopped))
}

func (t *Target) entry(phase Phase) *Entry {
	return &Entry{
		Phase: phase, VM: t.options.VM, Service: t.options.Service, Version: t.options.Version,
		Start: time.Now(),
	}
}
