package routing

import (
	"slices"
	"time"
)

// thinCold removes limited cold targets from drawn at random, so that each of them
// takes part in as large a fraction of the choices as it can take of its usual
// requests. If no other target is left, it returns drawn.
func (c *Chooser) thinCold(now time.Time, drawn []*Target, e *costEstimator) []*Target {
	if !slices.ContainsFunc(drawn, func(t *Target) bool { return t.limitedCold(now) }) {
		return drawn
	}
	kept := slices.DeleteFunc(slices.Clone(drawn), func(t *Target) bool {
		return t.limitedCold(now) && c.random.Float64() >= e.coldFraction(t)
	})
	if len(kept) == 0 {
		return drawn
	}
	return kept
}

// coldFraction returns the requests per second that the target takes while it is
// cold, as a fraction of those that it takes when it is warm.
func (e *costEstimator) coldFraction(t *Target) float64 {
	pace, _ := e.paces(t)
	return min(1, t.Endpoint.Target.ColdPerSecond*pace.Seconds()/t.slots())
}
