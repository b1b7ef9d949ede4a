package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/routing"
)

var _ = Describe("arrivals", func() {
	const request, other = 1, 2
	var arrivals *routing.Arrivals
	after := func(d time.Duration) time.Time { return start.Add(d) }

	BeforeEach(func() { arrivals = routing.NewArrivals() })

	// Guards against first attempts that count as late: the time since the first
	// attempt was taken as the longest deadline of any caller less the time left, so a
	// caller whose deadline was 15% shorter than the longest, 375 ms of 2.5 s, lost
	// nearly all of its objective of 400 ms.
	It("take an attempt with another deadline for a first one", func() {
		Expect(arrivals.First(after(0), request, after(2500*time.Millisecond))).To(Equal(after(0)))
		at := after(time.Second)
		Expect(arrivals.First(at, request, at.Add(2200*time.Millisecond))).To(Equal(at))
		Expect(arrivals.First(at, other, after(2500*time.Millisecond))).To(Equal(at))
	})

	It("find the first attempt of a caller that returns, also when its deadline is rounded or delayed", func() {
		for _, shift := range []time.Duration{0, -time.Millisecond, 3 * time.Millisecond, 16 * time.Millisecond} {
			deadline := after(2400 * time.Millisecond)
			arrivals = routing.NewArrivals()
			arrivals.First(after(0), request, deadline)
			Expect(arrivals.First(after(300*time.Millisecond), request, deadline.Add(shift))).To(Equal(after(0)), "shift of %s", shift)
		}
	})

	It("forget requests whose deadline has passed", func() {
		deadline := after(time.Second)
		arrivals.First(after(0), request, deadline)
		late := deadline.Add(time.Millisecond)
		Expect(arrivals.First(late, request, deadline)).To(Equal(late))
	})

	// Guards against memory that grows with the load.
	It("forget the oldest requests when there are too many", func() {
		deadline := after(time.Hour)
		for i := range uint64(20_000) {
			arrivals.First(after(0), i, deadline)
		}
		late := after(time.Second)
		Expect(arrivals.First(late, 0, deadline)).To(Equal(late))
		Expect(arrivals.First(late, 19_999, deadline)).To(Equal(after(0)))
	})
})
