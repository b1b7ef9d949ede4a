package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// DefaultDrainNotice is how long a draining daemon still accepts new requests
// while the callers' daemons are informed of its drain.
const DefaultDrainNotice = 2 * time.Second

// inFlightCounter counts the requests in flight and refuses new ones during a
// drain.
type inFlightCounter struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed when a closed counter reaches zero.
	idle chan struct{}
}

func newInFlightCounter() *inFlightCounter { return &inFlightCounter{idle: make(chan struct{})} }

func (f *inFlightCounter) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.inFlight++
	return true
}

func (f *inFlightCounter) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	f.signalIfIdle()
}

func (f *inFlightCounter) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	f.signalIfIdle()
}

func (f *inFlightCounter) signalIfIdle() {
	if f.closed && f.inFlight == 0 {
		close(f.idle)
	}
}

// Drain accepts new requests for the drain notice and refuses them afterwards
// with "not run". It returns when no request is in flight, or with
// fault.Timeout when ctx ends first.
func (n *Inbound) Drain(ctx context.Context) error {
	select {
	case <-time.After(n.config.DrainNotice):
	case <-ctx.Done():
	}
	n.inFlightCounter.close()
	select {
	case <-n.inFlightCounter.idle:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "requests are still in flight")
	}
}
