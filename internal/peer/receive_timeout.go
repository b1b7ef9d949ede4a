package peer

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// monitorReceiveTimeouts ends links on which nothing was received for
// receiveTimeout. It returns when the transport is closed. One ticker serves all
// links, because one ticker per link woke a relay with many children dozens of
// times a second.
func (y *Yamux) monitorReceiveTimeouts() {
	ticker := time.NewTicker(receiveCheckInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-y.done:
			return
		}
		now := time.Now()
		// After a pause of this process, bytes from the peer may still be unread,
		// and the dialing side has not sent the pings that the peer responds to.
		paused := now.Sub(last) > processPauseThreshold
		last = now
		for _, l := range y.openLinks() {
			l.checkReceiveTimeout(paused)
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

// checkReceiveTimeout ends the link if nothing was received for receiveTimeout.
// After a pause of this process it restarts the timeout instead.
func (l *link) checkReceiveTimeout(paused bool) {
	conn := l.conn.Load()
	if paused {
		conn.markReceived()
	}
	if conn.sinceLastReceived() >= receiveTimeout {
		l.stop(fault.New(fault.Timeout, "no data received from the peer for %s", receiveTimeout))
	}
}
