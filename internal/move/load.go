package move

import (
	"math"
	"time"
)

const (
	// loadWindow and peakWindow are the time constants of the moving averages of
	// the current load and of the load that determines the peak.
	loadWindow = time.Second
	peakWindow = 5 * time.Second
	// aboveOldPeakHold is how long a load above the old version's peak counts as
	// continuing after it was last observed.
	aboveOldPeakHold = 2 * time.Second
	// aboveOldPeakFraction is the fraction of the old version's peak load per target
	// above which the old version's history does not predict the new version's
	// behaviour.
	aboveOldPeakFraction = 0.97
)

// loadTracker compares the load of each target of a service's new version with
// the highest load that a target of the old version has had.
type loadTracker struct {
	// rate and slowRate are moving averages of the requests per second of all
	// versions, with the time constants loadWindow and peakWindow.
	rate, slowRate float64
	// newTargetLoad is the load of one target of the new version, oldTargetPeak the
	// highest load of one target of the old version, in requests per second.
	newTargetLoad, oldTargetPeak float64
	// aboveOldPeakRemaining is how much longer the load counts as above the old
	// version's peak.
	aboveOldPeakRemaining time.Duration
}

// observe adds the requests of an interval of the given length. It derives the
// split between the versions from the stage, because an estimate of each version's
// rate would lag behind a step.
func (l *loadTracker) observe(passed time.Duration, stage Stage, targets TargetCount, requests float64) {
	if passed <= 0 {
		return
	}
	current := requests / passed.Seconds()
	l.rate = movingAverage(l.rate, current, passed, loadWindow)
	l.slowRate = movingAverage(l.slowRate, current, passed, peakWindow)
	used := targets.New
	if stage.Focus > 0 {
		used = min(used, int(stage.Focus))
	}
	share := float64(stage.Permille) / FullProgress
	l.newTargetLoad = l.rate * share / float64(max(used, 1))
	if stage.Permille < oldRelievedPermille {
		l.oldTargetPeak = max(l.oldTargetPeak, l.slowRate*(1-share)/float64(max(targets.Old, 1)))
	}
	l.aboveOldPeakRemaining -= passed
	if l.newTargetLoad > aboveOldPeakFraction*l.oldTargetPeak {
		l.aboveOldPeakRemaining = aboveOldPeakHold
	}
}

// movingAverage returns the exponential moving average after an interval of length
// passed with the value current; window is the time constant.
func movingAverage(estimate, current float64, passed, window time.Duration) float64 {
	keep := math.Exp(-passed.Seconds() / window.Seconds())
	return keep*estimate + (1-keep)*current
}

// aboveOldPeak reports whether the load of the new version's targets has recently been
// above the old version's peak.
func (l *loadTracker) aboveOldPeak() bool { return l.aboveOldPeakRemaining > 0 }
