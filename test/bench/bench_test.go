package bench

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

var _ = Describe("the benchmarks", func() {
	// Guards against a verdict that treats a lower limit as an upper limit.
	DescribeTable("compare a row with its limits", func(row Row, want string) {
		Expect(row.Verdict()).To(Equal(want))
	},
		Entry("below an upper limit", Row{Measured: 3, Target: 4}, "met"),
		Entry("above an upper limit", Row{Measured: 5, Target: 4, Stretch: 2}, "not met"),
		Entry("below the stretch goal", Row{Measured: 1, Target: 4, Stretch: 2}, "stretch met"),
		Entry("only a stretch goal, missed", Row{Measured: 3, Stretch: 2}, "stretch not met"),
		Entry("below a lower limit", Row{Measured: 3, Target: 4, AtLeast: true}, "not met"),
		Entry("no limit", Row{Measured: 3}, "-"),
	)

	// Guards against a convergence that leaves out proxies on which a ticket has
	// no effect, and against a missed effect when a proxy skips revisions because
	// it applies a snapshot.
	It("measures convergence up to the last proxy, and counts later revisions as effects", func() {
		start := time.Unix(100, 0)
		at := func(ms int, revision uint64) timeline.Event {
			return timeline.Event{At: start.Add(time.Duration(ms) * time.Millisecond), Revision: revision}
		}
		applied := map[string][]timeline.Event{
			"fast": {at(5, 1), at(6, 2)}, "snapshot": {at(40, 2)}, "stuck": {at(5, 1)},
		}
		tickets := []acceptedTicket{{ticket: 1, revision: 1}, {ticket: 2, revision: 2}}
		events := &observedEvents{acceptedAt: map[uint64]time.Time{1: start, 2: start}, appliedByVM: applied}
		events.inForce = []timeline.Event{at(90, 2), at(50, 1)}
		c := summarizeConvergence(tickets, events)
		Expect(c.Missing).To(Equal(1))
		Expect(c.Everywhere.Count).To(Equal(int64(2)))
		Expect(c.Everywhere.Max).To(BeNumerically("~", 40, 0.1))
		Expect(c.Proxy.Count).To(Equal(int64(5)))
		// The in-force events of two controllers may be out of time order.
		Expect(c.Stated.P50).To(BeNumerically("~", 50, 0.1))
		Expect(c.Stated.Max).To(BeNumerically("~", 90, 0.1))
	})

	// Guards against the loss of bytes and processor time from the totals when a
	// daemon restarts and its counters start at zero.
	It("keeps totals across daemon restarts", func() {
		s := newSampler(nil)
		vm := &fleet.VM{Name: "vm"}
		s.pids["vm"] = 1
		s.current["vm"] = Reading{Received: 70, Kinds: map[string]float64{"sent hello": 7}}
		total := s.totalAcrossRestarts(vm.Name, 2, Reading{Received: 5, Kinds: map[string]float64{"sent hello": 1}})
		Expect(total.Received).To(Equal(75.0))
		Expect(total.Kinds).To(HaveKeyWithValue("sent hello", 8.0))
		total = s.totalAcrossRestarts(vm.Name, 2, Reading{Received: 6})
		Expect(total.Received).To(Equal(76.0))
	})

	// Guards against means over the wrong number of daemons or seconds.
	It("computes rates per daemon", func() {
		start := time.Unix(0, 0)
		before := Sample{At: start, Daemons: map[string]Reading{"a": {}, "b": {Received: 10}}}
		after := Sample{At: start.Add(10 * time.Second), Daemons: map[string]Reading{
			"a": {Received: 100, Usage: Usage{CPU: time.Second}}, "b": {Received: 10},
		}}
		p := phaseBetween("p", before, after)
		Expect(p.Received).To(Equal(5.0))
		Expect(p.MaxReceived).To(Equal(10.0))
		Expect(p.MaxCPU).To(BeNumerically("~", 10, 0.001))
	})

	// Guards against a write limit that also counts reads, or that counts
	// operations instead of items.
	It("limits the items written to the platform per second", func() {
		f := &platformProxy{}
		f.setWriteLimit(3)
		twoItems := []byte(`{"TransactItems":[{},{}]}`)
		Expect(f.admit("POST", "GetItem", nil)).To(Equal(callForwarded))
		Expect(f.admit("POST", "TransactWriteItems", twoItems)).To(Equal(callForwarded))
		Expect(f.admit("POST", "TransactWriteItems", twoItems)).To(Equal(callThrottled))
		Expect(f.admit("POST", "PutItem", nil)).To(Equal(callForwarded))
		Expect(f.callCounts()).To(Equal(PlatformCallCounts{Reads: 1, WriteCalls: 2, Writes: 3, Throttled: 1}))
	})

	// Guards against repeats that stay separate rows, and against a burst that is
	// counted over too long a window.
	It("merges repeats into medians, and finds the maximum number of events in a second", func() {
		rows := medians([][]Row{{{Name: "a", Measured: 3}}, {{Name: "a", Measured: 1}}, {{Name: "a", Measured: 2}}})
		Expect(rows).To(Equal([]Row{{Name: "a", Measured: 2, Note: "1 to 3 in 3 repeats"}}))
		at := func(ms int64) time.Time { return time.UnixMilli(ms) }
		Expect(maxWithinWindow([]time.Time{at(2500), at(0), at(900), at(1700), at(1800)}, time.Second)).To(Equal(3))
	})

	// Guards against reading the wrong fields of /proc/PID/stat when the process
	// name contains spaces or parentheses.
	It("reads the processor time after any process name", func() {
		line := "7 (a b) c) S " + strings.Repeat("0 ", 10) + "150 50 0"
		Expect(parseCPUTime(line)).To(Equal(2 * time.Second))
	})
})
