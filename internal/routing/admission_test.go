package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

var _ = Describe("admission", func() {
	var admission *routing.Admission
	BeforeEach(func() { admission = routing.NewAdmission(10) })

	arrive := func(class model.Class) *routing.Waiter {
		w := &routing.Waiter{Class: class}
		admission.Arrive(start, w)
		return w
	}
	fill := func() *routing.Waiter {
		var last *routing.Waiter
		for range 10 {
			last = arrive(model.Normal)
		}
		return last
	}

	// Guards against uploads that use all slots of a target.
	It("lets bulk requests use at most 60 % of the slots", func() {
		var bulk []*routing.Waiter
		for range 7 {
			bulk = append(bulk, arrive(model.Bulk))
		}
		Expect(bulk[5].Verdict).To(Equal(routing.Admitted))
		Expect(bulk[6].Verdict).To(Equal(routing.Waiting))
		Expect(arrive(model.Normal).Verdict).To(Equal(routing.Admitted))
		admission.Release(start, bulk[0])
		Expect(bulk[6].Verdict).To(Equal(routing.Admitted))
	})

	// Guards against urgent requests that wait behind others.
	It("admits urgent, then normal, then bulk, each in order of arrival", func() {
		admitted := fill()
		bulk := arrive(model.Bulk)
		normal := arrive(model.Normal)
		second := arrive(model.Normal)
		urgent := arrive(model.Urgent)
		for _, next := range []*routing.Waiter{urgent, normal, second, bulk} {
			Expect(next.Verdict).To(Equal(routing.Waiting))
			Expect(admission.Release(start, admitted)).To(ConsistOf(next))
			admitted = next
		}
		Expect(admission.InUse()).To(Equal(10))
	})

	// Guards against a queue that grows without bound, and against urgent
	// requests that are refused while bulk ones wait.
	It("sheds when the queue is full, the lowest class first", func() {
		fill()
		waiting := arrive(model.Bulk)
		for range 19 {
			arrive(model.Normal)
		}
		Expect(admission.Queued()).To(Equal(20))
		Expect(arrive(model.Bulk).Verdict).To(Equal(routing.ShedFull))
		urgent := &routing.Waiter{Class: model.Urgent}
		Expect(admission.Arrive(start, urgent)).To(ConsistOf(waiting))
		Expect(urgent.Verdict).To(Equal(routing.Waiting))
		Expect(waiting.Verdict).To(Equal(routing.ShedFull))
		Expect(admission.Load()).To(Equal(3.0))
	})

	// Guards against slots spent on requests whose caller has given up.
	It("sheds requests that cannot finish before their deadline", func() {
		admitted := arrive(model.Normal)
		admission.Release(start.Add(time.Second), admitted)
		fill()
		late := &routing.Waiter{Class: model.Normal, Deadline: start.Add(500 * time.Millisecond)}
		admission.Arrive(start, late)
		Expect(late.Verdict).To(Equal(routing.ShedDeadline))
		timely := &routing.Waiter{Class: model.Normal, Deadline: start.Add(5 * time.Second)}
		admission.Arrive(start, timely)
		Expect(timely.Verdict).To(Equal(routing.Waiting))
		admission.Resize(start.Add(6*time.Second), 11)
		Expect(timely.Verdict).To(Equal(routing.ShedDeadline))
	})

	// Guards against a slot that is given to a request that has left the queue.
	It("removes a waiter that abandons the queue", func() {
		admitted := fill()
		abandoned := arrive(model.Normal)
		Expect(admission.Abandon(abandoned)).To(BeTrue())
		Expect(admission.Release(start, admitted)).To(BeEmpty())
		Expect(admission.Abandon(abandoned)).To(BeFalse())
		Expect(admission.InUse()).To(Equal(9))
	})
})
