package move_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

var _ = Describe("latency buckets", func() {
	// Guards against bounds that do not cover the range of timeouts or that
	// overlap, which would shift every percentile.
	It("has bounds that rise from 0.25 ms to over 60 s", func() {
		Expect(move.BucketBound(0)).To(Equal(250 * time.Microsecond))
		Expect(move.BucketBound(move.LatencyBuckets - 1)).To(BeNumerically(">", 60*time.Second))
		for i := 1; i < move.LatencyBuckets; i++ {
			Expect(move.BucketBound(i)).To(BeNumerically(">", move.BucketBound(i-1)))
			Expect(move.BucketOf(move.BucketBound(i - 1))).To(Equal(i))
		}
		Expect(move.BucketOf(time.Hour)).To(Equal(move.LatencyBuckets - 1))
	})

	// Guards against evidence that the wire encoding changes, and against bytes
	// wasted on empty buckets.
	It("round-trips through the wire format without trailing zeros", func() {
		s := move.Sample{Key: sampleKey("lookup", true), Requests: 3, Errors: 2, AnsweredErrors: 1}
		s.Latency[4] = 3
		w := s.ToWire()
		Expect(w.GetLatency()).To(Equal([]uint32{0, 0, 0, 0, 3}))
		Expect(move.SampleFromWire(w)).To(Equal(s))
		empty := move.Sample{Key: sampleKey("lookup", false)}
		Expect(empty.ToWire().GetLatency()).To(BeEmpty())
	})

	// Guards against more answered failures than failures in a sample of another release.
	It("has at most as many answered failures as failures", func() {
		w := (&move.Sample{Requests: 3, Errors: 1}).ToWire()
		w.AnsweredErrors = 2
		Expect(move.SampleFromWire(w).AnsweredErrors).To(Equal(uint32(1)))
	})

	// Guards against evidence that is lost where it exceeds a bound.
	It("keeps all requests when the routes are combined", func() {
		var samples []move.Sample
		for i := range 3 {
			for _, isNew := range []bool{false, true} {
				s := move.Sample{Key: sampleKey(string(rune('a'+i)), isNew), Requests: 5, Errors: 2, AnsweredErrors: 1}
				s.Latency[i] = 5
				samples = append(samples, s)
			}
		}
		combined := move.CombineRoutes(samples)
		Expect(combined).To(HaveLen(2))
		for _, s := range combined {
			Expect(s.Key.Route).To(BeEmpty())
			Expect([]uint32{s.Requests, s.Errors, s.AnsweredErrors}).To(Equal([]uint32{15, 6, 3}))
			Expect(s.Latency[:3]).To(Equal([]uint32{5, 5, 5}))
		}
		Expect(samples[0].Key.Route).To(Equal("a"))
	})

	// Guards against a panic or lost counts when another release sends more buckets.
	It("adds the counts of surplus buckets to the last one", func() {
		s := move.Sample{}
		w := s.ToWire()
		w.Latency = make([]uint32, move.LatencyBuckets+2)
		w.Latency[move.LatencyBuckets] = 2
		w.Latency[move.LatencyBuckets+1] = 3
		Expect(move.SampleFromWire(w).Latency[move.LatencyBuckets-1]).To(Equal(uint32(5)))
	})
})

var _ = Describe("Collector", func() {
	observe := func(c *move.Collector, isNew bool, fingerprint uint64) {
		c.Observe(move.Observation{Key: sampleKey("lookup", isNew), Latency: time.Millisecond, Failed: true, CrashFingerprint: fingerprint})
	}

	// Guards against a good version that is rejected because of a request that
	// crashes targets of any version and that callers retry.
	It("counts a crash fingerprint as one failure, also across intervals", func() {
		c := move.NewCollector()
		for range 5 {
			observe(c, true, 42)
			observe(c, false, 42)
		}
		Expect(c.Drain()).To(HaveLen(1))
		observe(c, true, 42)
		Expect(c.Drain()).To(BeEmpty())
	})

	// Guards against a crash that counts as an answer, and is then evidence in a shortage of
	// targets.
	It("counts answered failures apart from crashes", func() {
		c := move.NewCollector()
		c.Observe(move.Observation{Key: sampleKey("lookup", true), Failed: true, Answered: true})
		c.Observe(move.Observation{Key: sampleKey("lookup", true), Failed: true, Answered: true, CrashFingerprint: 7})
		c.Observe(move.Observation{Key: sampleKey("lookup", true), Failed: true})
		s := c.Drain()[0]
		Expect([]uint32{s.Requests, s.Errors, s.AnsweredErrors}).To(Equal([]uint32{3, 3, 1}))
	})

	// Guards against counting each request that fails with one crashing target as a
	// failure of its own.
	It("counts the crashes of an interval as one failure per key", func() {
		c := move.NewCollector()
		for fingerprint := range uint64(10) {
			observe(c, true, fingerprint+1)
		}
		Expect(c.Drain()[0].Errors).To(Equal(uint32(1)))
		observe(c, true, 99)
		Expect(c.Drain()[0].Errors).To(Equal(uint32(1)))
	})

	// Guards against lost or duplicate counts when requests finish during a drain.
	It("counts every request under concurrent use", func() {
		c := move.NewCollector()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 1000 {
					observe(c, true, 0)
				}
			})
		}
		var sum move.Sample
		for range 100 {
			for _, s := range c.Drain() {
				sum.Add(&s)
			}
		}
		wg.Wait()
		for _, s := range c.Drain() {
			sum.Add(&s)
		}
		Expect(sum.Requests).To(Equal(uint32(8000)))
		Expect(sum.Errors).To(Equal(uint32(8000)))
		Expect(sum.Latency[move.BucketOf(time.Millisecond)]).To(Equal(uint32(8000)))
	})
})
