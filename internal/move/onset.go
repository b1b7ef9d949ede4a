package move

const (
	// startWeight is the weight of a regression that is present from the start.
	startWeight = 0.5
	// stepWeight is the weight of a regression that begins when a step takes
	// effect, as of a version that fails under load. It is spread over the
	// intervals in which a new step can first be seen.
	stepWeight = 0.3
	// stepIntervals is how many intervals after a step share its weight:
	// daemons apply a step at different times, and responses follow later.
	stepIntervals = 3
	// laterOnsets is over how many intervals the rest is spread before it decays.
	laterOnsets = 400
)

// onsets gives each interval its prior weight as the onset of a regression.
// All weights of a move together stay below one.
type onsets struct {
	seen int
	// permille is the highest progress so far, since the number of intervals
	// that it has weighted.
	permille uint32
	since    int
}

// weight returns the weight of the next interval, which has the progress.
func (o *onsets) weight(permille uint32) float64 {
	o.seen++
	if o.seen == 1 {
		o.permille = permille
		o.since = stepIntervals
		return startWeight
	}
	if permille > o.permille {
		o.permille = permille
		o.since = 0
	}
	n := float64(o.seen - 1)
	// The sum over all n of laterOnsets/(laterOnsets+n)^2 is below 1.
	w := (1 - startWeight - stepWeight) * laterOnsets / ((laterOnsets + n) * (laterOnsets + n))
	if o.since < stepIntervals {
		o.since++
		// Progress only rises, so that there are no more onsets than steps.
		w += stepWeight / float64(len(steps)*stepIntervals)
	}
	return w
}
