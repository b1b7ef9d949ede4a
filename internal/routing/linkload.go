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

// Wait estimates how long the next bytes wait, by the mean wait of a queue
// with one server and the measured sizes (Pollaczek and Khinchine).
func (l *LinkLoad) Wait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll(now)
	if l.bytes <= 0 || l.rate <= 0 {
		return 0
	}
	use := min(l.use, maxLinkUse)
	left := l.squares / (2 * l.bytes) / l.rate
	return time.Duration(use / (1 - use) * left * float64(time.Second))
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
