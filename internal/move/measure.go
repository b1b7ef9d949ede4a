package move

import (
	"math"
	"slices"
)

const (
	// slowQuantile is the quantile of the old version that counts as slow.
	slowQuantile = 0.95
	// farShift is how many buckets above slow counts as very slow: 3 times slower.
	farShift = 2
	// stallShift is how many buckets above slow counts as stalled: 8.7 times slower.
	stallShift = 4
	// priorRequests is the weight of the old version's history against its
	// requests of the same interval.
	priorRequests = 1000
	// historyDecay is the weight that history keeps for each interval.
	historyDecay = 0.98
	// maxNullRate keeps the null hypothesis below certainty.
	maxNullRate = 0.9
	// pairedRequests is the weight of that estimate against the old version's
	// requests of the interval alone.
	pairedRequests = 20
	// unknownRate is the null hypothesis without any evidence of the old version.
	unknownRate = 0.05
	// blockRequests is how many old requests make a block of the history.
	blockRequests = 400
	// blocksKept bounds the blocks of the history.
	blocksKept = 600
	// pairedRank and relievedRank are which of the old version's worst blocks
	// limits the null hypothesis. While the versions are compared over the
	// same interval, the very worst block may be a single accident.
	pairedRank   = 2
	relievedRank = 1
	// noisyRatio is how much worse than its mean the worst block of an old
	// version is that counts as noisy.
	noisyRatio = 1.5
	// calmBlocks is how many blocks tell whether the old version is noisy.
	calmBlocks = 20
	// intervalCap bounds the evidence of one interval, in nats, so that one
	// burst of correlated failures cannot decide alone.
	intervalCap = 6.0
	// unknownCap replaces it for slowness while it is not known how noisy the
	// old version is, and noisyCap for a noisy old version: bursts of about
	// two seconds must not decide.
	unknownCap = 3.0
	noisyCap   = 1.0
)

// tolerance is how much worse than the old version is no regression: ratio
// times the old version's rate, plus margin.
type tolerance struct {
	ratio, margin float64
}

// measure tests one rate of a route against the null hypothesis that the new
// version's rate is within the tolerance.
type measure struct {
	name string
	// calm is the usual tolerance. wide applies when the old version carries
	// much less load than the new one, so that its history stands for it, and
	// was noisy or had less load.
	calm, wide tolerance
	effects    []float64
	// earlyCap bounds the evidence of one interval until it is known how
	// noisy the old version is.
	earlyCap float64
	// logs holds the log of each alternative's mixture over onsets.
	logs []float64
	// doubts holds the log likelihood ratio of each alternative from the
	// start, bounded below.
	doubts []float64
	// prior holds decayed counts of the old version.
	priorHits, priorTotal float64
	// blocks holds the old version's rates over blocks of about a second,
	// each two standard errors below its estimate.
	blockHits, blockTotal float64
	blocks                []float64
	// worst holds the highest rates by rank, from 1.
	worst [pairedRank + 1]float64
	// hits and totals sum what was seen, for the reason.
	oldHits, oldTotal, newHits, newTotal float64
}

func newMeasure(name string, earlyCap float64, calm, wide tolerance, effects ...float64) *measure {
	m := &measure{name: name, earlyCap: earlyCap, calm: calm, wide: wide, effects: effects}
	m.logs = slices.Repeat([]float64{math.Inf(-1)}, len(effects))
	m.doubts = make([]float64, len(effects))
	return m
}

// interval holds the counts of one measure over one interval.
type interval struct {
	oldHits, oldTotal, newHits, newTotal float64
	// allowed is added to the margin, for cold targets.
	allowed float64
	// relieved is true when the old version carries much less load than at
	// the start of the move, so that it is no fair comparison by itself.
	relieved bool
	circumstances
}

// circumstances of a service's comparison.
type circumstances struct {
	// noisy is true when the old version of the service was noisy before.
	noisy bool
	// stretched is true when the new version's targets carry more load than
	// the old version's ever did.
	stretched bool
}

func (m *measure) observe(in interval, weight float64) {
	null := m.nullRate(in)
	limit := m.cap(in)
	for i, effect := range m.effects {
		m.logs[i] = logAdd(m.logs[i], math.Log(weight/float64(len(m.effects))))
		gain := math.Min(logRatio(in, null, effect), limit)
		m.logs[i] += gain
		m.doubts[i] = math.Max(m.doubts[i]+gain, 2*provedDoubt)
	}
	m.remember(in)
}

// nullRate is the highest rate of the new version that is not a regression,
// one standard error above the old version's estimate.
func (m *measure) nullRate(in interval) float64 {
	scale := 1.0
	if m.priorTotal > priorRequests {
		scale = priorRequests / m.priorTotal
	}
	hits := in.oldHits + scale*m.priorHits
	total := in.oldTotal + scale*m.priorTotal
	if total < pairedRequests {
		return math.Min(unknownRate+in.allowed, maxNullRate)
	}
	rate := (hits + 0.1) / (total + 1)
	rate += math.Sqrt(rate * (1 - rate) / (total + 1))
	// The history must not hide that the old version is bad in this interval.
	rate = math.Max(rate, (in.oldHits+pairedRequests*rate)/(in.oldTotal+pairedRequests))
	allowed, worst := m.calm, m.worst[pairedRank]
	if in.relieved {
		worst = m.worst[relievedRank]
	}
	if in.relieved && (in.noisy || in.stretched) {
		allowed = m.wide
	}
	rate = math.Max(rate, worst)
	return math.Min(allowed.ratio*rate+allowed.margin+in.allowed, maxNullRate)
}

func (m *measure) remember(in interval) {
	m.newHits += in.newHits
	m.newTotal += in.newTotal
	m.oldHits += in.oldHits
	m.oldTotal += in.oldTotal
	if in.oldTotal > 0 {
		m.priorHits = historyDecay*m.priorHits + in.oldHits
		m.priorTotal = historyDecay*m.priorTotal + in.oldTotal
	}
	if in.relieved {
		return
	}
	m.blockHits += in.oldHits
	m.blockTotal += in.oldTotal
}

// closeBlock ends a block of the history, unless it has too few requests.
func (m *measure) closeBlock() {
	if m.blockTotal < blockRequests {
		return
	}
	low := math.Max(0, m.blockHits-2*math.Sqrt(m.blockHits)) / m.blockTotal
	m.blockHits, m.blockTotal = 0, 0
	m.blocks = append(m.blocks, low)
	if len(m.blocks) > blocksKept {
		m.blocks = m.blocks[1:]
	}
	sorted := slices.Sorted(slices.Values(m.blocks))
	for rank := 1; rank <= min(pairedRank, len(sorted)); rank++ {
		m.worst[rank] = sorted[len(sorted)-rank]
	}
}

// cap bounds the evidence of one interval.
func (m *measure) cap(in interval) float64 {
	switch {
	case in.noisy && in.relieved:
		return noisyCap
	case in.noisy:
		return unknownCap
	case len(m.blocks) < calmBlocks:
		return m.earlyCap
	}
	return intervalCap
}

// uneven reports whether the old version was much worse at times than on average.
func (m *measure) uneven() bool {
	return m.worst[relievedRank] > noisyRatio*m.oldRate()+m.calm.margin
}

func (m *measure) evidence() float64 {
	sum := math.Inf(-1)
	for _, l := range m.logs {
		sum = logAdd(sum, l)
	}
	return sum
}

func (m *measure) doubt() float64 { return slices.Max(m.doubts) }

func (m *measure) newRate() float64 { return m.newHits / math.Max(m.newTotal, 1) }

func (m *measure) oldRate() float64 { return m.oldHits / math.Max(m.oldTotal, 1) }

// logRatio is the log likelihood ratio of the new version's counts for a rate
// that is worse than null by effect.
func logRatio(in interval, null, effect float64) float64 {
	alternative := null + effect*(1-null)
	misses := in.newTotal - in.newHits
	return in.newHits*math.Log(alternative/null) + misses*math.Log((1-alternative)/(1-null))
}

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
