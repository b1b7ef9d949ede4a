package move

import (
	"math"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const (
	firstBound = 250 * time.Microsecond
	lastBound  = 64 * time.Second
)

var bounds = makeBounds()

func makeBounds() [LatencyBuckets]time.Duration {
	var b [LatencyBuckets]time.Duration
	ratio := math.Pow(float64(lastBound)/float64(firstBound), 1/float64(LatencyBuckets-1))
	for i := range b {
		b[i] = time.Duration(float64(firstBound) * math.Pow(ratio, float64(i)))
	}
	return b
}

// BucketBound returns the upper bound of latency bucket i. The bounds are
// spaced evenly on a logarithmic scale from 0.25 ms to 64 s, a factor of 1.72
// apart. The last bucket also counts all higher latencies.
func BucketBound(i int) time.Duration { return bounds[i] }

// BucketOf returns the index of the bucket that counts the latency.
func BucketOf(latency time.Duration) int {
	for i, bound := range bounds {
		if latency < bound {
			return i
		}
	}
	return LatencyBuckets - 1
}

// Add adds the counts of other, which must have the same key.
func (s *Sample) Add(other *Sample) {
	s.Requests += other.Requests
	s.Errors += other.Errors
	s.AnsweredErrors += other.AnsweredErrors
	for i, n := range other.Latency {
		s.Latency[i] += n
	}
}

// unanswered returns the number of requests without an answer of a target.
func (s *Sample) unanswered() uint32 { return s.Errors - min(s.AnsweredErrors, s.Errors) }

// answeredOnly returns the sample without the requests that have no answer. It assumes that
// they were the slowest.
func (s Sample) answeredOnly() Sample {
	left := min(s.unanswered(), s.Requests)
	s.Requests -= left
	s.Errors = min(s.AnsweredErrors, s.Requests)
	for i := LatencyBuckets - 1; i >= 0 && left > 0; i-- {
		removed := min(left, s.Latency[i])
		s.Latency[i] -= removed
		left -= removed
	}
	return s
}

// SlowerThan returns the number of requests in the buckets above the given index.
func (s *Sample) SlowerThan(bucket int) uint32 {
	var slow uint32
	for i := bucket + 1; i < LatencyBuckets; i++ {
		slow += s.Latency[i]
	}
	return slow
}

// ToWire encodes the sample and omits trailing zero buckets.
func (s *Sample) ToWire() *wire.Sample {
	used := LatencyBuckets
	for used > 0 && s.Latency[used-1] == 0 {
		used--
	}
	latency := make([]uint32, used)
	copy(latency, s.Latency[:used])
	return &wire.Sample{
		Ticket: s.Key.Ticket, Route: s.Key.Route, Service: s.Key.Service, NewVersion: s.Key.New,
		Requests: s.Requests, Errors: s.Errors, AnsweredErrors: s.AnsweredErrors, Latency: latency,
	}
}

// SampleFromWire decodes a sample. Counts beyond the last bucket, which a
// daemon of another release may send, are added to the last bucket.
func SampleFromWire(w *wire.Sample) Sample {
	s := Sample{
		Key:      SampleKey{Ticket: w.GetTicket(), Route: w.GetRoute(), Service: w.GetService(), New: w.GetNewVersion()},
		Requests: w.GetRequests(),
		Errors:   w.GetErrors(),
		// A daemon of another release may send more.
		AnsweredErrors: min(w.GetAnsweredErrors(), w.GetErrors()),
	}
	for i, n := range w.GetLatency() {
		s.Latency[min(i, LatencyBuckets-1)] += n
	}
	return s
}

// CombineRoutes sums the samples of all routes of each service and version under an empty
// route, so that a bounded number of samples holds all requests.
func CombineRoutes(samples []Sample) []Sample {
	combined := slices.Clone(samples)
	for i := range combined {
		combined[i].Key.Route = ""
	}
	return MergeSamples(combined)
}

// MergeSamples sums the samples of each key and returns the sums in the order in
// which the keys first appear.
func MergeSamples(samples []Sample) []Sample {
	index := make(map[SampleKey]int, len(samples))
	var merged []Sample
	for i := range samples {
		at, ok := index[samples[i].Key]
		if !ok {
			index[samples[i].Key] = len(merged)
			merged = append(merged, samples[i])
			continue
		}
		merged[at].Add(&samples[i])
	}
	return merged
}
