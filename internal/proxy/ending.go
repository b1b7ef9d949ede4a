package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Ending tells the proxies of a daemon when it ends, so that they refuse requests
// that may not be finished by then. A nil *Ending never ends.
type Ending struct {
	// late is canceled once late requests are refused.
	late     context.Context
	markLate context.CancelFunc

	mu        sync.Mutex
	lastStart time.Time
	end       time.Time
}

// NewEnding returns an Ending without times.
func NewEnding() *Ending {
	e := &Ending{}
	e.late, e.markLate = context.WithCancel(context.Background())
	return e
}

// Set sets the times of a planned stop. From lastStart on, requests are sent to a
// target only if their deadline is not after end. It must be called at most once.
func (e *Ending) Set(lastStart, end time.Time) {
	e.mu.Lock()
	e.lastStart, e.end = lastStart, end
	e.mu.Unlock()
	time.AfterFunc(time.Until(lastStart), e.markLate)
}

// isTooLate reports whether a request with the deadline may no longer be sent to a
// target.
func (e *Ending) isTooLate(deadline time.Time) bool {
	if e == nil || e.late.Err() == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return deadline.After(e.end)
}

// refusal returns the refusal of a request that was not sent to a target and is too
// late, or nil.
func (e *Ending) refusal(deadline time.Time) *refusal {
	if !e.isTooLate(deadline) {
		return nil
	}
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.NotReady, "the daemon is stopping and may end before the request"))
	refused.closeConnection = true
	return refused
}

// lateChannel returns a channel that is closed once late requests are refused.
func (e *Ending) lateChannel() <-chan struct{} {
	if e == nil {
		return nil
	}
	return e.late.Done()
}

// interruptRead makes reads of the request's body fail once the request is too late.
// The returned function ends that; if the interruption has begun, the request is too
// late.
func (e *Ending) interruptRead(src *bodySource, w http.ResponseWriter, deadline time.Time) (stop func() bool) {
	if e == nil || src.ended() {
		return func() bool { return true }
	}
	return context.AfterFunc(e.late, func() {
		if e.isTooLate(deadline) {
			src.setReadDeadline(w, time.Unix(1, 0))
		}
	})
}
