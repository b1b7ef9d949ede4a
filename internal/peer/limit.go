package peer

import "time"

// bucket paces bulk bytes. Until a time t after its creation it lets through
// at most burst + rate*t bytes; a frame larger than the burst waits until the
// bucket has filled up to the frame's size.
type bucket struct {
	rate   float64
	burst  float64
	level  float64
	filled time.Time
}

func newBucket(bytesPerSecond, burst int, now time.Time) *bucket {
	return &bucket{rate: float64(bytesPerSecond), burst: float64(burst), level: float64(burst), filled: now}
}

// take removes n bytes and returns zero, or removes nothing and returns how
// long to wait before the next try.
func (b *bucket) take(n int, now time.Time) time.Duration {
	need := float64(n)
	b.fill(max(b.burst, need), now)
	if b.level >= need {
		b.level -= need
		return 0
	}
	return time.Duration((need-b.level)/b.rate*float64(time.Second)) + time.Nanosecond
}

// idle fills the bucket up to its burst while no frame waits.
func (b *bucket) idle(now time.Time) { b.fill(b.burst, now) }

func (b *bucket) fill(limit float64, now time.Time) {
	elapsed := max(now.Sub(b.filled), 0)
	b.filled = now
	if b.level < limit {
		b.level = min(limit, b.level+b.rate*elapsed.Seconds())
	}
}

// window lets through at most as many events in any interval of the span's
// length as it has places.
type window struct {
	times []time.Time
	next  int
	span  time.Duration
}

func newWindow(places int, span time.Duration) *window {
	return &window{times: make([]time.Time, places), span: span}
}

// allow counts an event, or reports that there were too many.
func (w *window) allow(now time.Time) bool {
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
