package workcost

import (
	"math"
	"time"
)

const (
	// paceMemory is the time constant with which a reading of the pace loses its weight
	// against the mean. Machines are slow for about 90 ms at a time.
	paceMemory = 100 * time.Millisecond
	// meanPaceTime is the time constant of the mean pace.
	meanPaceTime = 5 * time.Second
	// minPacePercent and maxPacePercent bound valid readings.
	minPacePercent = 1
	maxPacePercent = 100_000
	usualPercent   = 100
)

// Pace follows how long work takes on a machine, as a factor of the usual time. The
// zero value has no readings.
type Pace struct {
	factor, mean float64
	readAt       time.Time
	// progress is the work that a slot did until readAt.
	progress time.Duration
}

// Known reports whether there is a reading.
func (p *Pace) Known() bool { return p.factor > 0 }

// Observe adds a reading in percent of the usual time. It returns false when the
// reading is invalid.
func (p *Pace) Observe(now time.Time, percent float64) bool {
	if !(percent >= minPacePercent && percent <= maxPacePercent) {
		return false
	}
	factor := percent / usualPercent
	if !p.Known() {
		p.factor, p.mean, p.readAt = factor, factor, now
		return true
	}
	elapsed := max(0, now.Sub(p.readAt))
	// The pace changed somewhere between the readings.
	p.progress += time.Duration(float64(elapsed) / ((p.Current(now) + factor) / 2))
	p.mean += (factor - p.mean) * (1 - math.Exp(-float64(elapsed)/float64(meanPaceTime)))
	p.factor, p.readAt = factor, now
	return true
}

// Current returns the expected pace: the last reading while it is new, later the mean.
// It is 1 without readings.
func (p *Pace) Current(now time.Time) float64 {
	if !p.Known() {
		return 1
	}
	return p.mean + (p.factor-p.mean)*math.Exp(-float64(now.Sub(p.readAt))/float64(paceMemory))
}

// Progress returns the work that a slot has done since the first reading. The
// difference of two calls is the work of a request that held a slot between them.
func (p *Pace) Progress(now time.Time) time.Duration {
	elapsed := max(0, now.Sub(p.readAt))
	return p.progress + time.Duration(float64(elapsed)/((p.Current(p.readAt)+p.Current(now))/2))
}

// Mean returns the aged mean of the readings, or 1 without them.
func (p *Pace) Mean() float64 {
	if !p.Known() {
		return 1
	}
	return p.mean
}

// Forecast returns how long the work takes from now on.
func (p *Pace) Forecast(now time.Time, work time.Duration) time.Duration {
	if !p.Known() {
		return work
	}
	return stretch(time.Duration(float64(work)*p.mean), p.factor/p.mean, now.Sub(p.readAt))
}

// stretch returns how long something takes that takes the given time at the mean pace of
// a machine, when the machine took ratio times the mean at the given age. A machine
// returns to its mean pace, so that a long request is stretched less than a short one.
func stretch(atMean time.Duration, ratio float64, age time.Duration) time.Duration {
	if ratio == 1 {
		return atMean
	}
	memory := float64(paceMemory)
	excess := (ratio - 1) * math.Exp(-float64(age)/memory) * (1 - math.Exp(-float64(atMean)/memory))
	return atMean + time.Duration(excess*memory)
}
