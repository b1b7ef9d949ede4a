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

// BudgetLimits bounds the retries to one service.
type BudgetLimits struct {
	// Percent is the part of the requests of a window that may be retried.
	Percent int
	// Floor is how many retries per window are always allowed.
	Floor float64
	// Window is the interval over which requests and retries are counted. Any
	// interval of that length sees at most the retries of two windows.
	Window time.Duration
}

// DefaultBudgetLimits returns the limits of a service whose operators set only
// the percentage.
func DefaultBudgetLimits(percent int) BudgetLimits {
	return BudgetLimits{Percent: percent, Floor: retryFloor, Window: retryWindow}
}

// Budget bounds the retries of one daemon to one service. Its methods may be
// called at the same time.
type Budget struct {
	limits   BudgetLimits
	mu       sync.Mutex
	start    time.Time
	requests float64
	previous float64
	retries  float64
}

// NewBudget returns a budget within the limits.
func NewBudget(limits BudgetLimits) *Budget { return &Budget{limits: limits} }

// Limit replaces the limits. What was counted stays.
func (b *Budget) Limit(limits BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

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
	allowed := max(b.limits.Floor, float64(b.limits.Percent)/100*max(b.requests, b.previous))
	if b.retries+1 > allowed {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) roll(now time.Time) {
	age := now.Sub(b.start)
	if age < b.limits.Window {
		return
	}
	b.previous = b.requests
	if age >= 2*b.limits.Window {
		b.previous = 0
	}
	b.requests = 0
	b.retries = 0
	b.start = now
}
