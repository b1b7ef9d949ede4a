package move

import (
	"fmt"
	"math"
	"time"
)

// FalseAlarmBound is the upper bound of the probability that the controller's
// judge rejects a good version during a move.
const FalseAlarmBound = 1e-4

const (
	// provedLLR is the RegressionLLR at which a version counts as proved: every
	// relevant regression is 20 times less likely than none.
	provedLLR = -3.0
	// refusedLLR is the RegressionLLR above which a version never counts as proved:
	// some regression is 100 times more likely than none.
	refusedLLR = 4.6
)

// blockLength is the least time between the starts of two blocks of the old
// version's history.
const blockLength = time.Second

// SequentialJudge compares old and new versions over the same intervals, per
// route, by a sequential test with a mixture of likelihood ratios. The
// alternatives cover several sizes of regression and every interval as its onset,
// so that the judge may decide after each interval and still keep its false alarm
// bound.
type SequentialJudge struct {
	// logLimit is the negative logarithm of the false alarm bound.
	logLimit float64
	// cautious treats the old version as noisy from oldRelievedPermille on, because
	// small samples do not show how noisy it is. It does not apply while
	// Stage.ControllerUnreachable is true: there the lower cap on the evidence left
	// bad versions with traffic for 12 s longer.
	cautious bool
	verdict  Verdict
	routes   map[routeKey]*routeTest
	// order holds the sorted keys of routes, so that equal evidence always gives the
	// same verdict.
	order  []routeKey
	loads  map[string]*loadTracker
	onsets onsetPrior
	// observedAt is the end of the last interval.
	observedAt time.Time
	// blockStartedAt is the start of the current block of the history.
	blockStartedAt time.Time
}

// NewSequentialJudge returns a judge that rejects a good version with a probability
// of at most bound over the whole move. The bound is exact for a known rate of the
// old version; the judge estimates this rate and adds a tolerance.
func NewSequentialJudge(bound float64) *SequentialJudge {
	return &SequentialJudge{logLimit: -math.Log(bound), routes: map[routeKey]*routeTest{}, loads: map[string]*loadTracker{}}
}

// NewCautiousJudge returns a judge for the samples of a single daemon. It treats
// the old version as noisy while the comparison relies on the old version's history.
func NewCautiousJudge(bound float64) *SequentialJudge {
	j := NewSequentialJudge(bound)
	j.cautious = true
	return j
}

// Observe implements Judge.
func (j *SequentialJudge) Observe(now time.Time, stage Stage, samples []Sample) {
	j.observeLoad(now, stage, samples)
	for i := range samples {
		key := routeKey{samples[i].Key.Service, samples[i].Key.Route}
		if j.routes[key] == nil {
			j.routes[key] = newRouteTest()
			j.order = insertKey(j.order, key)
		}
		j.routes[key].add(&samples[i])
	}
	weight := j.onsets.weight(stage.Permille)
	closing := now.Sub(j.blockStartedAt) >= blockLength
	if closing {
		j.blockStartedAt = now
	}
	noisy := j.servicesWithNoise()
	for _, key := range j.order {
		test := j.routes[key]
		c := comparisonConditions{oldNoisy: noisy[key.service] || j.cautious && !stage.ControllerUnreachable && stage.Permille >= oldRelievedPermille, aboveOldPeak: j.loads[key.service].aboveOldPeak()}
		test.flush(stage, c, weight)
		if closing {
			test.closeBlock()
		}
	}
	j.decide()
}

func (j *SequentialJudge) observeLoad(now time.Time, stage Stage, samples []Sample) {
	passed := now.Sub(j.observedAt)
	if j.observedAt.IsZero() {
		passed = 0
	}
	j.observedAt = now
	requests := map[string]float64{}
	for i := range samples {
		service := samples[i].Key.Service
		if j.loads[service] == nil {
			j.loads[service] = &loadTracker{}
		}
		requests[service] += float64(samples[i].Requests)
	}
	for service, load := range j.loads {
		load.observe(passed, stage, stage.Targets[service], requests[service])
	}
}

// servicesWithNoise returns the services with a route whose old version is noisy.
// Noise of one route applies to the whole service, because routes with less
// traffic show it too late.
func (j *SequentialJudge) servicesWithNoise() map[string]bool {
	noisy := map[string]bool{}
	for key, test := range j.routes {
		if test.oldNoisy() {
			noisy[key.service] = true
		}
	}
	return noisy
}

// decide rejects the new versions when the mixture of the evidence of all routes
// and measures, with equal weights, exceeds the bound.
func (j *SequentialJudge) decide() {
	if j.verdict.Bad {
		return
	}
	total, strongest := math.Inf(-1), math.Inf(-1)
	var worstRoute routeKey
	var worst *measure
	count := 0
	for _, key := range j.order {
		for _, m := range j.routes[key].measures {
			e := m.logEvidence()
			total = logAddExp(total, e)
			count++
			if e > strongest {
				strongest, worstRoute, worst = e, key, m
			}
		}
	}
	if total <= j.logLimit+math.Log(float64(max(count, 1))) {
		return
	}
	j.verdict.Bad = true
	j.verdict.Reason = fmt.Sprintf("service %q, route %q: %s %.1f%% against %.1f%% of the old version",
		worstRoute.service, worstRoute.route, worst.name, 100*worst.newRate(), 100*worst.oldRate())
}

// Verdict implements Judge.
func (j *SequentialJudge) Verdict() Verdict {
	v := j.verdict
	v.RegressionLLR = math.Inf(-1)
	for _, test := range j.routes {
		for _, m := range test.measures {
			v.RegressionLLR = math.Max(v.RegressionLLR, m.maxLLR())
			v.EvidenceDropped = v.EvidenceDropped || m.unprovedIntervals > 0
		}
	}
	if len(j.routes) == 0 {
		v.RegressionLLR = 0
	}
	return v
}
