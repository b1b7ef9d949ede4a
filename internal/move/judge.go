package move

import "time"

// SampleInterval is how often daemons drain their collectors and send evidence.
const SampleInterval = 500 * time.Millisecond

// Stage describes how traffic is split while evidence is gathered.
type Stage struct {
	// Permille is the progress, of 0 to FullProgress.
	Permille uint32
	// Focus is how many targets of each new version take its share; zero means all.
	Focus uint32
	// Targets counts the ready targets of each service.
	Targets map[string]TargetCount
	// Cold is the fraction of the new versions' traffic that cold targets
	// may be serving, of 0 to 1. Slow requests up to this fraction are expected.
	Cold float64
	// Short is true while a service has lost so many targets of its new
	// version that the rest is overloaded. Evidence does not count then.
	Short bool
	// CutOff is true for a daemon that the controller cannot hear, so that no
	// one else can find a fault in its traffic.
	CutOff bool
}

// Verdict is a judge's opinion of the new versions.
type Verdict struct {
	// Bad is true when the new versions are worse than the old ones. It stays true.
	Bad bool
	// Reason names the service, the route and the measure of a bad verdict.
	Reason string
	// Doubt is the strongest evidence on any route for a regression of any
	// size, as a natural logarithm of a likelihood ratio. Negative values
	// speak for the new versions, zero means no evidence.
	Doubt float64
}

// Judge compares the new versions of a ticket with the old ones.
type Judge interface {
	// Observe takes the merged samples of one interval.
	Observe(now time.Time, stage Stage, samples []Sample)
	// Verdict returns the opinion after the last interval.
	Verdict() Verdict
}
