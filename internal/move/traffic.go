package move

import (
	"fmt"
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
	// smallRate is the requests per second of the new versions up to which a
	// proving step is taken as soon as the last one gave evidence. At 20 it left 15 more of 320 bad
	// versions with traffic for more than 3 s, at 150 it took back 3 good ones of
	// 240 under overload.
	smallRate = 60.0
	// expectedRequests is how many requests of a route must be expected before
	// their absence counts as missing evidence.
	expectedRequests = 5
	// steadyGaps is how many times its longest gap a route has to be silent for
	// its evidence to count as missing. Requests that come in bursts, such as those
	// that test which configuration is in force, leave long gaps.
	steadyGaps = 2
	// minorPart is the part of all requests below which the silence of a route
	// says nothing. A request that gets no answer counts at its deadline, so that
	// a route with callers is not silent for long.
	minorPart = 0.01
	// unlikelyAbsence is the evidence, in nats, from which the absence of requests
	// of the new version is no chance: one in a thousand. Routes with a few
	// requests are many, and some of them give the new version none.
	unlikelyAbsence = 7
)

// traffic knows how much evidence each route should give.
type traffic struct {
	routes map[routeKey]*routeTraffic
	// order holds the keys of routes in order, so that sums are repeatable.
	order  []routeKey
	stepAt time.Time
}

type routeTraffic struct {
	first, last time.Time
	// sum is a count of requests that decays with rateWindow.
	sum float64
	// gap is the longest time between two samples with requests.
	gap time.Duration
	// newInStep and oldInStep count the requests since the last step.
	newInStep, oldInStep uint32
	// total and newTotal count the requests of all versions and of the new one.
	total, newTotal uint64
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
		t.order = insertKey(t.order, key)
	}
	if s.Requests == 0 {
		return
	}
	r.sum = r.sum*decay(now.Sub(r.last)) + float64(s.Requests)
	if r.total > 0 {
		r.gap = max(r.gap, now.Sub(r.last))
	}
	r.last = now
	r.total += uint64(s.Requests)
	if s.Key.New {
		r.newInStep += s.Requests
		r.newTotal += uint64(s.Requests)
		return
	}
	r.oldInStep += s.Requests
}

func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateWindow.Seconds()) }

// rate estimates the route's requests per second while it had traffic.
func (r *routeTraffic) rate() float64 {
	seen := r.last.Sub(r.first) + SampleInterval
	return r.sum / (rateWindow.Seconds() * (1 - decay(seen)))
}

// rate estimates the requests per second of all routes.
func (t *traffic) rate(now time.Time) float64 {
	var sum float64
	for _, key := range t.order {
		r := t.routes[key]
		if now.Sub(r.last) < idleAfter {
			sum += r.rate()
		}
	}
	return sum
}

func (t *traffic) startStep(now time.Time) {
	t.stepAt = now
	for _, r := range t.routes {
		r.newInStep, r.oldInStep = 0, 0
	}
}

// seenInStep reports whether the new version gave evidence since the last step.
func (t *traffic) seenInStep() bool {
	for _, r := range t.routes {
		if r.newInStep > 0 {
			return true
		}
	}
	return false
}

// unseen reports whether an active route gave no evidence of the new version
// at all. A route with little traffic may stay unseen for the patience.
func (t *traffic) unseen(now time.Time, patience time.Duration) bool {
	if now.Sub(t.stepAt) >= patience {
		return false
	}
	for _, r := range t.routes {
		if r.active(now) && r.newTotal == 0 {
			return true
		}
	}
	return false
}

// active reports whether the route has traffic. The mean since the first
// request counts too, because a few requests in a row are not a rate, and a
// route that has been silent for longer than it was seen is over.
func (r *routeTraffic) active(now time.Time) bool {
	mean := float64(r.total) / (now.Sub(r.first) + rateWindow).Seconds()
	silent := now.Sub(r.last)
	over := silent > r.last.Sub(r.first)+evidenceLag
	return silent < idleAfter && !over && r.rate() >= activeRate && mean >= activeRate
}

// missing says which active route gave no evidence of the new version in this
// step, though its requests to the old one say that it should have, or which one
// gives no evidence at all any more. It returns "" when there is none. The text
// holds no counts, since it is logged when it changes.
func (t *traffic) missing(now time.Time, permille uint32) string {
	late := now.Sub(t.stepAt) >= evidenceLag
	var all uint64
	for _, r := range t.routes {
		all += r.total
	}
	for _, key := range t.order {
		r := t.routes[key]
		if !r.active(now) {
			continue
		}
		if late && r.newInStep == 0 && r.unlikely(permille) {
			return fmt.Sprintf("route %q has only requests of the old one", key.route)
		}
		silent := now.Sub(r.last) - evidenceLag
		steady := silent > steadyGaps*r.gap && float64(r.total) >= minorPart*float64(all)
		if steady && r.rate()*silent.Seconds() >= expectedRequests {
			return fmt.Sprintf("route %q is silent", key.route)
		}
	}
	return ""
}

// unlikely reports whether the new version should have got requests in this step
// by those of the old one.
func (r *routeTraffic) unlikely(permille uint32) bool {
	if permille >= FullProgress {
		return false
	}
	old := 1 - float64(permille)/FullProgress
	return -math.Log(old)*float64(r.oldInStep) >= unlikelyAbsence
}
