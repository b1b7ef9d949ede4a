package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// DefaultDrainNotice is how long a draining daemon still takes new work, while the
// news of its drain reaches the callers' daemons.
const DefaultDrainNotice = 2 * time.Second

// flow counts the requests in flight and stops new ones during a drain.
type flow struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	// idle is closed when the last request has left a closed flow.
	idle chan struct{}
}

func newFlow() *flow { return &flow{idle: make(chan struct{})} }

func (f *flow) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.inFlight++
	return true
}

func (f *flow) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	f.settle()
}

func (f *flow) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	f.settle()
}

func (f *flow) settle() {
	if f.closed && f.inFlight == 0 {
		close(f.idle)
	}
}

// Drain lets new work in for the drain notice and refuses it afterwards with "not
// run". It returns when no request is in flight, or with fault.Timeout when
// ctx ends first.
func (n *Inbound) Drain(ctx context.Context) error {
	select {
	case <-time.After(n.config.DrainNotice):
	case <-ctx.Done():
	}
	n.flow.close()
	select {
	case <-n.flow.idle:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Timeout, "requests are still in flight")
	}
}
