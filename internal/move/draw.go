package move

// goldenStep is the golden ratio's fractional part, times 2^64. Multiples of it
// spread over the unit interval more evenly than those of any other number.
const goldenStep = 0x9E3779B97F4A7C15

// Draw is a sequence of points in the unit interval that chooses versions by
// shares. Of any run of points, those below a share differ from their expected
// number by three at most, so that chance adds nothing to a small share. Unlike a
// fixed period, the sequence does not keep step with callers that send kinds of
// requests in turn. It is not safe for concurrent use.
type Draw struct {
	position uint64
}

// NewDraw returns a sequence that starts at the position. Daemons start at
// random positions, so that a fleet of daemons with little traffic each still
// gives a small share its part from the first requests on.
func NewDraw(position uint64) *Draw { return &Draw{position: position} }

// Next returns the next point, at least zero and below one.
func (d *Draw) Next() float64 {
	d.position += goldenStep
	return float64(d.position>>11) / (1 << 53)
}
