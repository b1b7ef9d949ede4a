package routing

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// QuarantineStrikes is the crash count at which a request is refused.
	QuarantineStrikes = 2
	// QuarantineTime is how long a crash count is kept after the last crash.
	QuarantineTime = 10 * time.Minute
	// sweepInterval keeps requests from looking through all counts each time.
	sweepInterval = 10 * time.Second
	// maxStrikes bounds the fingerprints that one daemon remembers.
	maxStrikes = 4096
)

// Strikes counts the crashes by request fingerprint. Its methods may be
// called at the same time.
type Strikes struct {
	// known is the number of remembered fingerprints, so that requests on a
	// daemon without any need not compute theirs.
	known  atomic.Int64
	mu     sync.Mutex
	own    map[uint64]strike
	shared map[uint64]uint32
	// swept is when expired counts were last removed.
	swept time.Time
}

type strike struct {
	count uint32
	last  time.Time
}

// NewStrikes returns an empty count.
func NewStrikes() *Strikes { return &Strikes{own: map[uint64]strike{}} }

// Add counts a crash that this daemon saw.
func (s *Strikes) Add(now time.Time, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	seen := s.own[fingerprint]
	s.own[fingerprint] = strike{count: seen.count + 1, last: now}
	s.recount()
}

// Set replaces the counts of the whole mesh. Their owner ends their quarantine
// by leaving them out.
func (s *Strikes) Set(shared map[uint64]uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = maps.Clone(shared)
	s.recount()
}

// Any reports whether any fingerprint is remembered.
func (s *Strikes) Any() bool { return s.known.Load() > 0 }

// Quarantined reports whether requests of the fingerprint are refused. The
// counts of this daemon and of the mesh overlap, so the higher one decides.
func (s *Strikes) Quarantined(now time.Time, fingerprint uint64) bool {
	if !s.Any() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.swept) >= sweepInterval {
		s.forget(now)
	}
	own := s.own[fingerprint]
	if now.Sub(own.last) >= QuarantineTime {
		own.count = 0
	}
	return max(own.count, s.shared[fingerprint]) >= QuarantineStrikes
}

func (s *Strikes) forget(now time.Time) {
	s.swept = now
	var oldest uint64
	var oldestAt time.Time
	for fingerprint, seen := range s.own {
		if now.Sub(seen.last) >= QuarantineTime {
			delete(s.own, fingerprint)
			continue
		}
		if oldestAt.IsZero() || seen.last.Before(oldestAt) {
			oldest, oldestAt = fingerprint, seen.last
		}
	}
	if len(s.own) >= maxStrikes {
		delete(s.own, oldest)
	}
	s.recount()
}

func (s *Strikes) recount() { s.known.Store(int64(len(s.own) + len(s.shared))) }
