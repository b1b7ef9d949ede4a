package routing

import (
	"sync"
	"time"
)

const (
	// maxArrivals bounds the number of requests that Arrivals remembers.
	maxArrivals = 8192
	// deadlineTolerance is how far the deadlines of two attempts of one request may
	// lie apart. Callers round the time that is left, and the network delays it. Two
	// callers with the same content and deadlines that are closer count as one, which
	// shortens the second one's objective by less than twice the tolerance.
	deadlineTolerance = 16 * time.Millisecond
)

// Arrivals remembers when requests first arrived, so that the objective of a caller
// that comes back after a refusal or a failure counts from its first attempt. The
// attempts have the same content and the same deadline, which the time that the
// caller has left tells. How much of it is left does not tell a first attempt from a
// later one, since callers differ in how long they wait. It is safe for concurrent
// use.
type Arrivals struct {
	mu sync.Mutex
	// start is the time from which deadlines are measured, so that a change of the
	// time of day does not move them.
	start time.Time
	first map[arrivalKey]time.Time
	// order holds the keys of first in the order of arrival, beginning at index oldest.
	order  []arrival
	oldest int
}

// arrivalKey identifies a request by the fingerprint of its content and by its
// deadline, in units of deadlineTolerance.
type arrivalKey struct {
	fingerprint uint64
	deadline    int64
}

type arrival struct {
	key      arrivalKey
	deadline time.Time
}

// NewArrivals returns Arrivals without requests.
func NewArrivals() *Arrivals { return &Arrivals{first: map[arrivalKey]time.Time{}} }

// First records an attempt of a request and returns when the request first arrived.
func (a *Arrivals) First(now time.Time, fingerprint uint64, deadline time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.start.IsZero() {
		a.start = now
	}
	a.forget(now)
	key := arrivalKey{fingerprint: fingerprint, deadline: int64(deadline.Sub(a.start) / deadlineTolerance)}
	for _, shift := range []int64{0, -1, 1} {
		if first, ok := a.first[arrivalKey{fingerprint, key.deadline + shift}]; ok {
			return first
		}
	}
	a.first[key] = now
	a.order = append(a.order, arrival{key: key, deadline: deadline})
	return now
}

// forget removes the oldest requests whose deadline has passed, and more if there are
// too many.
func (a *Arrivals) forget(now time.Time) {
	for a.oldest < len(a.order) && (a.order[a.oldest].deadline.Before(now) || len(a.order)-a.oldest >= maxArrivals) {
		delete(a.first, a.order[a.oldest].key)
		a.oldest++
	}
	if a.oldest > len(a.order)/2 {
		a.order = append(a.order[:0], a.order[a.oldest:]...)
		a.oldest = 0
	}
}
