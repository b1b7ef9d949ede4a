package daemon

import (
	"sync"
	"time"
)

// requestEvents is how many events about single requests go to the time line
// in a second, so that a burst does not push out the events of the mesh.
const requestEvents = 10

// eventLimit lets requestEvents events through in each second.
type eventLimit struct {
	mu     sync.Mutex
	second time.Time
	count  int
}

func (l *eventLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second = now
		l.count = 0
	}
	l.count++
	return l.count <= requestEvents
}
