package move

const (
	// startWeight is the prior probability of a regression that is present from the
	// start of the move.
	startWeight = 0.5
	// stepWeight is the prior probability of a regression that begins when a step
	// takes effect, as when a version fails under load. It is spread over the
	// intervals in which the effect of a step can first appear.
	stepWeight = 0.3
	// stepIntervals is the number of intervals after a step that share its weight:
	// daemons apply a step at different times, and responses arrive later.
	stepIntervals = 3
	// laterOnsetDecay is the number of intervals over which the weights of all other
	// onsets decay to a quarter.
	laterOnsetDecay = 400
)

// onsetPrior assigns to each interval the prior probability that a regression
// begins with it. The sum of all weights of a move stays below one.
type onsetPrior struct {
	intervals int
	// maxPermille is the highest progress so far, intervalsSinceStep the number of
	// intervals that have received a share of its step's weight.
	maxPermille        uint32
	intervalsSinceStep int
}

// weight returns the weight of the next interval, which has the given progress.
func (o *onsetPrior) weight(permille uint32) float64 {
	o.intervals++
	if o.intervals == 1 {
		o.maxPermille = permille
		o.intervalsSinceStep = stepIntervals
		return startWeight
	}
	if permille > o.maxPermille {
		o.maxPermille = permille
		o.intervalsSinceStep = 0
	}
	n := float64(o.intervals - 1)
	// The sum over all n of laterOnsetDecay/(laterOnsetDecay+n)^2 is below 1.
	w := (1 - startWeight - stepWeight) * laterOnsetDecay / ((laterOnsetDecay + n) * (laterOnsetDecay + n))
	if o.intervalsSinceStep < stepIntervals {
		o.intervalsSinceStep++
		// Progress never decreases, so that at most len(steps) steps receive weight.
		w += stepWeight / float64(len(steps)*stepIntervals)
	}
	return w
}
