package move

import (
	"math"
	"slices"
)

const (
	// slowQuantile is the quantile of the old version that counts as slow.
	slowQuantile = 0.95
	// stallShift is how many buckets above slow counts as stalled: 8.7 times slower.
	stallShift = 4
	// priorRequests is the weight of the old version's history against its
	// requests of the same interval.
	priorRequests = 100
	// historyDecay is the weight that history keeps for each interval.
	historyDecay = 0.95
	// maxNullRate keeps the null hypothesis below certainty.
	maxNullRate = 0.9
	// pairedRequests is how many requests of the old version an interval
	// needs before its rate replaces the worst window of the history.
	pairedRequests = 20
	// windowRequests is how many old requests make a window of the history.
	windowRequests = 100
	// windowsKept bounds the windows of the history.
	windowsKept = 64
)

// measure tests one rate of a route: the null hypothesis is that the new
// version's rate is at most ratio times the old one's plus margin.
type measure struct {
	name    string
	ratio   float64
	margin  float64
	effects []float64
	// logs holds the log of each alternative's mixture over onsets.
	logs  []float64
	doubt float64
	// prior holds decayed counts of the old version.
	priorHits, priorTotal float64
	// window and worst hold the old version's rates over larger windows.
	windowHits, windowTotal float64
	windows                 []float64
	// hits and totals sum what was seen, for the reason.
	oldHits, oldTotal, newHits, newTotal float64
}

func newMeasure(name string, ratio, margin float64, effects ...float64) *measure {
	m := &measure{name: name, ratio: ratio, margin: margin, effects: effects}
	m.logs = slices.Repeat([]float64{math.Inf(-1)}, len(effects))
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
}

func (m *measure) observe(in interval, weight float64) {
	null := m.nullRate(in)
	for i, effect := range m.effects {
		m.logs[i] = logAdd(m.logs[i], math.Log(weight/float64(len(m.effects))))
		m.logs[i] += math.Min(logRatio(in, null, effect), intervalCap)
	}
	m.doubt += math.Min(logRatio(in, null, m.effects[0]), intervalCap)
	m.doubt = math.Max(m.doubt, 2*provedDoubt)
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
	rate := (hits + 0.1) / (total + 1)
	rate += math.Sqrt(rate * (1 - rate) / (total + 1))
	if in.relieved || in.oldTotal < pairedRequests {
		rate = math.Max(rate, m.worst())
	}
	return math.Min(m.ratio*rate+m.margin+in.allowed, maxNullRate)
}

func (m *measure) worst() float64 {
	if len(m.windows) == 0 {
		return 0
	}
	return slices.Max(m.windows)
}

func (m *measure) remember(in interval) {
	m.newHits += in.newHits
	m.newTotal += in.newTotal
	m.oldHits += in.oldHits
	m.oldTotal += in.oldTotal
	m.priorHits = historyDecay*m.priorHits + in.oldHits
	m.priorTotal = historyDecay*m.priorTotal + in.oldTotal
	if in.relieved {
		return
	}
	m.windowHits += in.oldHits
	m.windowTotal += in.oldTotal
	if m.windowTotal < windowRequests {
		return
	}
	m.windows = append(m.windows, m.windowHits/m.windowTotal)
	if len(m.windows) > windowsKept {
		m.windows = m.windows[1:]
	}
	m.windowHits, m.windowTotal = 0, 0
}

func (m *measure) evidence() float64 {
	sum := math.Inf(-1)
	for _, l := range m.logs {
		sum = logAdd(sum, l)
	}
	return sum
}

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
