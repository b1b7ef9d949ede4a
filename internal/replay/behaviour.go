package replay

import (
	"math"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

const (
	// fastestFactor and slowestFactor give the minimum and the maximum latency as
	// factors of the 50th and the 99th percentile.
	fastestFactor = 0.25
	slowestFactor = 2.0
	// minProbability is the lower bound of probabilities, so that their ratios are
	// finite.
	minProbability = 1e-6
)

// responseModel is the distribution of responses of a behaviour at a given load
// and share.
type responseModel struct {
	base          *trace.Behaviour
	latencyFactor float64
	errorRate     float64
}

func newResponseModel(b *trace.Behaviour, load, share float64) responseModel {
	byLoad := interpolate(b.ByLoad, load)
	byShare := interpolate(b.ByShare, share)
	return responseModel{
		base:          b,
		latencyFactor: byLoad.Latency * byShare.Latency,
		errorRate:     math.Min(1, b.Errors+byLoad.Errors+byShare.Errors),
	}
}

func interpolate(curve []trace.Point, at float64) trace.Point {
	if len(curve) == 0 {
		return trace.Point{Latency: 1}
	}
	if at <= curve[0].At {
		return curve[0]
	}
	for i := 1; i < len(curve); i++ {
		a, b := curve[i-1], curve[i]
		if at > b.At {
			continue
		}
		fraction := (at - a.At) / (b.At - a.At)
		return trace.Point{
			Latency: a.Latency + fraction*(b.Latency-a.Latency),
			Errors:  a.Errors + fraction*(b.Errors-a.Errors),
		}
	}
	return curve[len(curve)-1]
}

// quantilePoints returns points of the quantile function of the latency, in
// milliseconds.
func quantilePoints(b *trace.Behaviour) (probability, ms [5]float64) {
	probability = [5]float64{0, 0.5, 0.95, 0.99, 1}
	ms = [5]float64{b.P50Ms * fastestFactor, b.P50Ms, b.P95Ms, b.P99Ms, b.P99Ms * slowestFactor}
	return probability, ms
}

// latencyQuantile returns the latency in milliseconds at probability u. Between
// points it interpolates the logarithm of the latency.
func latencyQuantile(b *trace.Behaviour, u float64) float64 {
	p, ms := quantilePoints(b)
	i := 1
	for i < len(p)-1 && u > p[i] {
		i++
	}
	fraction := (u - p[i-1]) / (p[i] - p[i-1])
	return ms[i-1] * math.Pow(ms[i]/ms[i-1], fraction)
}

// latencyCDF returns the probability of a latency of less than at milliseconds.
func latencyCDF(b *trace.Behaviour, at float64) float64 {
	p, ms := quantilePoints(b)
	if at <= ms[0] {
		return 0
	}
	for i := 1; i < len(p); i++ {
		if at > ms[i] {
			continue
		}
		if ms[i] == ms[i-1] {
			return p[i]
		}
		fraction := math.Log(at/ms[i-1]) / math.Log(ms[i]/ms[i-1])
		return p[i-1] + fraction*(p[i]-p[i-1])
	}
	return 1
}

// meanLatencySeconds returns the approximate mean latency at low load.
func meanLatencySeconds(b *trace.Behaviour) float64 {
	return (0.5*b.P50Ms + 0.45*(b.P50Ms+b.P95Ms)/2 + 0.05*b.P99Ms) / 1000
}

// bucketProbability returns the probability that a latency is in the bucket, if
// the target multiplies its latencies by coldFactor.
func (m responseModel) bucketProbability(bucket int, coldFactor float64) float64 {
	high, low := 1.0, 0.0
	factor := m.latencyFactor * coldFactor
	if bucket < move.LatencyBuckets-1 {
		high = latencyCDF(m.base, milliseconds(move.BucketBound(bucket))/factor)
	}
	if bucket > 0 {
		low = latencyCDF(m.base, milliseconds(move.BucketBound(bucket-1))/factor)
	}
	return math.Max(high-low, minProbability)
}

// logLikelihoodRatio returns the logarithm of the ratio of the probabilities of a
// response under the bad and the good model.
func logLikelihoodRatio(bad, good responseModel, bucket int, failed bool, coldFactor float64) float64 {
	ratio := math.Log(bad.bucketProbability(bucket, coldFactor) / good.bucketProbability(bucket, coldFactor))
	if failed {
		return ratio + math.Log(math.Max(bad.errorRate, minProbability)/math.Max(good.errorRate, minProbability))
	}
	return ratio + math.Log(math.Max(1-bad.errorRate, minProbability)/math.Max(1-good.errorRate, minProbability))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
