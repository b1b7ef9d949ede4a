package routing

import (
	"sync"
	"time"
)

const (
	// DefaultRetryPercent is the default limit of retries, in percent of the
	// requests to a service.
	DefaultRetryPercent = 10
	// minRetriesPerWindow is the number of retries that are always allowed in a
	// window.
	minRetriesPerWindow = 3
	// retryWindow is the interval over which requests and retries are counted.
	retryWindow = time.Second
)

// BudgetLimits bounds the retries to one service.
type BudgetLimits struct {
	// Percent limits the retries in a window, in percent of the requests.
	Percent int
	// MinRetries is the number of retries that are always allowed in a window.
	MinRetries float64
	// Window is the interval over which requests and retries are counted. Any
	// interval of this length contains at most the retries of two windows.
	Window time.Duration
}

// DefaultBudgetLimits returns the limits of a service for which only the
// percentage is set.
func DefaultBudgetLimits(percent int) BudgetLimits {
	return BudgetLimits{Percent: percent, MinRetries: minRetriesPerWindow, Window: retryWindow}
}

// Budget is the retry budget of one daemon for one service. It is safe for
// concurrent use.
type Budget struct {
	limits           BudgetLimits
	mu               sync.Mutex
	windowStart      time.Time
	requests         float64
	previousRequests float64
	retries          float64
}

// NewBudget returns a budget with the limits.
func NewBudget(limits BudgetLimits) *Budget { return &Budget{limits: limits} }

// SetLimits replaces the limits and keeps the counts of the current window.
func (b *Budget) SetLimits(limits BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// CountRequest counts a first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceWindow(now)
	b.requests++
}

// TryRetry takes one retry from the budget. It returns false when the budget is
// exhausted.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceWindow(now)
	allowed := max(b.limits.MinRetries, float64(b.limits.Percent)/100*max(b.requests, b.previousRequests))
	if b.retries+1 > allowed {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) advanceWindow(now time.Time) {
	elapsed := now.Sub(b.windowStart)
	if elapsed < b.limits.Window {
		return
	}
	b.previousRequests = b.requests
	if elapsed >= 2*b.limits.Window {
		b.previousRequests = 0
	}
	b.requests = 0
	b.retries = 0
	b.windowStart = now
}
