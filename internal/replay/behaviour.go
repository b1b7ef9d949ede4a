package replay

import (
	"math"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

const (
	// fastest and slowest extend the quantiles to both ends, as factors of
	// the 50th and the 99th percentile.
	fastest = 0.25
	slowest = 2.0
	// smallest keeps probabilities above zero, so that their ratios are finite.
	smallest = 1e-6
)

// effect is a behaviour at a certain load and share.
type effect struct {
	base    *trace.Behaviour
	latency float64
	errors  float64
}

func effectOf(b *trace.Behaviour, load, share float64) effect {
	byLoad := interpolate(b.ByLoad, load)
	byShare := interpolate(b.ByShare, share)
	return effect{
		base:    b,
		latency: byLoad.Latency * byShare.Latency,
		errors:  math.Min(1, b.Errors+byLoad.Errors+byShare.Errors),
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
		f := (at - a.At) / (b.At - a.At)
		return trace.Point{
			Latency: a.Latency + f*(b.Latency-a.Latency),
			Errors:  a.Errors + f*(b.Errors-a.Errors),
		}
	}
	return curve[len(curve)-1]
}

// knots returns the quantile function as points of probability and latency in ms.
func knots(b *trace.Behaviour) (probability, ms [5]float64) {
	probability = [5]float64{0, 0.5, 0.95, 0.99, 1}
	ms = [5]float64{b.P50Ms * fastest, b.P50Ms, b.P95Ms, b.P99Ms, b.P99Ms * slowest}
	return probability, ms
}

// quantile returns the latency at probability u, between points on a log scale.
func quantile(b *trace.Behaviour, u float64) float64 {
	p, ms := knots(b)
	i := 1
	for i < len(p)-1 && u > p[i] {
		i++
	}
	f := (u - p[i-1]) / (p[i] - p[i-1])
	return ms[i-1] * math.Pow(ms[i]/ms[i-1], f)
}

// below returns the probability of a latency under ms.
func below(b *trace.Behaviour, at float64) float64 {
	p, ms := knots(b)
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
		f := math.Log(at/ms[i-1]) / math.Log(ms[i]/ms[i-1])
		return p[i-1] + f*(p[i]-p[i-1])
	}
	return 1
}

func meanSeconds(b *trace.Behaviour) float64 {
	return (0.5*b.P50Ms + 0.45*(b.P50Ms+b.P95Ms)/2 + 0.05*b.P99Ms) / 1000
}

// bucketProbability is the probability of the latency bucket.
func (e effect) bucketProbability(bucket int, cold float64) float64 {
	high, low := 1.0, 0.0
	factor := e.latency * cold
	if bucket < move.LatencyBuckets-1 {
		high = below(e.base, millis(move.BucketBound(bucket))/factor)
	}
	if bucket > 0 {
		low = below(e.base, millis(move.BucketBound(bucket-1))/factor)
	}
	return math.Max(high-low, smallest)
}

// logRatio compares the probability of a response under the two effects.
func logRatio(bad, good effect, bucket int, failed bool, cold float64) float64 {
	ratio := math.Log(bad.bucketProbability(bucket, cold) / good.bucketProbability(bucket, cold))
	if failed {
		return ratio + math.Log(math.Max(bad.errors, smallest)/math.Max(good.errors, smallest))
	}
	return ratio + math.Log(math.Max(1-bad.errors, smallest)/math.Max(1-good.errors, smallest))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
