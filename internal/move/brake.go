package move

import "time"

// BrakeFalseAlarmBound is the false alarm bound of one daemon's brake. It is
// far below the controller's, because every daemon of the fleet has one.
const BrakeFalseAlarmBound = 1e-7

// Brake judges one daemon's own sample of a ticket. Once it is set, it stays set.
type Brake struct {
	judge Judge
}

// NewBrake returns a brake that is not set. A nil judge means a
// cautious SequentialJudge with BrakeFalseAlarmBound.
func NewBrake(judge Judge) *Brake {
	if judge == nil {
		judge = NewCautiousJudge(BrakeFalseAlarmBound)
	}
	return &Brake{judge: judge}
}

// Observe takes the samples of one interval that the daemon collected for the
// ticket, and the stage under which it collected them.
func (b *Brake) Observe(now time.Time, stage Stage, samples []Sample) {
	b.judge.Observe(now, stage, samples)
}

// Set reports whether the daemon must stop traffic to the ticket's new
// versions, and why.
func (b *Brake) Set() (reason string, set bool) {
	v := b.judge.Verdict()
	return v.Reason, v.Bad
}
