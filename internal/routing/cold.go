package routing

import (
	"math"
	"sync"
	"time"
)

const (
	// coldBurstFraction and maxColdBurst bound the requests that a cold target may get
	// at once: a fraction of the requests of a second, from 1 to maxColdBurst.
	coldBurstFraction = 0.1
	maxColdBurst      = 4
	// coldWindow is the window in which the requests sent to a cold target are limited.
	// The limit counts the arrivals of a second; the rest is for requests that are sent
	// apart and arrive together.
	coldWindow = 1250 * time.Millisecond
)

// ColdLimits are the requests that a cold target can take. The zero value means that
// there is no limit.
type ColdLimits struct {
	// PerSecond is the rate that a cold target should get.
	PerSecond float64
	// Max is the number of requests that must not be exceeded in any second.
	Max float64
}

// ColdLimiter limits the requests that a daemon sends to the target on its VM while
// the target is cold, or while it is not known whether it is. Take reserves the right
// to send a request, which keeps to the rate, and Send checks the moment at which the
// request is sent against the maximum. It is safe for concurrent use.
type ColdLimiter struct {
	mu     sync.Mutex
	limits ColdLimits
	// coldUntil is when the target is warm; it has no meaning unless known is true.
	coldUntil time.Time
	known     bool
	// tokens is the number of requests that may be sent at once, at updated.
	tokens  float64
	updated time.Time
	// sent holds the times of the latest requests, oldest first, for as many requests
	// as the maximum allows.
	sent []time.Time
}

// NewColdLimiter returns a limiter without limits for a target whose state is not
// known.
func NewColdLimiter() *ColdLimiter { return &ColdLimiter{} }

// SetLimits sets the limits. No request may be sent at once after the limits were
// zero: an earlier daemon of the VM may have sent some just before.
func (l *ColdLimiter) SetLimits(now time.Time, limits ColdLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits {
		return
	}
	l.refill(now)
	if l.limits.PerSecond <= 0 {
		l.tokens, l.updated = 0, now
	}
	l.limits = limits
	l.tokens = min(l.tokens, l.burst())
}

// Report records how much longer the target is cold, as the target says. A report
// may arrive late, so a later one does not make a cold target warm earlier; Forget
// precedes the reports of another process.
func (l *ColdLimiter) Report(now time.Time, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	until := now.Add(remaining)
	if !l.known || until.After(l.coldUntil) {
		l.coldUntil = until
	}
	l.known = true
}

// Forget records that it is not known whether the target is cold.
func (l *ColdLimiter) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.known = false
}

// Known reports whether the target's state is known.
func (l *ColdLimiter) Known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// Remaining returns how much longer requests are limited, and false when they are
// not limited. The time is zero while the state is not known.
func (l *ColdLimiter) Remaining(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited(now) {
		return 0, false
	}
	if !l.known {
		return 0, true
	}
	return l.coldUntil.Sub(now), true
}

// Take reserves the right to send a request. It returns false when the request has
// to wait.
func (l *ColdLimiter) Take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited(now) {
		return true
	}
	l.refill(now)
	if l.tokens < 1 || l.windowWait(now, 1) > 0 {
		return false
	}
	l.tokens--
	return true
}

// Wait returns how long the last of n further requests waits until it may be sent,
// or zero when requests are not limited.
func (l *ColdLimiter) Wait(now time.Time, n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited(now) {
		return 0
	}
	l.refill(now)
	wait := l.windowWait(now, n)
	if missing := float64(n) - l.tokens; missing > 0 {
		seconds := missing / l.rate()
		if seconds > math.MaxInt32 {
			seconds = math.MaxInt32
		}
		// Rounded up: a request must not find the token still missing.
		wait = max(wait, time.Duration(seconds*float64(time.Second))+1)
	}
	if l.known {
		wait = min(wait, l.coldUntil.Sub(now))
	}
	return wait
}

// Send records that a request is sent now, and reports whether it may be. After the
// daemon stood still, all requests that have taken a right before would be sent
// together.
func (l *ColdLimiter) Send(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.PerSecond <= 0 {
		return true
	}
	if l.limited(now) && l.windowWait(now, 1) > 0 {
		return false
	}
	l.sent = append(l.sent, now)
	if excess := len(l.sent) - max(1, l.maxRequests()); excess > 0 {
		l.sent = append(l.sent[:0], l.sent[excess:]...)
	}
	return true
}

// Return records that a request that was sent at the given time does not count,
// because the target has answered that another run of it was expected.
func (l *ColdLimiter) Return(now, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.sent {
		if at.Equal(sentAt) {
			l.sent = append(l.sent[:i], l.sent[i+1:]...)
			l.refill(now)
			l.tokens = min(l.burst(), l.tokens+1)
			return
		}
	}
}

// limited reports whether requests are limited now.
func (l *ColdLimiter) limited(now time.Time) bool {
	return l.limits.PerSecond > 0 && (!l.known || now.Before(l.coldUntil))
}

// maxRequests returns the number of requests allowed in coldWindow.
func (l *ColdLimiter) maxRequests() int { return int(min(l.limits.Max, math.MaxInt32)) }

// rate returns the rate of requests per second. It is below the configured one if
// that would exceed the maximum in coldWindow.
func (l *ColdLimiter) rate() float64 {
	highest := max(0, float64(l.maxRequests())-1) / coldWindow.Seconds()
	return max(math.SmallestNonzeroFloat32, min(l.limits.PerSecond, highest))
}

// burst returns the number of requests that may be sent at once.
func (l *ColdLimiter) burst() float64 {
	allowed := float64(l.maxRequests()) - l.rate()*coldWindow.Seconds()
	return max(1, min(maxColdBurst, coldBurstFraction*l.limits.PerSecond, allowed))
}

// refill adds the tokens since the last call.
func (l *ColdLimiter) refill(now time.Time) {
	if l.limits.PerSecond <= 0 {
		return
	}
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.tokens = min(l.burst(), l.tokens+elapsed.Seconds()*l.rate())
		l.updated = now
	}
}

// windowWait returns how long the last of n further requests waits until the
// maximum allows it.
func (l *ColdLimiter) windowWait(now time.Time, n int) time.Duration {
	limit := l.maxRequests()
	if limit < 1 {
		return coldWindow
	}
	// Of the sent requests, at most limit-n may be in the window that ends then.
	i := len(l.sent) - 1 - max(0, limit-n)
	if i < 0 {
		return 0
	}
	return max(0, l.sent[i].Add(coldWindow).Sub(now))
}
