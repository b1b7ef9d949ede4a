package peer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

var startTime = time.Unix(1_000_000, 0)

var _ = Describe("rate limit of bulk frames", func() {
	const kib = 1 << 10

	It("never allows more bytes than burst and rate permit, so that a reconnect does not add a burst to the billed traffic", func() {
		b := newTokenBucket(64*kib, 64*kib, startTime)
		sent := 0
		for now := startTime; now.Before(startTime.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
			for b.take(10*kib, now) == 0 {
				sent += 10 * kib
			}
			allowed := 64*kib + int(64*kib*now.Sub(startTime).Seconds())
			Expect(sent).To(BeNumerically("<=", allowed))
		}
		Expect(sent).To(BeNumerically(">", 60*64*kib), "the rate must be fully used")
	})

	It("sends a frame larger than the burst once enough tokens have accumulated, so that it does not wait forever", func() {
		b := newTokenBucket(64*kib, 64*kib, startTime)
		wait := b.take(192*kib, startTime)
		Expect(wait).To(BeNumerically("~", 2*time.Second, time.Millisecond))
		Expect(b.take(192*kib, startTime.Add(wait))).To(BeZero())
		Expect(b.take(1, startTime.Add(wait))).NotTo(BeZero(), "the large frame must use all tokens")
	})

	It("does not accumulate more tokens than the burst while idle", func() {
		b := newTokenBucket(64*kib, 64*kib, startTime)
		later := startTime.Add(time.Hour)
		b.refillToBurst(later)
		Expect(b.take(64*kib, later)).To(BeZero())
		Expect(b.take(1, later)).NotTo(BeZero())
	})
})

var _ = Describe("the send queue", func() {
	var q *queue
	BeforeEach(func() {
		config := Config{Handler: newRecorder(), QueueFrames: 3, BulkBytesPerSecond: 10, BulkBurstBytes: 10}
		Expect(config.complete()).To(Succeed())
		q = newQueue(&config, startTime)
	})
	frame := func(kind string, n int) queuedFrame { return queuedFrame{kind: kind, encoded: make([]byte, n)} }

	It("sends other frames while bulk frames wait, so that steps and brakes are not delayed", func() {
		Expect(q.push(frame("bulk1", 10), true, startTime)).To(Succeed())
		Expect(q.push(frame("bulk2", 10), true, startTime)).To(Succeed())
		Expect(q.pop(startTime).frame.kind).To(Equal("bulk1"))
		Expect(q.pop(startTime).wait).To(BeNumerically(">", 0))
		Expect(q.push(frame("urgent", 1000), false, startTime)).To(Succeed())
		Expect(q.pop(startTime).frame.kind).To(Equal("urgent"))
		Expect(q.pop(startTime.Add(1001 * time.Millisecond)).frame.kind).To(Equal("bulk2"))
	})

	It("rejects a frame above its limits, so that a slow peer cannot exhaust the memory", func() {
		for range 3 {
			Expect(q.push(frame("f", 1), false, startTime)).To(Succeed())
		}
		Expect(fault.KindOf(q.push(frame("f", 1), false, startTime))).To(Equal(fault.Overloaded))
		q.pop(startTime)
		Expect(q.push(frame("f", 1), false, startTime)).To(Succeed())
		q.pop(startTime)
		Expect(fault.KindOf(q.push(frame("f", q.maxBytes), false, startTime))).To(Equal(fault.Overloaded))
	})

	It("keeps the queued frames when it closes, so that the last frame is not lost", func() {
		Expect(q.push(frame("last", 1), false, startTime)).To(Succeed())
		q.close()
		Expect(q.push(frame("late", 1), false, startTime)).To(Succeed())
		Expect(q.pop(startTime).frame.kind).To(Equal("last"))
		Expect(q.pop(startTime).done).To(BeTrue())
	})
})

var _ = Describe("accept limit and receive timeout", func() {
	It("admits at most 20 links in any second, so that many simultaneous dialers do not overload a relay", func() {
		w := newSlidingWindow(DefaultAcceptPerWindow, DefaultAcceptWindow)
		var admitted []time.Time
		for now := startTime; now.Before(startTime.Add(5 * time.Second)); now = now.Add(7 * time.Millisecond) {
			if w.allow(now) {
				admitted = append(admitted, now)
			}
		}
		for i := DefaultAcceptPerWindow; i < len(admitted); i++ {
			Expect(admitted[i].Sub(admitted[i-DefaultAcceptPerWindow])).To(BeNumerically(">=", time.Second))
		}
		Expect(admitted).To(HaveLen(5 * DefaultAcceptPerWindow))
	})

	It("detects a frozen peer within 5 s and tolerates two lost pings", func() {
		Expect(receiveTimeout + receiveCheckInterval).To(BeNumerically("<", 5*time.Second))
		Expect(receiveTimeout).To(BeNumerically(">", 2*pingInterval))
		Expect(pingInterval+processPauseThreshold).To(BeNumerically("<", receiveTimeout), "a short pause of this process must not exceed the receive timeout")
	})
})
