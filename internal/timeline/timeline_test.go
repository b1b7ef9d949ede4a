package timeline_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func at(seconds int) func() time.Time {
	return func() time.Time { return start.Add(time.Duration(seconds) * time.Second) }
}

func kinds(events []timeline.Event) []timeline.Kind {
	var list []timeline.Kind
	for _, e := range events {
		list = append(list, e.Kind)
	}
	return list
}

var _ = Describe("Recorder", func() {
	It("keeps the newest events in order when it is full, guarding against an error at the wraparound of the ring", func() {
		r := timeline.New("a", 3, at(0))
		for i := range 8 {
			r.Append(timeline.Event{Kind: timeline.StepApplied, Revision: uint64(i)})
		}
		var revisions []uint64
		for _, e := range r.Events(timeline.Filter{}) {
			revisions = append(revisions, e.Revision)
		}
		Expect(revisions).To(Equal([]uint64{5, 6, 7}))
	})

	It("sets the clock, time and VM itself, guarding against values that callers set", func() {
		r := timeline.New("a", 0, at(1))
		e := r.Append(timeline.Event{Clock: 99, VM: "b", Kind: timeline.BrakeSet})
		Expect(e).To(Equal(timeline.Event{Clock: 1, At: at(1)(), VM: "a", Kind: timeline.BrakeSet}))
	})

	It("does not lower its clock when it receives an older one", func() {
		r := timeline.New("a", 1, at(0))
		r.Witness(10)
		r.Witness(4)
		Expect(r.Append(timeline.Event{}).Clock).To(Equal(uint64(11)))
		Expect(r.Clock()).To(Equal(uint64(11)))
	})

	DescribeTable("filters by every field of the filter",
		func(filter timeline.Filter, want int) {
			r := timeline.New("a", 9, at(0))
			r.Append(timeline.Event{Ticket: 1})
			r.Append(timeline.Event{Ticket: 2, Request: "x"})
			r.Append(timeline.Event{Request: "x"})
			Expect(r.Events(filter)).To(HaveLen(want))
		},
		Entry("all", timeline.Filter{}, 3),
		Entry("a ticket", timeline.Filter{Ticket: 2}, 1),
		Entry("a request", timeline.Filter{Request: "x"}, 2),
		Entry("both", timeline.Filter{Ticket: 1, Request: "x"}, 0),
		Entry("another VM", timeline.Filter{VM: "b"}, 0),
	)
})

var _ = Describe("Merge", func() {
	It("puts a cause before its effect even if the other VM's wall clock is behind", func() {
		controller := timeline.New("controller", 9, at(500))
		proxy := timeline.New("proxy", 9, at(0))
		controller.Append(timeline.Event{Kind: timeline.TicketAccepted})
		proxy.Witness(controller.Clock())
		proxy.Append(timeline.Event{Kind: timeline.RevisionApplied})
		controller.Witness(proxy.Clock())
		controller.Append(timeline.Event{Kind: timeline.RevisionInForce})
		merged := timeline.Merge(proxy.Events(timeline.Filter{}), controller.Events(timeline.Filter{}))
		Expect(kinds(merged)).To(Equal([]timeline.Kind{timeline.TicketAccepted, timeline.RevisionApplied, timeline.RevisionInForce}))
	})

	It("returns the same order for any order of lists and drops duplicates", func() {
		a := []timeline.Event{{Clock: 1, VM: "a", Kind: timeline.ParentLost}, {Clock: 2, VM: "a", Kind: timeline.ParentAttached}}
		b := []timeline.Event{{Clock: 1, VM: "b", Kind: timeline.ChildLost}, {Clock: 2, VM: "b", Kind: timeline.ChildAttached}}
		Expect(timeline.Merge(a, b, a)).To(Equal(timeline.Merge(b, a)))
		Expect(timeline.Merge(a, b, a)).To(HaveLen(4))
	})
})

var _ = Describe("JSON lines", func() {
	It("decodes the events that it encoded", func() {
		r := timeline.New("a", 9, at(0))
		r.Append(timeline.Event{Kind: timeline.TicketRefused, Ticket: 7, Detail: "line\nbreak"})
		r.Append(timeline.Event{Kind: timeline.LeaseTaken, Epoch: 2})
		var buffer bytes.Buffer
		Expect(timeline.WriteLines(&buffer, r.Events(timeline.Filter{}))).To(Succeed())
		Expect(strings.Count(buffer.String(), "\n")).To(Equal(2))
		Expect(timeline.ReadLines(&buffer)).To(Equal(r.Events(timeline.Filter{})))
	})

	DescribeTable("rejects invalid events and reports the line number",
		func(text, message string) {
			_, err := timeline.ReadLines(strings.NewReader(text))
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("no JSON", "\nx\n", "line 2"),
		Entry("an object without a VM and a kind", `{"clock":1}`, "line 1"),
		Entry("an oversized line", strings.Repeat("x", timeline.MaxLineBytes+1), "line 1"),
	)
})
