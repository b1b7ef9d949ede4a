package move

import "slices"

const (
	// oldRelievedPermille is the progress from which the old version carries much
	// less load per target than at the start of the move.
	oldRelievedPermille = 250
	// verySlowColdFraction is the fraction of a cold target's requests that may be
	// very slow.
	verySlowColdFraction = 0.25
	// profileDecay is the factor by which the weight of the old version's latency
	// profile decays per interval.
	profileDecay = 0.998
)

// routeTest accumulates the evidence of one route.
type routeTest struct {
	old, new Sample
	// profile holds decayed counts of the old version's requests by latency bucket.
	profile  [LatencyBuckets]float64
	errors   *measure
	slow     *measure
	verySlow *measure
	stalled  *measure
	measures []*measure
}

func newRouteTest() *routeTest {
	t := &routeTest{
		errors:   newMeasure("error rate", defaultCap, tolerance{1.3, 0.001}, tolerance{2.5, 0.006}, 0.01, 0.03, 0.1, 0.3, 0.8),
		slow:     newMeasure("slow requests", unknownNoiseCap, tolerance{1.5, 0.03}, tolerance{2.5, 0.06}, 0.07, 0.2, 0.5, 0.9),
		verySlow: newMeasure("very slow requests", defaultCap, tolerance{1.5, 0.015}, tolerance{2.5, 0.03}, 0.04, 0.2, 0.6),
		stalled:  newMeasure("stalled requests", defaultCap, tolerance{1.5, 0.02}, tolerance{2.5, 0.03}, 0.05, 0.3, 0.8),
	}
	t.measures = []*measure{t.errors, t.slow, t.verySlow, t.stalled}
	return t
}

func (t *routeTest) add(s *Sample) {
	if s.Key.New {
		t.new.Add(s)
		return
	}
	t.old.Add(s)
}

// flush adds the counts of the interval to the evidence and resets them. In a shortage of
// targets only answers are evidence: requests without one may be due to the lost targets.
// Slow answers are none of a regression while a target has come back and is cold, or the
// remaining ones carry more load than the old version's targets ever did.
func (t *routeTest) flush(stage Stage, c comparisonConditions, weight float64) {
	if stage.TargetShortage {
		t.old, t.new = t.old.answeredOnly(), t.new.answeredOnly()
	}
	if t.old.Requests == 0 && t.new.Requests == 0 {
		t.old, t.new = Sample{}, Sample{}
		withoutRequests(t.measures...)
		return
	}
	oldRelieved := stage.Permille >= oldRelievedPermille
	t.updateProfile(oldRelieved)
	base := interval{
		oldTotal:             float64(t.old.Requests),
		newTotal:             float64(t.new.Requests),
		oldRelieved:          oldRelieved,
		comparisonConditions: c,
	}
	errors := base
	errors.oldHits = float64(t.old.Errors)
	errors.newHits = float64(t.new.Errors)
	t.errors.observe(errors, weight)
	cold := stage.ColdFraction
	if stage.TargetShortage {
		base.favorableOnly = c.aboveOldPeak || cold > 0
		cold = 0
	}
	if bucket, total := t.slowBucket(); total > 0 {
		if total < minOldRequests {
			withoutRequests(t.slow, t.verySlow)
		} else {
			t.slow.observe(t.slowInterval(base, bucket, cold), weight)
			t.verySlow.observe(t.slowInterval(base, bucket+verySlowShift, verySlowColdFraction*cold), weight)
		}
		t.stalled.observe(t.slowInterval(base, bucket+stalledShift, 0), weight)
	}
	t.old, t.new = Sample{}, Sample{}
}

// withoutRequests records an interval without requests to compare.
func withoutRequests(measures ...*measure) {
	for _, m := range measures {
		m.updateUnproved(false)
	}
}

// oldNoisy reports whether the old version is noisy by any measure.
func (t *routeTest) oldNoisy() bool {
	return slices.ContainsFunc(t.measures, (*measure).wasNoisy)
}

func (t *routeTest) closeBlock() {
	for _, m := range t.measures {
		m.closeBlock()
	}
}

// updateProfile adds the old version's latencies of the interval to the profile, unless
// the old version carries much less load than at the start of the move.
func (t *routeTest) updateProfile(oldRelieved bool) {
	if oldRelieved {
		return
	}
	for i, n := range t.old.Latency {
		t.profile[i] = profileDecay*t.profile[i] + float64(n)
	}
}

// slowInterval returns base with the requests above the bucket as hits.
func (t *routeTest) slowInterval(base interval, bucket int, coldAllowance float64) interval {
	base.oldHits = float64(t.old.SlowerThan(bucket))
	base.newHits = float64(t.new.SlowerThan(bucket))
	base.coldAllowance = coldAllowance
	return base
}

// slowBucket returns the bucket of the old version's 95th percentile, and the
// decayed number of requests that it is estimated from. The slowest of a few
// requests is a poor estimate of the 95th percentile: by it, 70% of the requests of
// a good version of an idle service were slow.
func (t *routeTest) slowBucket() (bucket int, total float64) {
	for _, n := range t.profile {
		total += n
	}
	var sum float64
	for i, n := range t.profile {
		sum += n
		if sum >= slowQuantile*total {
			return i, total
		}
	}
	return LatencyBuckets - 1, total
}
