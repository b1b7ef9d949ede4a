package move

import "time"

// SampleInterval is the interval at which daemons drain their collectors and send
// the samples as evidence.
const SampleInterval = 500 * time.Millisecond

// Stage describes the traffic split and the targets during an interval of evidence.
type Stage struct {
	// Permille is the progress, from 0 to FullProgress.
	Permille uint32
	// Focus is the number of targets of each new version that receive its share;
	// zero means all.
	Focus uint32
	// Targets holds the number of ready targets by service.
	Targets map[string]TargetCount
	// ColdFraction is the upper bound, from 0 to 1, of the fraction of the new
	// versions' traffic that cold targets serve. Slow requests up to this fraction
	// are expected.
	ColdFraction float64
	// TargetShortage is true while a service has lost so many targets of its new
	// version that the others may be overloaded. Requests without an answer are no
	// evidence during that time, and slow answers are none of a regression if load or
	// cold targets may be the cause.
	TargetShortage bool
	// ControllerUnreachable is true for a daemon whose evidence does not reach the
	// controller, so that only the daemon itself can detect a fault in its traffic.
	ControllerUnreachable bool
}

// Verdict is a judge's assessment of the new versions.
type Verdict struct {
	// Bad is true when the new versions are worse than the old ones. Once true, it
	// stays true.
	Bad bool
	// EvidenceDropped is true from an interval in which evidence of a regression was
	// dropped until some later intervals show none.
	EvidenceDropped bool
	// Reason names the service, the route and the measure that led to Bad.
	Reason string
	// RegressionLLR is the highest log likelihood ratio, in nats, of a regression
	// of any size on any route against no regression. Negative values are evidence
	// for the new versions; zero means no evidence.
	RegressionLLR float64
}

// Judge compares the new versions of a ticket with the old ones.
type Judge interface {
	// Observe adds the merged samples of the interval that ends at now.
	Observe(now time.Time, stage Stage, samples []Sample)
	// Verdict returns the assessment after the last interval.
	Verdict() Verdict
}
