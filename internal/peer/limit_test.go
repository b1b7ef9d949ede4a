package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

var epoch = time.Unix(1_000_000, 0)

var _ = Describe("pacing of bulk frames", func() {
	const kib = 1 << 10

	It("never lets more through than burst and rate allow, so that a reconnect is not billed as a burst", func() {
		b := newBucket(64*kib, 64*kib, epoch)
		sent := 0
		for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
			for b.take(10*kib, now) == 0 {
				sent += 10 * kib
			}
			allowed := 64*kib + int(64*kib*now.Sub(epoch).Seconds())
			Expect(sent).To(BeNumerically("<=", allowed))
		}
		Expect(sent).To(BeNumerically(">", 60*64*kib), "the rate must be used up")
	})

	It("lets a frame above the burst through once its bytes were earned, so that it cannot wait for ever", func() {
		b := newBucket(64*kib, 64*kib, epoch)
		wait := b.take(192*kib, epoch)
		Expect(wait).To(BeNumerically("~", 2*time.Second, time.Millisecond))
		Expect(b.take(192*kib, epoch.Add(wait))).To(BeZero())
		Expect(b.take(1, epoch.Add(wait))).NotTo(BeZero(), "nothing is left after the large frame")
	})

	It("does not save up beyond the burst while idle", func() {
		b := newBucket(64*kib, 64*kib, epoch)
		later := epoch.Add(time.Hour)
		b.idle(later)
		Expect(b.take(64*kib, later)).To(BeZero())
		Expect(b.take(1, later)).NotTo(BeZero())
	})
})

var _ = Describe("the send queue", func() {
	var q *queue
	BeforeEach(func() {
		config := Config{Handler: newRecorder(), QueueFrames: 3, BulkBytesPerSecond: 10, BulkBurstBytes: 10}
		Expect(config.complete()).To(Succeed())
		q = newQueue(&config, epoch)
	})
	frame := func(kind string, n int) item { return item{kind: kind, encoded: make([]byte, n)} }

	It("sends other frames while bulk frames wait, so that steps and brakes are never held back", func() {
		Expect(q.push(frame("bulk1", 10), true, epoch)).To(Succeed())
		Expect(q.push(frame("bulk2", 10), true, epoch)).To(Succeed())
		Expect(q.pop(epoch).item.kind).To(Equal("bulk1"))
		Expect(q.pop(epoch).wait).To(BeNumerically(">", 0))
		Expect(q.push(frame("urgent", 1000), false, epoch)).To(Succeed())
		Expect(q.pop(epoch).item.kind).To(Equal("urgent"))
		Expect(q.pop(epoch.Add(1001 * time.Millisecond)).item.kind).To(Equal("bulk2"))
	})

	It("refuses a frame beyond its limits, so that a slow peer cannot use up the memory", func() {
		for range 3 {
			Expect(q.push(frame("f", 1), false, epoch)).To(Succeed())
		}
		Expect(fault.KindOf(q.push(frame("f", 1), false, epoch))).To(Equal(fault.Overloaded))
		q.pop(epoch)
		Expect(q.push(frame("f", 1), false, epoch)).To(Succeed())
		q.pop(epoch)
		Expect(fault.KindOf(q.push(frame("f", q.maxBytes), false, epoch))).To(Equal(fault.Overloaded))
	})

	It("keeps what waits when it closes, so that a last frame is not lost", func() {
		Expect(q.push(frame("last", 1), false, epoch)).To(Succeed())
		q.close()
		Expect(q.push(frame("late", 1), false, epoch)).To(Succeed())
		Expect(q.pop(epoch).item.kind).To(Equal("last"))
		Expect(q.pop(epoch).done).To(BeTrue())
	})
})

var _ = Describe("limits of time", func() {
	It("admits at most 20 links in any second, so that a herd does not stall a relay", func() {
		w := newWindow(DefaultAcceptPerWindow, DefaultAcceptWindow)
		var admitted []time.Time
		for now := epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(7 * time.Millisecond) {
			if w.allow(now) {
				admitted = append(admitted, now)
			}
		}
		for i := DefaultAcceptPerWindow; i < len(admitted); i++ {
			Expect(admitted[i].Sub(admitted[i-DefaultAcceptPerWindow])).To(BeNumerically(">=", time.Second))
		}
		Expect(admitted).To(HaveLen(5 * DefaultAcceptPerWindow))
	})

	It("notices silence within 5 s and allows two lost pings", func() {
		Expect(silenceLimit + watchInterval).To(BeNumerically("<", 5*time.Second))
		Expect(silenceLimit).To(BeNumerically(">", 2*pingInterval))
		Expect(pingInterval+pauseLimit).To(BeNumerically("<", silenceLimit), "a short pause must not look like silence")
	})
})
