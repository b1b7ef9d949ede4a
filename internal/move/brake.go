package move

import "time"

// BrakeFalseAlarmBound is the upper bound of the probability that one daemon's
// brake is set for a good version. It is far below FalseAlarmBound, because
// every daemon of the fleet has a brake.
const BrakeFalseAlarmBound = 1e-7

// Brake judges a ticket by the samples of one daemon. Once it is set, it stays set.
type Brake struct {
	judge Judge
}

// NewBrake returns a brake that is not set. A nil judge means
// NewCautiousJudge(BrakeFalseAlarmBound).
func NewBrake(judge Judge) *Brake {
	if judge == nil {
		judge = NewCautiousJudge(BrakeFalseAlarmBound)
	}
	return &Brake{judge: judge}
}

// Observe adds the samples that the daemon collected for the ticket in one
// interval, and the stage during which it collected them.
func (b *Brake) Observe(now time.Time, stage Stage, samples []Sample) {
	b.judge.Observe(now, stage, samples)
}

// Set reports whether the daemon must stop traffic to the ticket's new
// versions, and why.
func (b *Brake) Set() (reason string, set bool) {
	v := b.judge.Verdict()
	return v.Reason, v.Bad
}
