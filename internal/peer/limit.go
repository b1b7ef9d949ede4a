package peer

import "time"

// tokenBucket limits the rate of bulk bytes. Within a time t after its creation
// it allows at most burst + rate*t bytes. A frame larger than the burst waits
// until the bucket contains as many tokens as the frame has bytes. The rate is
// in bytes per second; burst and tokens are in bytes.
type tokenBucket struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
}

func newTokenBucket(bytesPerSecond, burst int, now time.Time) *tokenBucket {
	return &tokenBucket{rate: float64(bytesPerSecond), burst: float64(burst), tokens: float64(burst), lastRefill: now}
}

// take removes n tokens and returns zero, or removes none and returns the time
// to wait before the next attempt.
func (b *tokenBucket) take(n int, now time.Time) time.Duration {
	need := float64(n)
	b.refill(max(b.burst, need), now)
	if b.tokens >= need {
		b.tokens -= need
		return 0
	}
	return time.Duration((need-b.tokens)/b.rate*float64(time.Second)) + time.Nanosecond
}

// refillToBurst refills the bucket to at most its burst. It is called while no
// frame waits.
func (b *tokenBucket) refillToBurst(now time.Time) { b.refill(b.burst, now) }

func (b *tokenBucket) refill(limit float64, now time.Time) {
	elapsed := max(now.Sub(b.lastRefill), 0)
	b.lastRefill = now
	if b.tokens < limit {
		b.tokens = min(limit, b.tokens+b.rate*elapsed.Seconds())
	}
}

// slidingWindow limits the number of events in any period of length span to
// len(times).
type slidingWindow struct {
	times []time.Time
	next  int
	span  time.Duration
}

func newSlidingWindow(limit int, span time.Duration) *slidingWindow {
	return &slidingWindow{times: make([]time.Time, limit), span: span}
}

// allow counts an event and returns true, or returns false if the limit is
// reached.
func (w *slidingWindow) allow(now time.Time) bool {
	if len(w.times) == 0 {
		return false
	}
	oldest := w.times[w.next]
	if !oldest.IsZero() && now.Sub(oldest) < w.span {
		return false
	}
	w.times[w.next] = now
	w.next = (w.next + 1) % len(w.times)
	return true
}
