package move

import "slices"

const (
	// relievedPermille is the progress from which the old version carries
	// much less load for each target than it did at the start.
	relievedPermille = 250
	// farCold is the fraction of a cold target's requests that may be very slow.
	farCold = 0.25
	// profileDecay is the weight that the old version's latency profile keeps
	// for each interval.
	profileDecay = 0.998
)

// routeTest gathers the evidence of one route.
type routeTest struct {
	old, new Sample
	// profile is the decayed latency distribution of the old version.
	profile  [LatencyBuckets]float64
	errors   *measure
	slow     *measure
	far      *measure
	stalled  *measure
	measures []*measure
}

func newRouteTest() *routeTest {
	t := &routeTest{
		errors:  newMeasure("error rate", intervalCap, tolerance{1.3, 0.001}, tolerance{2.5, 0.006}, 0.01, 0.03, 0.1, 0.3, 0.8),
		slow:    newMeasure("slow requests", unknownCap, tolerance{1.5, 0.03}, tolerance{2.5, 0.06}, 0.07, 0.2, 0.5, 0.9),
		far:     newMeasure("very slow requests", intervalCap, tolerance{1.5, 0.015}, tolerance{2.5, 0.03}, 0.04, 0.2, 0.6),
		stalled: newMeasure("stalled requests", intervalCap, tolerance{1.5, 0.02}, tolerance{2.5, 0.03}, 0.05, 0.3, 0.8),
	}
	t.measures = []*measure{t.errors, t.slow, t.far, t.stalled}
	return t
}

func (t *routeTest) add(s *Sample) {
	if s.Key.New {
		t.new.Add(s)
		return
	}
	t.old.Add(s)
}

// flush turns the counts of the interval into evidence.
func (t *routeTest) flush(stage Stage, c circumstances, weight float64) {
	if stage.Short || t.old.Requests == 0 && t.new.Requests == 0 {
		t.old, t.new = Sample{}, Sample{}
		return
	}
	relieved := stage.Permille >= relievedPermille
	t.learn(relieved)
	base := interval{
		oldTotal:      float64(t.old.Requests),
		newTotal:      float64(t.new.Requests),
		relieved:      relieved,
		circumstances: c,
	}
	errors := base
	errors.oldHits = float64(t.old.Errors)
	errors.newHits = float64(t.new.Errors)
	t.errors.observe(errors, weight)
	if bucket, total := t.slowBucket(); total > 0 {
		if total >= pairedRequests {
			t.slow.observe(t.slower(base, bucket, stage.Cold), weight)
			t.far.observe(t.slower(base, bucket+farShift, farCold*stage.Cold), weight)
		}
		t.stalled.observe(t.slower(base, bucket+stallShift, 0), weight)
	}
	t.old, t.new = Sample{}, Sample{}
}

// uneven reports whether the old version was noisy by any measure.
func (t *routeTest) uneven() bool {
	return slices.ContainsFunc(t.measures, (*measure).uneven)
}

func (t *routeTest) closeBlock() {
	for _, m := range t.measures {
		m.closeBlock()
	}
}

func (t *routeTest) learn(relieved bool) {
	if relieved {
		return
	}
	for i, n := range t.old.Latency {
		t.profile[i] = profileDecay*t.profile[i] + float64(n)
	}
}

func (t *routeTest) slower(base interval, bucket int, allowed float64) interval {
	base.oldHits = float64(t.old.SlowerThan(bucket))
	base.newHits = float64(t.new.SlowerThan(bucket))
	base.allowed = allowed
	return base
}

// slowBucket is the bucket of the old version's 95th percentile, and the weight
// of the requests that it comes from. The slowest of a handful of requests is no
// 95th percentile: a good version of an idle service had 70% slow requests by it.
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
