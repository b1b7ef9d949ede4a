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
	// Guards against a verdict that reads a lower limit as an upper one.
	DescribeTable("verdicts", func(row Row, want string) {
		Expect(row.Verdict()).To(Equal(want))
	},
		Entry("below an upper limit", Row{Measured: 3, Target: 4}, "met"),
		Entry("above an upper limit", Row{Measured: 5, Target: 4, Stretch: 2}, "not met"),
		Entry("below the stretch goal", Row{Measured: 1, Target: 4, Stretch: 2}, "stretch met"),
		Entry("only a stretch goal, missed", Row{Measured: 3, Stretch: 2}, "stretch not met"),
		Entry("below a lower limit", Row{Measured: 3, Target: 4, AtLeast: true}, "not met"),
		Entry("no limit", Row{Measured: 3}, "-"),
	)

	// Guards against convergence that leaves out proxies without the effect,
	// and against a missed effect when a proxy skips revisions by a snapshot.
	It("counts the last proxy, and effects by later revisions", func() {
		start := time.Unix(100, 0)
		at := func(ms int, revision uint64) timeline.Event {
			return timeline.Event{At: start.Add(time.Duration(ms) * time.Millisecond), Revision: revision}
		}
		applied := map[string][]timeline.Event{
			"fast": {at(5, 1), at(6, 2)}, "snapshot": {at(40, 2)}, "stuck": {at(5, 1)},
		}
		tickets := []accepted{{ticket: 1, revision: 1}, {ticket: 2, revision: 2}}
		seen := &observed{accepted: map[uint64]time.Time{1: start, 2: start}, applied: applied}
		seen.stated = []timeline.Event{at(90, 2), at(50, 1)}
		c := summarize(tickets, seen)
		Expect(c.Missing).To(Equal(1))
		Expect(c.Everywhere.Count).To(Equal(int64(2)))
		Expect(c.Everywhere.Max).To(BeNumerically("~", 40, 0.1))
		Expect(c.Proxy.Count).To(Equal(int64(5)))
		// The statements of two controllers need not be in the order of time.
		Expect(c.Stated.P50).To(BeNumerically("~", 50, 0.1))
		Expect(c.Stated.Max).To(BeNumerically("~", 90, 0.1))
	})

	// Guards against bytes and processor time that vanish when a daemon
	// restarts and its counters begin at zero again.
	It("keeps totals across restarts", func() {
		s := newSampler(nil)
		vm := &fleet.VM{Name: "vm"}
		s.pids["vm"] = 1
		s.last["vm"] = Reading{Received: 70, Kinds: map[string]float64{"sent hello": 7}}
		total := s.combine(vm.Name, 2, Reading{Received: 5, Kinds: map[string]float64{"sent hello": 1}})
		Expect(total.Received).To(Equal(75.0))
		Expect(total.Kinds).To(HaveKeyWithValue("sent hello", 8.0))
		total = s.combine(vm.Name, 2, Reading{Received: 6})
		Expect(total.Received).To(Equal(76.0))
	})

	// Guards against means over the wrong number of daemons or seconds.
	It("computes rates per daemon", func() {
		start := time.Unix(0, 0)
		before := Sample{At: start, Daemons: map[string]Reading{"a": {}, "b": {Received: 10}}}
		after := Sample{At: start.Add(10 * time.Second), Daemons: map[string]Reading{
			"a": {Received: 100, Usage: Usage{CPU: time.Second}}, "b": {Received: 10},
		}}
		p := difference("p", before, after)
		Expect(p.Received).To(Equal(5.0))
		Expect(p.ReceivedMost).To(Equal(10.0))
		Expect(p.CPUMost).To(BeNumerically("~", 10, 0.001))
	})

	// Guards against a limit of writes that lets reads use it up, or that
	// counts operations in place of items.
	It("bounds the items that the platform takes in a second", func() {
		f := &platformFront{}
		f.setWriteLimit(3)
		two := []byte(`{"TransactItems":[{},{}]}`)
		Expect(f.admit("POST", "GetItem", nil)).To(Equal(frontPassed))
		Expect(f.admit("POST", "TransactWriteItems", two)).To(Equal(frontPassed))
		Expect(f.admit("POST", "TransactWriteItems", two)).To(Equal(frontThrottled))
		Expect(f.admit("POST", "PutItem", nil)).To(Equal(frontPassed))
		Expect(f.counted()).To(Equal(FrontCount{Reads: 1, WriteCalls: 2, Writes: 3, Throttled: 1}))
	})

	// Guards against repeats that are listed one after another, and against a
	// burst that is counted over a window that is too long.
	It("joins repeats, and finds the densest second", func() {
		rows := medians([][]Row{{{Name: "a", Measured: 3}}, {{Name: "a", Measured: 1}}, {{Name: "a", Measured: 2}}})
		Expect(rows).To(Equal([]Row{{Name: "a", Measured: 2, Note: "1 to 3 in 3 repeats"}}))
		at := func(ms int64) time.Time { return time.UnixMilli(ms) }
		Expect(mostWithin([]time.Time{at(2500), at(0), at(900), at(1700), at(1800)}, time.Second)).To(Equal(3))
	})

	// Guards against a wrong field of /proc/PID/stat when the name of the
	// process contains spaces or parentheses.
	It("reads processor times behind any process name", func() {
		line := "7 (a b) c) S " + strings.Repeat("0 ", 10) + "150 50 0"
		Expect(cpuOf(line)).To(Equal(2 * time.Second))
	})
})
