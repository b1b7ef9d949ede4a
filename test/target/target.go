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

// Durations of a target's shutdown.
const (
	// DefaultLinger is the time for which a stopping target still accepts new
	// requests. The daemon forwards new requests for 2 s after the DELETE.
	DefaultLinger = 3 * time.Second
	// shutdownTimeout bounds the wait for requests in flight. It is also the
	// timeout for reading request headers.
	shutdownTimeout = 10 * time.Minute
)

// Options configure a Target.
type Options struct {
	VM      string
	Service string
	Version string
	// Listen is the address to listen on; port 0 selects a free port.
	Listen string
	// Daemon is the address of the daemon's caller listener; if empty, the
	// target does not announce itself.
	Daemon      string
	Slots       uint32
	Connections uint32
	// Record is the file that runs are recorded in; if empty, none are recorded.
	Record string
	// Next is a path that each request calls through the daemon before its
	// response; the status of that call becomes the status of the response. If
	// empty, no call is made.
	Next      string
	Behaviour Behaviour
	// Linger is the time for which a stopping target still accepts new requests.
	Linger time.Duration
	// Seed seeds the random choice of the requests that fail.
	Seed uint64
	// Exit ends the process on an injected crash; nil means os.Exit.
	Exit func(code int)
}

// Target is a running test target.
type Target struct {
	options     Options
	listener    net.Listener
	server      *http.Server
	record      *recorder
	behaviour   atomic.Pointer[Behaviour]
	started     time.Time
	inFlight    atomic.Int64
	servedCount atomic.Uint64
	runCount    atomic.Uint64
	randomMu    sync.Mutex
	random      *rand.Rand
}

// New opens the record file and the listener. It returns fault.Invalid if either
// fails.
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

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetBehaviour replaces the behaviour. Requests that have started keep the old one.
func (t *Target) SetBehaviour(b Behaviour) { t.behaviour.Store(&b) }

// Run serves requests and announces the target until ctx ends. Then it requests
// a drain from the daemon, waits for the requests in flight and returns nil.
func (t *Target) Run(ctx context.Context) error {
	if err := t.record.write(t.newEntry(PhaseUp)); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(t.listener) }()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		t.announceLoop(ctx)
	}()
	select {
	case err := <-served:
		return fault.Wrap(err, fault.Internal, "serve on %s", t.Address())
	case <-ctx.Done():
	}
	<-announced
	return t.stop()
}

// stop withdraws the target, accepts new requests for the time Options.Linger
// and waits for the requests in flight.
func (t *Target) stop() error {
	if err := t.withdraw(); err != nil {
		log.Printf("withdraw target: %v", err)
	} else if err := t.record.write(t.newEntry(PhaseWithdrawn)); err != nil {
		return err
	}
	time.Sleep(t.options.Linger)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := t.server.Shutdown(ctx); err != nil {
		return fault.Wrap(err, fault.Timeout, "shutdown timed out with %d requests in flight", t.inFlight.Load())
	}
	return t.record.write(t.newEntry(PhaseStopped))
}

// newEntry returns a record entry of the target that starts now.
func (t *Target) newEntry(phase Phase) *Entry {
	return &Entry{
		Phase: phase, VM: t.options.VM, Service: t.options.Service, Version: t.options.Version,
		Start: time.Now(),
	}
}
