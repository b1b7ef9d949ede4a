package daemon

import (
	"context"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the number of processors", func() {
	sampleLowUse := func(p *processorScaler, samples int) int {
		for range samples {
			p.next(scaleDownBelowCores / 2)
		}
		return p.current
	}

	// Guards against the cost of waking threads for each call of a daemon with
	// little CPU use.
	It("falls to one after consecutive samples of low CPU use", func() {
		p := &processorScaler{maxProcessors: 8, current: 8}
		Expect(sampleLowUse(p, scaleDownSamples-1)).To(Equal(8))
		Expect(sampleLowUse(p, 1)).To(Equal(1))
	})

	// Guards against calls that queue for a single processor.
	It("rises to all after the first sample of high CPU use", func() {
		p := &processorScaler{maxProcessors: 8, current: 8}
		sampleLowUse(p, scaleDownSamples)
		Expect(p.next(scaleUpAboveCores)).To(Equal(1))
		Expect(p.next(scaleUpAboveCores + 0.01)).To(Equal(8))
	})

	// Guards against a selected number that is not applied.
	It("is set as GOMAXPROCS of the Go runtime", func() {
		DeferCleanup(runtime.GOMAXPROCS, runtime.GOMAXPROCS(1))
		start := time.Now()
		p := &processorScaler{maxProcessors: 3, current: 1, cpuTime: func() time.Duration { return time.Since(start) }}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.adapt(ctx)
		}()
		Eventually(func() int { return runtime.GOMAXPROCS(0) }).WithTimeout(10 * time.Second).Should(Equal(3))
		cancel()
		Eventually(done).WithTimeout(10 * time.Second).Should(BeClosed())
	})

	// Guards against a number that changes with every burst; each change briefly
	// stops all goroutines.
	It("does not change while samples of low and high CPU use alternate", func() {
		p := &processorScaler{maxProcessors: 8, current: 8}
		for range 10 {
			Expect(sampleLowUse(p, scaleDownSamples-1)).To(Equal(8))
			p.next(scaleDownBelowCores)
		}
	})
})
