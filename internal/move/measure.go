package move

import (
	"math"
	"slices"
)

const (
	// slowQuantile is the quantile of the old version's latency above which a
	// request counts as slow.
	slowQuantile = 0.95
	// verySlowShift is the number of buckets from slow to very slow: 3 times the latency.
	verySlowShift = 2
	// stalledShift is the number of buckets from slow to stalled: 8.7 times the latency.
	stalledShift = 4
	// priorRequests is the highest weight, in requests, of the old version's history
	// against its requests of the current interval.
	priorRequests = 1000
	// historyDecay is the factor by which the weight of the history decays per interval.
	historyDecay = 0.98
	// maxNullRate is the highest rate of the null hypothesis, below certainty.
	maxNullRate = 0.9
	// minOldRequests is the number of requests of the old version below which their
	// rate is combined with defaultNullRate, which then has the weight of as many
	// requests. It is also the weight of the estimated rate against the old version's
	// requests of the interval alone.
	minOldRequests = 20
	// defaultNullRate is the lowest rate of the null hypothesis while there are fewer
	// than minOldRequests requests of the old version.
	defaultNullRate = 0.05
	// blockRequests is the least number of requests in a block of the old version's
	// history.
	blockRequests = 400
	// maxBlocks is the maximum number of blocks in the history.
	maxBlocks = 600
	// comparableRank and relievedOldRank are the ranks, from the worst, of the old
	// version's block whose rate is the lower bound of the null hypothesis.
	// comparableRank applies while the versions are compared over the same interval,
	// where the worst block may be a single outlier; relievedOldRank applies while
	// interval.oldRelieved is true.
	comparableRank  = 2
	relievedOldRank = 1
	// noisyRatio is the ratio of the old version's worst block to its mean above
	// which the old version counts as noisy.
	noisyRatio = 1.5
	// minNoiseBlocks is the least number of blocks that show whether the old version
	// is noisy.
	minNoiseBlocks = 20
	// defaultCap bounds the evidence of one interval, in nats, so that a single
	// burst of correlated failures cannot lead to a rejection.
	defaultCap = 6.0
	// unknownNoiseCap, in nats, replaces defaultCap for slow requests until
	// minNoiseBlocks blocks exist, and for all measures while the old version is
	// noisy. noisyCap, in nats, replaces it while the old version is noisy and
	// interval.oldRelieved is true. Bursts of about two seconds must not lead to a
	// rejection in these cases.
	unknownNoiseCap = 3.0
	noisyCap        = 1.0
	// minDroppedEvidence is the evidence of a regression, in nats, from which dropping it
	// makes the measure unproved. Chance provides less in most intervals of a good version.
	minDroppedEvidence = 1.0
	// provingIntervals is the number of intervals in which the evidence of an evident
	// regression suffices for a rejection. A route with few requests gives no full proof.
	provingIntervals = 4
)

// tolerance defines the highest rate of the new version that is not a regression:
// ratio times the old version's rate, plus margin.
type tolerance struct {
	ratio, margin float64
}

// measure tests one rate of a route against the null hypothesis that the new
// version's rate is within the tolerance.
type measure struct {
	name string
	// normal is the usual tolerance. wide applies when the old version carries much
	// less load than at the start of the move, so that its history is the reference,
	// and this history is noisy or has a lower load per target.
	normal, wide tolerance
	// effects holds the sizes of the alternative hypotheses, each as a fraction of
	// the way from the null rate to one.
	effects []float64
	// earlyCap bounds the evidence of one interval, in nats, until minNoiseBlocks
	// blocks exist.
	earlyCap float64
	// logMixtures holds, for each effect, the logarithm of the mixture of likelihood
	// ratios over all onsets of the regression.
	logMixtures []float64
	// llrs holds, for each effect, the log likelihood ratio of a regression since
	// the start of the move, bounded below by 2*provedLLR.
	llrs []float64
	// unprovedIntervals is the number of further intervals with unambiguous evidence that
	// the new version needs after evidence of a regression was dropped.
	unprovedIntervals int
	// priorHits and priorTotal are decayed counts of the old version.
	priorHits, priorTotal float64
	// blocks holds the old version's rates over blocks of about one second, each two
	// standard errors below its estimate. blockHits and blockTotal are the counts of
	// the current block.
	blockHits, blockTotal float64
	blocks                []float64
	// worst holds the highest rates of the blocks by rank, starting at 1.
	worst [comparableRank + 1]float64
	// oldHits to newTotal are the counts since the start of the move, for the reason.
	oldHits, oldTotal, newHits, newTotal float64
}

func newMeasure(name string, earlyCap float64, normal, wide tolerance, effects ...float64) *measure {
	m := &measure{name: name, earlyCap: earlyCap, normal: normal, wide: wide, effects: effects}
	m.logMixtures = slices.Repeat([]float64{math.Inf(-1)}, len(effects))
	m.llrs = make([]float64, len(effects))
	return m
}

// interval holds the counts of one measure over one interval.
type interval struct {
	oldHits, oldTotal, newHits, newTotal float64
	// coldAllowance is added to the tolerance's margin because of cold targets.
	coldAllowance float64
	// favorableOnly is true when hits may be due to lost targets, so that the interval may
	// only be evidence for the new version.
	favorableOnly bool
	// oldRelieved is true when the old version carries much less load than at the
	// start of the move, so that its requests of the same interval are not a fair
	// reference by themselves.
	oldRelieved bool
	comparisonConditions
}

// comparisonConditions holds the properties of a service that determine the
// tolerance and the cap on the evidence of an interval.
type comparisonConditions struct {
	// oldNoisy is true when the old version's history is noisy on any route of the
	// service.
	oldNoisy bool
	// aboveOldPeak is true when the new version's targets carry more load than the
	// old version's targets ever did.
	aboveOldPeak bool
}

// observe adds the counts of an interval; weight is the prior probability that a
// regression begins with this interval.
func (m *measure) observe(in interval, weight float64) {
	null := m.nullRate(in)
	warm := in
	warm.coldAllowance = 0
	warmNull := m.nullRate(warm)
	limit := m.evidenceCap(in)
	ambiguous := false
	for i, effect := range m.effects {
		m.logMixtures[i] = logAddExp(m.logMixtures[i], math.Log(weight/float64(len(m.effects))))
		gain := math.Min(logLikelihoodRatio(in, null, effect), limit)
		if in.favorableOnly || m.unprovedIntervals > 0 {
			warmGain := logLikelihoodRatio(in, warmNull, effect)
			if gain < 0 || in.favorableOnly {
				ambiguous = ambiguous || warmGain >= minDroppedEvidence
				gain = math.Min(0, warmGain)
			}
		}
		m.logMixtures[i] += gain
		m.llrs[i] = math.Max(m.llrs[i]+gain, 2*provedLLR)
	}
	m.updateUnproved(ambiguous)
	m.updateHistory(in)
}

// updateUnproved records whether the last interval had hits of the new version that were no
// evidence, because load or cold targets may be the cause.
func (m *measure) updateUnproved(ambiguous bool) {
	if ambiguous {
		m.unprovedIntervals = provingIntervals
		for i := range m.llrs {
			// Earlier evidence for the new version does not outweigh what is dropped.
			m.llrs[i] = math.Max(m.llrs[i], 0)
		}
		return
	}
	if m.unprovedIntervals > 0 && m.maxLLR() <= refusedLLR {
		m.unprovedIntervals--
	}
}

// nullRate returns the highest rate of the new version that is not a regression. It
// is based on the old version's estimated rate plus one standard error.
func (m *measure) nullRate(in interval) float64 {
	scale := 1.0
	if m.priorTotal > priorRequests {
		scale = priorRequests / m.priorTotal
	}
	hits := in.oldHits + scale*m.priorHits
	total := in.oldTotal + scale*m.priorTotal
	if total < minOldRequests {
		// Few requests do not establish a low rate, but may show a high one.
		rate := (hits + minOldRequests*defaultNullRate) / (total + minOldRequests)
		return math.Min(math.Max(defaultNullRate, m.normal.ratio*rate+m.normal.margin)+in.coldAllowance, maxNullRate)
	}
	rate := (hits + 0.1) / (total + 1)
	rate += math.Sqrt(rate * (1 - rate) / (total + 1))
	// The history must not mask a high rate of the old version in this interval.
	rate = math.Max(rate, (in.oldHits+minOldRequests*rate)/(in.oldTotal+minOldRequests))
	allowed, worst := m.normal, m.worst[comparableRank]
	if in.oldRelieved {
		worst = m.worst[relievedOldRank]
	}
	if in.oldRelieved && (in.oldNoisy || in.aboveOldPeak) {
		allowed = m.wide
	}
	rate = math.Max(rate, worst)
	return math.Min(allowed.ratio*rate+allowed.margin+in.coldAllowance, maxNullRate)
}

func (m *measure) updateHistory(in interval) {
	m.newHits += in.newHits
	m.newTotal += in.newTotal
	m.oldHits += in.oldHits
	m.oldTotal += in.oldTotal
	if in.oldTotal > 0 {
		m.priorHits = historyDecay*m.priorHits + in.oldHits
		m.priorTotal = historyDecay*m.priorTotal + in.oldTotal
	}
	if in.oldRelieved {
		return
	}
	m.blockHits += in.oldHits
	m.blockTotal += in.oldTotal
}

// closeBlock appends the current block to the history and starts a new one. It does
// nothing while the block has fewer than blockRequests requests.
func (m *measure) closeBlock() {
	if m.blockTotal < blockRequests {
		return
	}
	low := math.Max(0, m.blockHits-2*math.Sqrt(m.blockHits)) / m.blockTotal
	m.blockHits, m.blockTotal = 0, 0
	m.blocks = append(m.blocks, low)
	if len(m.blocks) > maxBlocks {
		m.blocks = m.blocks[1:]
	}
	sorted := slices.Sorted(slices.Values(m.blocks))
	for rank := 1; rank <= min(comparableRank, len(sorted)); rank++ {
		m.worst[rank] = sorted[len(sorted)-rank]
	}
}

// evidenceCap returns the upper bound, in nats, of the evidence of one interval.
func (m *measure) evidenceCap(in interval) float64 {
	switch {
	case in.oldNoisy && in.oldRelieved:
		return noisyCap
	case in.oldNoisy:
		return unknownNoiseCap
	case len(m.blocks) < minNoiseBlocks:
		return m.earlyCap
	}
	return defaultCap
}

// wasNoisy reports whether the old version's worst block was much worse than its mean.
func (m *measure) wasNoisy() bool {
	return m.worst[relievedOldRank] > noisyRatio*m.oldRate()+m.normal.margin
}

// logEvidence returns the logarithm of the mixture over all effects and onsets.
func (m *measure) logEvidence() float64 {
	sum := math.Inf(-1)
	for _, l := range m.logMixtures {
		sum = logAddExp(sum, l)
	}
	return sum
}

func (m *measure) maxLLR() float64 { return slices.Max(m.llrs) }

func (m *measure) newRate() float64 { return m.newHits / math.Max(m.newTotal, 1) }

func (m *measure) oldRate() float64 { return m.oldHits / math.Max(m.oldTotal, 1) }

// logLikelihoodRatio returns the log likelihood ratio of the new version's counts
// for a rate above null by effect, against the rate null.
func logLikelihoodRatio(in interval, null, effect float64) float64 {
	alternative := null + effect*(1-null)
	misses := in.newTotal - in.newHits
	return in.newHits*math.Log(alternative/null) + misses*math.Log((1-alternative)/(1-null))
}

// logAddExp returns log(exp(a) + exp(b)).
func logAddExp(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
