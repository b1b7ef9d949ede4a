package peer

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// watch ends links whose peer has been silent for too long. One ticker serves
// all links, because a ticker of each link woke a relay with many children
// dozens of times a second.
func (y *Yamux) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-y.done:
			return
		}
		now := time.Now()
		// After a pause of this process, bytes of the peer may wait unread, and
		// the dialing side has sent no ping to answer.
		paused := now.Sub(last) > pauseLimit
		last = now
		for _, l := range y.openLinks() {
			l.checkSilence(paused)
		}
	}
}

func (y *Yamux) openLinks() []*link {
	y.mu.Lock()
	defer y.mu.Unlock()
	open := make([]*link, 0, len(y.links))
	for _, l := range y.links {
		if l.up.Load() {
			open = append(open, l)
		}
	}
	return open
}

func (l *link) checkSilence(paused bool) {
	conn := l.conn.Load()
	if paused {
		conn.touch()
	}
	if conn.silence() >= silenceLimit {
		l.stop(fault.New(fault.Timeout, "peer was silent for %s", silenceLimit))
	}
}
