package move

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

const (
	// warmUpPermille is the progress of the first step.
	warmUpPermille = 10
	// ProvingPermille is the highest progress of a version that is not yet proved,
	// that is, for which the evidence does not yet rule out a regression.
	ProvingPermille = 50
	// minWindow is the least time from acceptance to the finish that a schedule
	// assumes; it replaces a shorter one.
	minWindow = 10 * time.Second
	// minDwell and maxDwell bound the least time that a move stays at a step. In
	// less than one second, evidence of the step cannot reach the controller.
	minDwell = time.Second
	maxDwell = 10 * time.Second
	// minWarmUp and maxWarmUp bound the time after its first traffic during which a
	// cold target may be slow.
	minWarmUp = 2 * time.Second
	maxWarmUp = 10 * time.Second
	// minFirstRequestWait and maxFirstRequestWait bound how long the step to
	// ProvingPermille waits, in addition to evidenceLag, for the first request to
	// the new version on a route with little traffic.
	minFirstRequestWait = 2 * time.Second
	maxFirstRequestWait = 10 * time.Second
	// minFinishMargin and maxFinishMargin bound the time from the outcome done to
	// the finish time.
	minFinishMargin = time.Second
	maxFinishMargin = 10 * time.Second
	// maxSoak is the longest time at full progress before the outcome done, unless
	// the dwell time is longer.
	maxSoak = 10 * time.Minute
	// minGracePeriod is the least time after the finish until a move that is still
	// blocked is taken back.
	minGracePeriod = 30 * time.Second
)

// Fractions of the time from acceptance to the finish.
const (
	dwellFraction            = 0.02
	finishMarginFraction     = 0.05
	gracePeriodFraction      = 0.5
	firstRequestWaitFraction = 0.15
	// warmUpFraction gives a move of 67 s the whole slow start of 10 s. At 8.4%,
	// cold targets of such a move counted as slow after 5.6 s.
	warmUpFraction = 0.15
)

// pace holds the timing and the evidence thresholds of a preference.
type pace struct {
	// fullProgressAt is the planned time of full progress, as a fraction of the window.
	fullProgressAt float64
	// stepStarts holds the start of each step, as a fraction of the time to full progress.
	stepStarts []float64
	// provedLLR is the highest RegressionLLR at which a version counts as proved
	// until relaxFrom.
	provedLLR float64
	// relaxFrom, zeroFrom and forceFrom are fractions of the window. From relaxFrom
	// to zeroFrom the allowed RegressionLLR rises linearly to zero; from forceFrom
	// on it is refusedLLR.
	relaxFrom, zeroFrom, forceFrom float64
}

var (
	steps       = []uint32{warmUpPermille, 20, ProvingPermille, 100, 250, 500, 750, FullProgress}
	onTimePace  = pace{fullProgressAt: 0.6, stepStarts: []float64{0, 0.14, 0.18, 0.55, 0.7, 0.8, 0.9, 1}, provedLLR: provedLLR, relaxFrom: 0.33, zeroFrom: 0.5, forceFrom: 0.65}
	carefulPace = pace{fullProgressAt: 0.8, stepStarts: []float64{0, 0.07, 0.09, 0.65, 0.75, 0.85, 0.93, 1}, provedLLR: 1.5 * provedLLR, relaxFrom: 0.52, zeroFrom: 0.65, forceFrom: 0.78}
)

// schedule computes the times of a move's steps.
type schedule struct {
	accepted time.Time
	finish   time.Time
	pace     pace
}

func newSchedule(open *model.OpenTicket) schedule {
	s := schedule{accepted: open.Accepted, finish: open.Finish(), pace: onTimePace}
	if open.Careful() {
		s.pace = carefulPace
	}
	if s.finish.Sub(s.accepted) < minWindow {
		s.finish = s.accepted.Add(minWindow)
	}
	return s
}

// window returns the time from acceptance to the finish.
func (s schedule) window() time.Duration { return s.finish.Sub(s.accepted) }

// windowFraction returns the fraction f of the window.
func (s schedule) windowFraction(f float64) time.Duration {
	return time.Duration(f * float64(s.window()))
}

// stepStart returns the planned start of the step with the given progress.
func (s schedule) stepStart(permille uint32) time.Time {
	for i, step := range steps {
		if step == permille {
			return s.accepted.Add(s.windowFraction(s.pace.fullProgressAt * s.pace.stepStarts[i]))
		}
	}
	return s.accepted
}

func (s schedule) dwell() time.Duration {
	return min(max(s.windowFraction(dwellFraction), minDwell), maxDwell)
}

func (s schedule) warmUp() time.Duration {
	return min(max(s.windowFraction(warmUpFraction), minWarmUp), maxWarmUp)
}

func (s schedule) firstRequestWait() time.Duration {
	return evidenceLag + min(max(s.windowFraction(firstRequestWaitFraction), minFirstRequestWait), maxFirstRequestWait)
}

func (s schedule) gracePeriod() time.Duration {
	return max(s.windowFraction(gracePeriodFraction), minGracePeriod)
}

// finishMargin returns the planned time from the outcome done to the finish time.
func (s schedule) finishMargin() time.Duration {
	return min(max(s.windowFraction(finishMarginFraction), minFinishMargin), maxFinishMargin)
}

// earliestFinish returns the earliest time at which a move that reached full
// progress at fullAt may finish.
func (s schedule) earliestFinish(fullAt time.Time) time.Time {
	at := s.finish.Add(-s.finishMargin())
	if longest := fullAt.Add(maxSoak); at.After(longest) {
		at = longest
	}
	if shortest := fullAt.Add(s.dwell()); at.Before(shortest) {
		at = shortest
	}
	return at
}

// latestProof returns the time at which the steps above ProvingPermille have to begin
// for the move to finish in time.
func (s schedule) latestProof() time.Time {
	left := len(steps) - 1 - slices.Index(steps, ProvingPermille)
	return s.finish.Add(-s.finishMargin() - time.Duration(left+1)*s.dwell())
}

// allowedLLR returns the highest RegressionLLR at which a version counts as
// proved. It rises as the finish approaches, because a route with little traffic
// cannot provide enough evidence in time.
func (s schedule) allowedLLR(now time.Time) float64 {
	f := float64(now.Sub(s.accepted)) / float64(s.window())
	switch {
	case f >= s.pace.forceFrom, !now.Before(s.latestProof()):
		return refusedLLR
	case f <= s.pace.relaxFrom:
		return s.pace.provedLLR
	case f < s.pace.zeroFrom:
		return s.pace.provedLLR * (s.pace.zeroFrom - f) / (s.pace.zeroFrom - s.pace.relaxFrom)
	}
	return 0
}

// nextPermille returns the progress of the step after the given progress.
func nextPermille(permille uint32) uint32 {
	for _, step := range steps {
		if step > permille {
			return step
		}
	}
	return FullProgress
}
