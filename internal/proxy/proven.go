package proxy

import (
	"sync"
	"time"
)

const (
	// provenFor is how long a request that a target answered counts as
	// harmless; it lies between this time and twice as long.
	provenFor = 30 * time.Second
	// maxProven bounds the fingerprints of one period.
	maxProven = 8192
)

// proven remembers the fingerprints of requests that a target has answered
// lately. When a target dies, such a request was in flight by chance: without
// this, two crashes quarantined the most frequent look-ups of a service.
type proven struct {
	mu      sync.Mutex
	started time.Time
	current map[uint64]struct{}
	last    map[uint64]struct{}
}

func newProven() *proven {
	return &proven{current: map[uint64]struct{}{}, last: map[uint64]struct{}{}}
}

// add takes note of an answered request.
func (p *proven) add(now time.Time, print uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll(now)
	if len(p.current) < maxProven {
		p.current[print] = struct{}{}
	}
}

// has reports whether the request was answered lately.
func (p *proven) has(now time.Time, print uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll(now)
	_, current := p.current[print]
	_, last := p.last[print]
	return current || last
}

func (p *proven) roll(now time.Time) {
	age := now.Sub(p.started)
	if age < provenFor {
		return
	}
	p.last = p.current
	if age >= 2*provenFor {
		p.last = map[uint64]struct{}{}
	}
	p.current = map[uint64]struct{}{}
	p.started = now
}
