package routing

import (
	"sync"
	"time"
)

const (
	// DefaultRetryPercent is the part of a service's requests that may be
	// retries, unless the daemon is told another one.
	DefaultRetryPercent = 10
	// retryFloor is how many retries per window are always allowed.
	retryFloor = 3
	// retryWindow is the interval over which requests and retries are counted.
	retryWindow = time.Second
)

// Budget bounds the retries of one daemon to one service. Its methods may be
// called at the same time.
type Budget struct {
	percent  int
	mu       sync.Mutex
	start    time.Time
	requests float64
	previous float64
	retries  float64
}

// NewBudget returns a budget of the percentage of a service's requests.
func NewBudget(percent int) *Budget { return &Budget{percent: percent} }

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
	b.requests++
}

// Retry takes one retry from the budget, or returns false.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roll(now)
	allowed := max(retryFloor, float64(b.percent)/100*max(b.requests, b.previous))
	if b.retries+1 > allowed {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) roll(now time.Time) {
	age := now.Sub(b.start)
	if age < retryWindow {
		return
	}
	b.previous = b.requests
	if age >= 2*retryWindow {
		b.previous = 0
	}
	b.requests = 0
	b.retries = 0
	b.start = now
}
