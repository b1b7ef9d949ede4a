package move

// goldenRatioIncrement is the fractional part of the golden ratio, times 2^64.
// Its multiples, modulo 1, spread over the unit interval more evenly than those
// of any other number.
const goldenRatioIncrement = 0x9E3779B97F4A7C15

// WeylSequence is a low-discrepancy sequence in the unit interval, used to choose
// versions by their shares. In any run of points, the number of points below a
// share differs from its expected value by three at most, so that random variation
// does not increase a small share. Unlike a fixed period, the sequence does not
// align with callers that alternate between kinds of requests. It is not safe for
// concurrent use.
type WeylSequence struct {
	position uint64
}

// NewWeylSequence returns a sequence that starts at the position. Daemons use
// random positions, so that a small share receives its fraction of the first
// requests even in a fleet of daemons with little traffic each.
func NewWeylSequence(position uint64) *WeylSequence { return &WeylSequence{position: position} }

// Next returns the next point, in [0, 1).
func (d *WeylSequence) Next() float64 {
	d.position += goldenRatioIncrement
	return float64(d.position>>11) / (1 << 53)
}
