package move

import (
	"fmt"
	"math"
	"time"
)

const (
	// activeRate is the rate, in requests per second, from which evidence of a route
	// is required.
	activeRate = 0.2
	// rateWindow is the time constant of the moving average of a route's rate.
	rateWindow = 15 * time.Second
	// idleAfter is the time without requests after which a route is idle.
	idleAfter = 30 * time.Second
	// evidenceLag is the delay up to which evidence does not count as missing.
	evidenceLag = 1500 * time.Millisecond
	// smallStepRate is the rate of the new versions, in requests per second, up to
	// which a step of at most ProvingPermille starts as soon as the previous step has
	// produced evidence. At 20, 15 more of 320 bad versions had traffic for more than
	// 3 s; at 150, 3 of 240 good versions were taken back under overload.
	smallStepRate = 60.0
	// expectedRequests is the expected number of requests of a route from which
	// their absence counts as missing evidence.
	expectedRequests = 5
	// silenceGaps is the multiple of a route's longest gap between requests above
	// which its evidence counts as missing. Requests in bursts, such as probes of the
	// configuration in force, leave long gaps.
	silenceGaps = 2
	// minorFraction is the fraction of all requests below which the absence of a
	// route's requests does not count as missing evidence. A request without a
	// response counts at its deadline, so that a route with callers is not without
	// requests for long.
	minorFraction = 0.05
	// unlikelyAbsenceNats is the evidence, in nats, from which the absence of
	// requests to the new version is not random: a probability of one in a thousand.
	// There are many routes with few requests, and on some of them the new version
	// receives none.
	unlikelyAbsenceNats = 7
)

// trafficTracker tracks the requests of each route and detects routes whose evidence
// is missing.
type trafficTracker struct {
	routes map[routeKey]*routeTraffic
	// order holds the sorted keys of routes, so that sums are reproducible.
	order  []routeKey
	stepAt time.Time
}

type routeTraffic struct {
	firstAt, lastAt time.Time
	// decayedRequests is a count of requests that decays with the time constant
	// rateWindow.
	decayedRequests float64
	// longestGap is the longest time between two samples with requests.
	longestGap time.Duration
	// newInStep and oldInStep count the requests since the current step started.
	newInStep, oldInStep uint32
	// total and newTotal count the requests of all versions and of the new one.
	total, newTotal uint64
}

func newTrafficTracker(now time.Time) *trafficTracker {
	return &trafficTracker{routes: map[routeKey]*routeTraffic{}, stepAt: now}
}

func (t *trafficTracker) add(now time.Time, s *Sample) {
	key := routeKey{s.Key.Service, s.Key.Route}
	r, ok := t.routes[key]
	if !ok {
		r = &routeTraffic{firstAt: now, lastAt: now}
		t.routes[key] = r
		t.order = insertKey(t.order, key)
	}
	if s.Requests == 0 {
		return
	}
	r.decayedRequests = r.decayedRequests*decay(now.Sub(r.lastAt)) + float64(s.Requests)
	if r.total > 0 {
		r.longestGap = max(r.longestGap, now.Sub(r.lastAt))
	}
	r.lastAt = now
	r.total += uint64(s.Requests)
	if s.Key.New {
		r.newInStep += s.Requests
		r.newTotal += uint64(s.Requests)
		return
	}
	r.oldInStep += s.Requests
}

// decay returns the factor by which decayedRequests decays in the time d.
func decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / rateWindow.Seconds()) }

// rate estimates the route's requests per second during the time in which it had
// traffic.
func (r *routeTraffic) rate() float64 {
	duration := r.lastAt.Sub(r.firstAt) + SampleInterval
	return r.decayedRequests / (rateWindow.Seconds() * (1 - decay(duration)))
}

// totalRate estimates the requests per second of all routes that are not idle.
func (t *trafficTracker) totalRate(now time.Time) float64 {
	var sum float64
	for _, key := range t.order {
		r := t.routes[key]
		if now.Sub(r.lastAt) < idleAfter {
			sum += r.rate()
		}
	}
	return sum
}

// startStep resets the counts of the step.
func (t *trafficTracker) startStep(now time.Time) {
	t.stepAt = now
	for _, r := range t.routes {
		r.newInStep, r.oldInStep = 0, 0
	}
}

// newRequestsInStep reports whether there is evidence of the new version since the
// current step started.
func (t *trafficTracker) newRequestsInStep() bool {
	for _, r := range t.routes {
		if r.newInStep > 0 {
			return true
		}
	}
	return false
}

// hasUnseenRoute reports whether there is no evidence at all of the new version on
// an active route. It returns false once the current step has lasted for wait.
func (t *trafficTracker) hasUnseenRoute(now time.Time, wait time.Duration) bool {
	if now.Sub(t.stepAt) >= wait {
		return false
	}
	for _, r := range t.routes {
		if r.active(now) && r.newTotal == 0 {
			return true
		}
	}
	return false
}

// active reports whether the route has traffic. The mean rate since the first
// request must reach activeRate too, because a few requests in a row do not
// establish a rate. A route without requests for longer than it had traffic is not
// active.
func (r *routeTraffic) active(now time.Time) bool {
	mean := float64(r.total) / (now.Sub(r.firstAt) + rateWindow).Seconds()
	sinceLast := now.Sub(r.lastAt)
	ended := sinceLast > r.lastAt.Sub(r.firstAt)+evidenceLag
	return sinceLast < idleAfter && !ended && r.rate() >= activeRate && mean >= activeRate
}

// missingEvidence describes the first active route without evidence of the new
// version in this step, although its requests to the old version imply that there
// should be some, or without any recent evidence. It returns "" if there is none. The
// text contains no counts, because it is logged whenever it changes.
func (t *trafficTracker) missingEvidence(now time.Time, permille uint32) string {
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
		if late && r.newInStep == 0 && r.absenceUnlikely(permille) {
			return fmt.Sprintf("route %q has only requests of the old one", key.route)
		}
		silence := now.Sub(r.lastAt) - evidenceLag
		significant := silence > silenceGaps*r.longestGap && float64(r.total) >= minorFraction*float64(all)
		if significant && r.rate()*silence.Seconds() >= expectedRequests {
			return fmt.Sprintf("route %q is silent", key.route)
		}
	}
	return ""
}

// absenceUnlikely reports whether the old version's requests in this step imply that
// the new version should have received some.
func (r *routeTraffic) absenceUnlikely(permille uint32) bool {
	if permille >= FullProgress {
		return false
	}
	old := 1 - float64(permille)/FullProgress
	return -math.Log(old)*float64(r.oldInStep) >= unlikelyAbsenceNats
}
