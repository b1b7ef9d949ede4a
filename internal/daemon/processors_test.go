package daemon

import (
	"context"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the number of processors", func() {
	calm := func(p *processors, samples int) int {
		for range samples {
			p.next(gatherBelow / 2)
		}
		return p.current
	}

	// Guards against a quiet daemon whose calls pay for waking threads.
	It("falls to one after a calm time", func() {
		p := &processors{most: 8, current: 8}
		Expect(calm(p, calmSamples-1)).To(Equal(8))
		Expect(calm(p, 1)).To(Equal(1))
	})

	// Guards against calls that queue for one processor.
	It("rises to all with the first busy sample", func() {
		p := &processors{most: 8, current: 8}
		calm(p, calmSamples)
		Expect(p.next(spreadAbove)).To(Equal(1))
		Expect(p.next(spreadAbove + 0.01)).To(Equal(8))
	})

	// Guards against a choice that is not put in force.
	It("sets the number of the Go runtime", func() {
		DeferCleanup(runtime.GOMAXPROCS, runtime.GOMAXPROCS(1))
		start := time.Now()
		p := &processors{most: 3, current: 1, spent: func() time.Duration { return time.Since(start) }}
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

	// Guards against a number that changes with every burst; each change stops
	// all goroutines for a moment.
	It("stays while calm and busy samples alternate", func() {
		p := &processors{most: 8, current: 8}
		for range 10 {
			Expect(calm(p, calmSamples-1)).To(Equal(8))
			p.next(gatherBelow)
		}
	})
})
