package move

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

const (
	// warmUpPermille is the progress of the first step.
	warmUpPermille = 10
	// ProvingPermille is the most progress of a version that is not yet proved.
	ProvingPermille = 50
	// minWindow replaces the time until the finish of a move that has less.
	minWindow = 10 * time.Second
	// minDwell and maxDwell bound the shortest stay on a step. Below one
	// second, evidence of the step cannot reach the controller.
	minDwell = time.Second
	maxDwell = 10 * time.Second
	// minWarmUp and maxWarmUp bound the time during which cold targets may be slow.
	minWarmUp = 2 * time.Second
	maxWarmUp = 10 * time.Second
	// minPatience and maxPatience bound how long a proving step waits for the
	// first request of a quiet route, besides evidenceLag.
	minPatience = 2 * time.Second
	maxPatience = 10 * time.Second
	// minMargin and maxMargin bound the time between done and the finish time.
	minMargin = time.Second
	maxMargin = 10 * time.Second
	// maxSoak bounds the stay at full progress before done.
	maxSoak = 10 * time.Minute
	// minOvertime is the least time after the finish until a move that is
	// not proved is taken back.
	minOvertime = 30 * time.Second
)

// Fractions of the time between acceptance and finish.
const (
	dwellFraction    = 0.02
	marginFraction   = 0.05
	overtimeFraction = 0.5
	patienceFraction = 0.15
	// warmUpFraction leaves a move of 67 s the whole slow start of 10 s. With
	// 8.4%, as before, cold targets counted as slow from 5.6 s on.
	warmUpFraction = 0.15
)

// pace holds the fractions of a preference.
type pace struct {
	// full is when full progress is aimed for, as a fraction of the window.
	full float64
	// enter holds when each step starts, as a fraction of the time to full.
	enter []float64
	// doubt is the doubt at which a version counts as proved.
	doubt float64
	// relax, even and force are fractions of the window: from relax to even
	// the allowed doubt rises to zero, from force on it is refusedDoubt.
	relax, even, force float64
}

var (
	steps       = []uint32{warmUpPermille, 20, ProvingPermille, 100, 250, 500, 750, FullProgress}
	onTimePace  = pace{full: 0.6, enter: []float64{0, 0.14, 0.18, 0.55, 0.7, 0.8, 0.9, 1}, doubt: provedDoubt, relax: 0.33, even: 0.5, force: 0.65}
	carefulPace = pace{full: 0.8, enter: []float64{0, 0.07, 0.09, 0.65, 0.75, 0.85, 0.93, 1}, doubt: 1.5 * provedDoubt, relax: 0.52, even: 0.65, force: 0.78}
)

// schedule gives the times of a move's steps.
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

func (s schedule) window() time.Duration { return s.finish.Sub(s.accepted) }

func (s schedule) fraction(f float64) time.Duration {
	return time.Duration(f * float64(s.window()))
}

func (s schedule) enter(permille uint32) time.Time {
	for i, step := range steps {
		if step == permille {
			return s.accepted.Add(s.fraction(s.pace.full * s.pace.enter[i]))
		}
	}
	return s.accepted
}

func (s schedule) dwell() time.Duration {
	return min(max(s.fraction(dwellFraction), minDwell), maxDwell)
}

func (s schedule) warmUp() time.Duration {
	return min(max(s.fraction(warmUpFraction), minWarmUp), maxWarmUp)
}

func (s schedule) patience() time.Duration {
	return evidenceLag + min(max(s.fraction(patienceFraction), minPatience), maxPatience)
}

func (s schedule) overtime() time.Duration {
	return max(s.fraction(overtimeFraction), minOvertime)
}

// done is when a move that reached full progress at fullAt may finish.
func (s schedule) done(fullAt time.Time) time.Time {
	margin := min(max(s.fraction(marginFraction), minMargin), maxMargin)
	at := s.finish.Add(-margin)
	if longest := fullAt.Add(maxSoak); at.After(longest) {
		at = longest
	}
	if shortest := fullAt.Add(s.dwell()); at.Before(shortest) {
		at = shortest
	}
	return at
}

// allowedDoubt is the doubt up to which a version counts as proved. It rises
// as the finish approaches, because a route with little traffic cannot give
// full evidence in time.
func (s schedule) allowedDoubt(now time.Time) float64 {
	f := float64(now.Sub(s.accepted)) / float64(s.window())
	switch {
	case f >= s.pace.force:
		return refusedDoubt
	case f <= s.pace.relax:
		return s.pace.doubt
	case f < s.pace.even:
		return s.pace.doubt * (s.pace.even - f) / (s.pace.even - s.pace.relax)
	}
	return 0
}

func nextPermille(permille uint32) uint32 {
	for _, step := range steps {
		if step > permille {
			return step
		}
	}
	return FullProgress
}
