package move

import (
	"fmt"
	"math"
	"time"
)

// FalseAlarmBound is the probability that a move to a good version is taken
// back by chance.
const FalseAlarmBound = 1e-4

// provedDoubt is the doubt at which a version counts as proved: a regression
// of the smallest size that matters is 20 times less likely than none.
const provedDoubt = -3.0

const (
	// firstStartWeight is the weight of a regression that is present from
	// the start; the rest is spread over later onsets.
	firstStartWeight = 0.5
	// onsets is over how many later intervals the rest of the weight is spread
	// before it decays.
	onsets = 2000
	// blockTime is the length of a block of the old version's history.
	blockTime = time.Second
	// intervalCap bounds the evidence of one interval, in nats, so that one
	// burst of correlated failures cannot decide alone.
	intervalCap = 6.0
)

// SequentialJudge compares old and new versions over the same interval, per
// route, with a mixture of likelihood ratios. The alternatives cover several
// sizes of regression and every interval as its onset, so that the judge may
// look after each interval and still keep its false alarm bound.
type SequentialJudge struct {
	limit   float64
	verdict Verdict
	routes  map[routeKey]*routeTest
	seen    int
	// blockAt is when the current block of the history began.
	blockAt time.Time
}

type routeKey struct {
	service string
	route   string
}

// NewSequentialJudge returns a judge whose probability of a false alarm over
// the whole move is at most bound.
func NewSequentialJudge(bound float64) *SequentialJudge {
	return &SequentialJudge{limit: -math.Log(bound), routes: map[routeKey]*routeTest{}}
}

// Observe implements Judge.
func (j *SequentialJudge) Observe(now time.Time, stage Stage, samples []Sample) {
	j.seen++
	for i := range samples {
		key := routeKey{samples[i].Key.Service, samples[i].Key.Route}
		if j.routes[key] == nil {
			j.routes[key] = newRouteTest()
		}
		j.routes[key].add(&samples[i])
	}
	weight := onsetWeight(j.seen)
	closing := now.Sub(j.blockAt) >= blockTime
	if closing {
		j.blockAt = now
	}
	for key, test := range j.routes {
		test.flush(stage, weight)
		if closing {
			test.closeBlock()
		}
		j.decide(key, test)
	}
}

func onsetWeight(interval int) float64 {
	if interval == 1 {
		return firstStartWeight
	}
	n := float64(interval - 1)
	// The sum over all n of onsets/(onsets+n)^2 is below 1.
	return (1 - firstStartWeight) * onsets / ((onsets + n) * (onsets + n))
}

func (j *SequentialJudge) decide(key routeKey, test *routeTest) {
	if j.verdict.Bad {
		return
	}
	// The bound is split evenly over the tests of all routes.
	limit := j.limit + math.Log(float64(len(j.routes)*len(test.measures)))
	for _, m := range test.measures {
		if m.evidence() > limit {
			j.verdict.Bad = true
			j.verdict.Reason = fmt.Sprintf("service %q, route %q: %s %.1f%% against %.1f%% of the old version",
				key.service, key.route, m.name, 100*m.newRate(), 100*m.oldRate())
			return
		}
	}
}

// Verdict implements Judge.
func (j *SequentialJudge) Verdict() Verdict {
	v := j.verdict
	v.Doubt = math.Inf(-1)
	for _, test := range j.routes {
		for _, m := range test.measures {
			v.Doubt = math.Max(v.Doubt, m.doubt)
		}
	}
	if len(j.routes) == 0 {
		v.Doubt = 0
	}
	return v
}
