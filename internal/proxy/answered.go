package proxy

import (
	"sync"
	"time"
)

const (
	// answeredRetention is the shortest time for which a request counts as
	// harmless after a target responded to it; the longest is twice this time.
	answeredRetention = 30 * time.Second
	// maxAnsweredFingerprints bounds the fingerprints of one period of
	// answeredRetention.
	maxAnsweredFingerprints = 8192
)

// answeredRequests records the fingerprints of requests that a target responded
// to recently. When a target crashes, such a request was in flight by chance.
// Without this record, two crashes quarantined the most frequent look-ups of a
// service.
type answeredRequests struct {
	mu       sync.Mutex
	started  time.Time
	current  map[uint64]struct{}
	previous map[uint64]struct{}
}

func newAnsweredRequests() *answeredRequests {
	return &answeredRequests{current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}}
}

// add records a request that a target responded to.
func (p *answeredRequests) add(now time.Time, fingerprint uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	if len(p.current) < maxAnsweredFingerprints {
		p.current[fingerprint] = struct{}{}
	}
}

// has reports whether a target recently responded to the request.
func (p *answeredRequests) has(now time.Time, fingerprint uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	_, current := p.current[fingerprint]
	_, previous := p.previous[fingerprint]
	return current || previous
}

func (p *answeredRequests) rotate(now time.Time) {
	age := now.Sub(p.started)
	if age < answeredRetention {
		return
	}
	p.previous = p.current
	if age >= 2*answeredRetention {
		p.previous = map[uint64]struct{}{}
	}
	p.current = map[uint64]struct{}{}
	p.started = now
}
