package move

import (
	"math"
	"time"
)

const (
	// loadWindow and peakWindow are the time constants of the estimates of the
	// present load and of the load that counts for the peak.
	loadWindow = time.Second
	peakWindow = 5 * time.Second
	// stretchedFor is how long a higher load is taken to last.
	stretchedFor = 2 * time.Second
	// stretchedFrom is the fraction of the old version's highest load for
	// each target from which its history says nothing about the new one's.
	stretchedFrom = 0.97
)

// loadWatch compares the load of each target of a service's new version with
// the highest load that a target of the old version had.
type loadWatch struct {
	// rate and slowRate estimate the requests per second of all versions.
	rate, slowRate float64
	// newLoad is the load of one target of the new version, peak the highest
	// load that one of the old version had, in requests per second.
	newLoad, peak float64
	// left is how much longer a higher load is taken to last.
	left time.Duration
}

// observe takes the requests of an interval. The split between the versions
// follows the stage, because an estimate of each version's rate would lag
// behind a step.
func (l *loadWatch) observe(passed time.Duration, stage Stage, targets TargetCount, requests float64) {
	if passed <= 0 {
		return
	}
	now := requests / passed.Seconds()
	l.rate = blend(l.rate, now, passed, loadWindow)
	l.slowRate = blend(l.slowRate, now, passed, peakWindow)
	used := targets.New
	if stage.Focus > 0 {
		used = min(used, int(stage.Focus))
	}
	share := float64(stage.Permille) / FullProgress
	l.newLoad = l.rate * share / float64(max(used, 1))
	if stage.Permille < relievedPermille {
		l.peak = max(l.peak, l.slowRate*(1-share)/float64(max(targets.Old, 1)))
	}
	l.left -= passed
	if l.newLoad > stretchedFrom*l.peak {
		l.left = stretchedFor
	}
}

func blend(estimate, now float64, passed, window time.Duration) float64 {
	keep := math.Exp(-passed.Seconds() / window.Seconds())
	return keep*estimate + (1-keep)*now
}

func (l *loadWatch) stretched() bool { return l.left > 0 }
