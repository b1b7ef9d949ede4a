package once

import "time"

// limiter is a token bucket with a capacity of one second's tokens. Retries may
// take the number of tokens below zero, which delays later batches.
type limiter struct {
	perSecond float64
	tokens    float64
	updated   time.Time
}

func newLimiter(perSecond int, now time.Time) limiter {
	return limiter{perSecond: float64(perSecond), tokens: float64(perSecond), updated: now}
}

// available returns the number of whole tokens.
func (l *limiter) available(now time.Time) int {
	l.refill(now)
	return max(0, int(l.tokens))
}

// spend removes n tokens, even if fewer are available.
func (l *limiter) spend(now time.Time, n int) {
	l.refill(now)
	l.tokens -= float64(n)
}

// delay returns the time until one token is available.
func (l *limiter) delay(now time.Time) time.Duration {
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / l.perSecond * float64(time.Second))
}

func (l *limiter) refill(now time.Time) {
	elapsed := now.Sub(l.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	l.updated = now
	l.tokens = min(l.perSecond, l.tokens+elapsed*l.perSecond)
}
