package move

import (
	"math"
	"time"
)

const (
	// activeRate is the requests per second from which a route must give evidence.
	activeRate = 0.2
	// rateWindow is the time constant of the estimate of a route's rate.
	rateWindow = 15 * time.Second
	// idleAfter is how long a route without any request counts as active.
	idleAfter = 30 * time.Second
	// evidenceLag is how late evidence may be without being missing.
	evidenceLag = 1500 * time.Millisecond
	// expectedRequests is how many requests of the new version must be
	// expected before their absence counts as missing evidence.
	expectedRequests = 5
)

// traffic knows how much evidence each route should give.
type traffic struct {
	routes map[routeKey]*routeTraffic
	stepAt time.Time
}

type routeTraffic struct {
	first, last time.Time
	// sum is a count of requests that decays with rateWindow.
	sum float64
	// newInStep counts the new version's requests since the last step.
	newInStep uint32
}

func newTraffic(now time.Time) *traffic {
	return &traffic{routes: map[routeKey]*routeTraffic{}, stepAt: now}
}

func (t *traffic) add(now time.Time, s *Sample) {
	key := routeKey{s.Key.Service, s.Key.Route}
	r, ok := t.routes[key]
	if !ok {
		r = &routeTraffic{first: now, last: now}
		t.routes[key] = r
	}
	if s.Requests == 0 {
		return
	}
	r.sum = r.sum*decay(now.Sub(r.last)) + float64(s.Requests)
	r.last = now
	if s.Key.New {
		r.newInStep += s.Requests
	}
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateWindow.Seconds()) }

// rate estimates the route's requests per second while it had traffic.
func (r *routeTraffic) rate() float64 {
	seen := r.last.Sub(r.first) + SampleInterval
	return r.sum / (rateWindow.Seconds() * (1 - decay(seen)))
}

func (t *traffic) startStep(now time.Time) {
	t.stepAt = now
	for _, r := range t.routes {
		r.newInStep = 0
	}
}

// missing reports whether an active route gave no evidence of the new version
// in this step though it should have.
func (t *traffic) missing(now time.Time, permille uint32) bool {
	for _, r := range t.routes {
		if now.Sub(r.last) >= idleAfter || r.rate() < activeRate {
			continue
		}
		since := now.Sub(t.stepAt) - evidenceLag
		expected := r.rate() * float64(permille) / FullProgress * since.Seconds()
		if expected >= expectedRequests && r.newInStep == 0 {
			return true
		}
		if r.rate()*(now.Sub(r.last)-evidenceLag).Seconds() >= expectedRequests {
			return true
		}
	}
	return false
}
