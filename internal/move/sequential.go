package move

import (
	"fmt"
	"math"
	"time"
)

// FalseAlarmBound is the probability that a move to a good version is taken
// back by chance.
const FalseAlarmBound = 1e-4

const (
	// provedDoubt is the doubt at which a version counts as proved: every
	// regression that matters is 20 times less likely than none.
	provedDoubt = -3.0
	// refusedDoubt is the doubt from which a version never counts as proved:
	// some regression is 100 times more likely than none.
	refusedDoubt = 4.6
)

// blockTime is the length of a block of the old version's history.
const blockTime = time.Second

// SequentialJudge compares old and new versions over the same interval, per
// route, with a mixture of likelihood ratios. The alternatives cover several
// sizes of regression and every interval as its onset, so that the judge may
// look after each interval and still keep its false alarm bound.
type SequentialJudge struct {
	limit float64
	// cautious is for small samples, which cannot tell how noisy the old
	// version is. It does not apply to a daemon that is cut off: there the cap
	// for noise left bad versions with traffic for 12 s more.
	cautious bool
	verdict  Verdict
	routes   map[routeKey]*routeTest
	// order holds the keys of routes in order, so that equal evidence always
	// gives the same verdict.
	order  []routeKey
	loads  map[string]*loadWatch
	onsets onsets
	// seenAt is when the last interval ended.
	seenAt time.Time
	// blockAt is when the current block of the history began.
	blockAt time.Time
}

// NewSequentialJudge returns a judge that rejects a good version with at most
// the probability bound over the whole move. The bound is exact for a known
// rate of the old version; here the rate is estimated with an allowance.
func NewSequentialJudge(bound float64) *SequentialJudge {
	return &SequentialJudge{limit: -math.Log(bound), routes: map[routeKey]*routeTest{}, loads: map[string]*loadWatch{}}
}

// NewCautiousJudge returns a judge for the sample of a single daemon. It
// takes the old version for noisy where the comparison rests on its history.
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
	closing := now.Sub(j.blockAt) >= blockTime
	if closing {
		j.blockAt = now
	}
	noisy := j.noisyServices()
	for _, key := range j.order {
		test := j.routes[key]
		c := circumstances{noisy: noisy[key.service] || j.cautious && !stage.CutOff && stage.Permille >= relievedPermille, stretched: j.loads[key.service].stretched()}
		test.flush(stage, c, weight)
		if closing {
			test.closeBlock()
		}
	}
	j.decide()
}

func (j *SequentialJudge) observeLoad(now time.Time, stage Stage, samples []Sample) {
	passed := now.Sub(j.seenAt)
	if j.seenAt.IsZero() {
		passed = 0
	}
	j.seenAt = now
	requests := map[string]float64{}
	for i := range samples {
		service := samples[i].Key.Service
		if j.loads[service] == nil {
			j.loads[service] = &loadWatch{}
		}
		requests[service] += float64(samples[i].Requests)
	}
	for service, load := range j.loads {
		load.observe(passed, stage, stage.Targets[service], requests[service])
	}
}

// noisyServices lists the services with a route whose old version was noisy.
// Noise on one route shows on the others too late when they have less traffic.
func (j *SequentialJudge) noisyServices() map[string]bool {
	noisy := map[string]bool{}
	for key, test := range j.routes {
		if test.uneven() {
			noisy[key.service] = true
		}
	}
	return noisy
}

// decide rejects when the mixture of the evidence of all routes and measures
// exceeds the bound. Each has the same weight.
func (j *SequentialJudge) decide() {
	if j.verdict.Bad {
		return
	}
	total, strongest := math.Inf(-1), math.Inf(-1)
	var reason routeKey
	var worst *measure
	count := 0
	for _, key := range j.order {
		for _, m := range j.routes[key].measures {
			e := m.evidence()
			total = logAdd(total, e)
			count++
			if e > strongest {
				strongest, reason, worst = e, key, m
			}
		}
	}
	if total <= j.limit+math.Log(float64(max(count, 1))) {
		return
	}
	j.verdict.Bad = true
	j.verdict.Reason = fmt.Sprintf("service %q, route %q: %s %.1f%% against %.1f%% of the old version",
		reason.service, reason.route, worst.name, 100*worst.newRate(), 100*worst.oldRate())
}

// Verdict implements Judge.
func (j *SequentialJudge) Verdict() Verdict {
	v := j.verdict
	v.Doubt = math.Inf(-1)
	for _, test := range j.routes {
		for _, m := range test.measures {
			v.Doubt = math.Max(v.Doubt, m.doubt())
		}
	}
	if len(j.routes) == 0 {
		v.Doubt = 0
	}
	return v
}
