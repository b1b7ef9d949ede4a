package workcost

import (
	"math"
	"time"
)

const (
	// minWork is the upper bound of the first bucket of a distribution.
	minWork = time.Millisecond
	// bucketsPerDoubling is the number of buckets for each doubling of the work. The
	// quantiles of a distribution are exact to 19%.
	bucketsPerDoubling = 4
	// bucketCount covers work up to 32 s.
	bucketCount = 15*bucketsPerDoubling + 1
	// maxSamples is the weight at which all samples of a distribution are halved, so
	// that old ones count less.
	maxSamples  = 400
	agingFactor = 0.5
)

// Distribution is the aged distribution of the work of a class of requests.
type Distribution struct {
	samples float32
	// sum is the sum of the samples in milliseconds.
	sum     float64
	buckets [bucketCount]float32
	// logMean is the moving average of the natural logarithm of the work in
	// milliseconds.
	logMean float64
	// usedAt is the number of the last use of the class in its model.
	usedAt uint64
}

// bucketUpper holds the upper bounds of the buckets in milliseconds.
var bucketUpper = func() (upper [bucketCount]float64) {
	for i := range upper {
		upper[i] = milliseconds(minWork) * math.Exp2(float64(i)/bucketsPerDoubling)
	}
	return upper
}()

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func bucketOf(ms float64) int {
	if ms <= bucketUpper[0] {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(math.Log2(ms/bucketUpper[0])*bucketsPerDoubling)))
}

// bucketMiddle holds the work that stands for all samples of a bucket.
var bucketMiddle = func() (middle [bucketCount]float64) {
	for i := range middle {
		middle[i] = bucketUpper[i] * math.Exp2(-0.5/bucketsPerDoubling)
	}
	return middle
}()

func (d *Distribution) add(ms, logMs float64) {
	if d.samples >= maxSamples {
		d.samples *= agingFactor
		d.sum *= agingFactor
		for i := range d.buckets {
			d.buckets[i] *= agingFactor
		}
	}
	d.samples++
	d.sum += ms
	d.buckets[bucketOf(ms)]++
	d.logMean += (logMs - d.logMean) / math.Min(float64(d.samples), maxSamples/4)
}

// Mean returns the expected work, or zero without samples.
func (d *Distribution) Mean() time.Duration {
	if d.samples == 0 {
		return 0
	}
	return fromMilliseconds(d.sum / float64(d.samples))
}

// Rest returns the expected work that is left of a request on which the work done has
// been done. It is at least an eighth of done once no sample was longer, since a request
// that has run for long usually goes on for long.
func (d *Distribution) Rest(done time.Duration) time.Duration {
	doneMs := milliseconds(done)
	if doneMs <= 0 {
		return d.Mean()
	}
	weight, sum := 0.0, 0.0
	for i := bucketOf(doneMs); i < bucketCount; i++ {
		if at := bucketMiddle[i]; at > doneMs {
			weight += float64(d.buckets[i])
			sum += float64(d.buckets[i]) * (at - doneMs)
		}
	}
	const minWeight, minRest = 0.5, 0.125
	if weight < minWeight {
		return fromMilliseconds(minRest * doneMs)
	}
	return fromMilliseconds(sum / weight)
}

// Quantile returns the work that the fraction q of the requests do not exceed.
func (d *Distribution) Quantile(q float64) time.Duration {
	left := q * float64(d.samples)
	for i, weight := range d.buckets {
		left -= float64(weight)
		if left <= 0 && weight > 0 {
			return fromMilliseconds(bucketMiddle[i])
		}
	}
	return fromMilliseconds(bucketMiddle[bucketCount-1])
}
