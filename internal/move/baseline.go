package move

import (
	"fmt"
	"time"
)

const (
	// baselineErrorRate is the error fraction above which BaselineJudge rejects.
	baselineErrorRate = 0.05
	// baselineRequests is the least number of requests on a route before
	// BaselineJudge rejects.
	baselineRequests = 50
	// baselineWindow is the length of the window over which BaselineJudge sums requests.
	baselineWindow = 10 * time.Second
)

// BaselineJudge compares each route's error rate over a fixed window with a
// fixed threshold. It uses neither the old version nor latency, and only serves
// as a reference for the comparison of judges.
type BaselineJudge struct {
	verdict Verdict
	started time.Time
	counts  map[SampleKey]*Sample
}

// NewBaselineJudge returns a judge without evidence.
func NewBaselineJudge() *BaselineJudge {
	return &BaselineJudge{counts: map[SampleKey]*Sample{}}
}

// Observe implements Judge.
func (b *BaselineJudge) Observe(now time.Time, _ Stage, samples []Sample) {
	if now.Sub(b.started) >= baselineWindow {
		b.started = now
		clear(b.counts)
	}
	for i := range samples {
		if samples[i].Key.New {
			b.count(&samples[i])
		}
	}
}

func (b *BaselineJudge) count(s *Sample) {
	sum, ok := b.counts[s.Key]
	if !ok {
		sum = &Sample{Key: s.Key}
		b.counts[s.Key] = sum
	}
	sum.Add(s)
	rate := float64(sum.Errors) / float64(max(sum.Requests, 1))
	if b.verdict.Bad || sum.Requests < baselineRequests || rate <= baselineErrorRate {
		return
	}
	b.verdict.Bad = true
	b.verdict.Reason = fmt.Sprintf("service %q, route %q: error rate %.1f%% is above %.0f%%",
		s.Key.Service, s.Key.Route, 100*rate, 100*baselineErrorRate)
}

// Verdict implements Judge. RegressionLLR is always low, so that only the
// schedule determines the steps.
func (b *BaselineJudge) Verdict() Verdict {
	v := b.verdict
	v.RegressionLLR = provedLLR
	return v
}
