package routing

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// QuarantineStrikes is the crash count from which a request is rejected.
	QuarantineStrikes = 2
	// QuarantineTime is how long a crash count is kept after the last crash.
	QuarantineTime = 10 * time.Minute
	// sweepInterval is the minimum time between sweeps by Quarantined, so that
	// not every request scans all counts.
	sweepInterval = 10 * time.Second
	// maxFingerprints bounds the number of fingerprints that one daemon counts.
	maxFingerprints = 4096
)

// Strikes counts crashes by request fingerprint. It is safe for concurrent use.
type Strikes struct {
	// size is the number of counted fingerprints. While it is zero, requests
	// need no fingerprint.
	size atomic.Int64
	mu   sync.Mutex
	// local holds the crash counts of this daemon, and mesh those of the whole
	// mesh, by fingerprint.
	local map[uint64]crashCount
	mesh  map[uint64]uint32
	// lastSweep is the time at which expired counts were last removed.
	lastSweep time.Time
}

type crashCount struct {
	count uint32
	last  time.Time
}

// NewStrikes returns an empty count.
func NewStrikes() *Strikes { return &Strikes{local: map[uint64]crashCount{}} }

// Add counts a crash that this daemon has observed.
func (s *Strikes) Add(now time.Time, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	previous := s.local[fingerprint]
	s.local[fingerprint] = crashCount{count: previous.count + 1, last: now}
	s.updateSize()
}

// SetShared replaces the counts of the whole mesh. The owner of these counts
// ends a quarantine by omitting the fingerprint.
func (s *Strikes) SetShared(mesh map[uint64]uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mesh = maps.Clone(mesh)
	s.updateSize()
}

// Any reports whether any fingerprint is counted.
func (s *Strikes) Any() bool { return s.size.Load() > 0 }

// Quarantined reports whether requests with the fingerprint are rejected. The
// counts of this daemon and of the mesh overlap, so the higher one applies.
func (s *Strikes) Quarantined(now time.Time, fingerprint uint64) bool {
	if !s.Any() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.removeExpired(now)
	}
	local := s.local[fingerprint]
	if now.Sub(local.last) >= QuarantineTime {
		local.count = 0
	}
	return max(local.count, s.mesh[fingerprint]) >= QuarantineStrikes
}

func (s *Strikes) removeExpired(now time.Time) {
	s.lastSweep = now
	var oldest uint64
	var oldestAt time.Time
	for fingerprint, crashes := range s.local {
		if now.Sub(crashes.last) >= QuarantineTime {
			delete(s.local, fingerprint)
			continue
		}
		if oldestAt.IsZero() || crashes.last.Before(oldestAt) {
			oldest, oldestAt = fingerprint, crashes.last
		}
	}
	if len(s.local) >= maxFingerprints {
		delete(s.local, oldest)
	}
	s.updateSize()
}

func (s *Strikes) updateSize() { s.size.Store(int64(len(s.local) + len(s.mesh))) }
