package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkWindow is the time over which the use of a link is measured. It holds
	// a few long bodies on a slow link.
	linkWindow = 250 * time.Millisecond
	// maxLinkUse bounds the use that the wait is computed from, since the wait
	// has no bound when the use comes near one.
	maxLinkUse = 0.95
	// bodyWeight is the weight of the newest body in the mean sizes.
	bodyWeight = 0.1
)

// LinkLoad estimates how long what is sent to a VM waits for its link. Long
// bodies hold up everything behind them on a slow link. Its methods may be
// called at the same time.
type LinkLoad struct {
	// rate is in bytes a second.
	rate           float64
	received, sent atomic.Int64
	// coming is the length of the bodies that were let in and have not come.
	coming atomic.Int64

	mu sync.Mutex
	// start is when the window began, with what had been carried by then.
	start                    time.Time
	startReceived, startSent int64
	// use is the part of the link that was used in the last window.
	use float64
	// bytes and squares are the mean size of a body and of its square.
	bytes, squares float64
}

// NewLinkLoad returns the load of a link that carries rate bytes a second in
// each direction.
func NewLinkLoad(rate uint64) *LinkLoad { return &LinkLoad{rate: float64(rate)} }

// Received counts bytes that came.
func (l *LinkLoad) Received(n int) { l.received.Add(int64(n)) }

// Sent counts bytes that went out.
func (l *LinkLoad) Sent(n int) { l.sent.Add(int64(n)) }

// Body takes note of the length of a request's body.
func (l *LinkLoad) Body(n int64) {
	size := float64(n)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += bodyWeight * (size - l.bytes)
	l.squares += bodyWeight * (size*size - l.squares)
}

// Let notes that a body of the length may come, and Came that it has, or that
// it will not.
func (l *LinkLoad) Let(n int64) { l.coming.Add(n) }

// Came ends what Let began.
func (l *LinkLoad) Came(n int64) { l.coming.Add(-n) }

// Transfer is how long the link takes for a body when nothing else uses it.
func (l *LinkLoad) Transfer(n int64) time.Duration {
	return time.Duration(float64(n) / l.rate * float64(time.Second))
}

// Wait estimates how long the next bytes wait: for the bodies that were let
// in, or by the mean wait of a queue with one server and the measured sizes
// (Pollaczek and Khinchine), whichever is more.
func (l *LinkLoad) Wait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	coming := l.Transfer(l.coming.Load())
	if l.bytes <= 0 {
		return coming
	}
	use := min(l.use, maxLinkUse)
	left := l.squares / (2 * l.bytes) / l.rate
	return max(coming, time.Duration(use/(1-use)*left*float64(time.Second)))
}

func (l *LinkLoad) roll(now time.Time) {
	age := now.Sub(l.start)
	if age < linkWindow {
		return
	}
	received, sent := l.received.Load(), l.sent.Load()
	carried := max(received-l.startReceived, sent-l.startSent)
	l.use = float64(carried) / (l.rate * age.Seconds())
	l.start, l.startReceived, l.startSent = now, received, sent
}
