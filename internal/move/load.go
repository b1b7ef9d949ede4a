package move

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the estimate of a target's load.
	loadWindow = time.Second
	// stretchedFrom is the fraction of the old version's highest load for
	// each target from which its history says nothing about the new one's.
	stretchedFrom = 0.97
)

// loadWatch compares the load of each target of a service's new version with
// the highest load that a target of the old version had.
type loadWatch struct {
	// rate estimates the requests per second of all versions.
	rate float64
	// newLoad is the load of one target of the new version, peak the highest
	// load that one of the old version had, in requests per second.
	newLoad, peak float64
}

// observe takes the requests of an interval. The split between the versions
// follows the stage, because an estimate of each version's rate would lag
// behind a step.
func (l *loadWatch) observe(passed time.Duration, stage Stage, targets TargetCount, requests float64) {
	if passed <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / loadWindow.Seconds())
	l.rate = keep*l.rate + (1-keep)*requests/passed.Seconds()
	used := targets.New
	if stage.Focus > 0 {
		used = min(used, int(stage.Focus))
	}
	share := float64(stage.Permille) / FullProgress
	l.newLoad = l.rate * share / float64(max(used, 1))
	if stage.Permille < relievedPermille {
		l.peak = max(l.peak, l.rate*(1-share)/float64(max(targets.Old, 1)))
	}
}

func (l *loadWatch) stretched() bool { return l.newLoad > stretchedFrom*l.peak }
