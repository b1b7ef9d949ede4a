package daemon

import (
	"sync"
	"time"
)

// maxRequestEventsPerSecond limits the events about individual requests in the
// time line, so that a burst does not evict the events of the mesh.
const maxRequestEventsPerSecond = 10

// eventRateLimiter allows maxRequestEventsPerSecond events in each window of one
// second.
type eventRateLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// allow counts an event and returns whether it is within the limit.
func (l *eventRateLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.count = 0
	}
	l.count++
	return l.count <= maxRequestEventsPerSecond
}
