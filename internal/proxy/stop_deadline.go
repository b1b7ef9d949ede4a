package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// StopDeadline tells the proxies of a daemon when it ends, so that they refuse requests
// that may not be finished by then. A nil *StopDeadline refuses none.
type StopDeadline struct {
	// late is canceled once late requests are refused.
	late     context.Context
	markLate context.CancelFunc

	mu  sync.Mutex
	end time.Time
}

// NewStopDeadline returns a StopDeadline without times.
func NewStopDeadline() *StopDeadline {
	s := &StopDeadline{}
	s.late, s.markLate = context.WithCancel(context.Background())
	return s
}

// Set sets the times of a planned stop. From lastStart on, requests are sent to a
// target only if their deadline is not after end. It must be called at most once.
func (s *StopDeadline) Set(lastStart, end time.Time) {
	s.mu.Lock()
	s.end = end
	s.mu.Unlock()
	time.AfterFunc(time.Until(lastStart), s.markLate)
}

// isTooLate reports whether a request with the deadline may no longer be sent to a
// target.
func (s *StopDeadline) isTooLate(deadline time.Time) bool {
	if s == nil || s.late.Err() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return deadline.After(s.end)
}

// refusal returns the refusal of a request that was not sent to a target and is too
// late, or nil.
func (s *StopDeadline) refusal(deadline time.Time) *refusal {
	if !s.isTooLate(deadline) {
		return nil
	}
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.NotReady, "the daemon is stopping and may end before the request"))
	refused.closeConnection = true
	return refused
}

// lateChannel returns a channel that is closed once late requests are refused.
func (s *StopDeadline) lateChannel() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.late.Done()
}

// interruptRead makes reads of the request's body fail once the request is too late.
// The returned function prevents that, unless reads already fail because the request
// is too late.
func (s *StopDeadline) interruptRead(src *bodySource, w http.ResponseWriter, deadline time.Time) (stop func() bool) {
	if s == nil || src.ended() {
		return func() bool { return true }
	}
	return context.AfterFunc(s.late, func() {
		if s.isTooLate(deadline) {
			src.setReadDeadline(w, time.Unix(1, 0))
		}
	})
}
