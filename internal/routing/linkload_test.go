package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// slowLink is the rate of a link of 10 Mbit/s in bytes per second.
const slowLink = 1_250_000

// The load is uploads of 60 kB among VMs with links of 10 Mbit/s, and short
// requests at the same time.
var _ = Describe("the load of a VM's link", func() {
	body := int64(60_000)
	wait := func(received int) time.Duration {
		l := routing.NewLinkLoad(slowLink)
		for range 50 {
			l.ObserveBody(body)
		}
		l.EstimateWait(start)
		l.AddReceived(received)
		return l.EstimateWait(start.Add(time.Second))
	}

	// Guards against a wait that is the same for an idle and a full link.
	It("grows faster than the utilization of the link", func() {
		idle, half, most := wait(0), wait(slowLink/2), wait(slowLink*9/10)
		Expect(idle).To(BeZero())
		// A body takes 48 ms; at a utilization of 0.5 the mean wait is half of that.
		Expect(half).To(BeNumerically("~", 24*time.Millisecond, 2*time.Millisecond))
		Expect(most).To(BeNumerically(">", 8*half))
	})

	// Guards against an unbounded wait when the measured utilization exceeds 1.
	It("is bounded when more bytes are received than the link can carry", func() {
		Expect(wait(3 * slowLink)).To(Equal(wait(2 * slowLink)))
		Expect(wait(3 * slowLink)).To(BeNumerically("<", time.Second))
	})

	// Guards against senders that all start to send long bodies at once, because
	// none of the bodies has been received yet.
	It("counts the bodies that are reserved and not yet received", func() {
		l := routing.NewLinkLoad(slowLink)
		for range 5 {
			l.ReserveBody(body)
		}
		Expect(l.EstimateWait(start)).To(Equal(240 * time.Millisecond))
		l.ReleaseBody(body)
		Expect(l.EstimateWait(start)).To(Equal(192 * time.Millisecond))
	})

	It("is zero before the first body", func() {
		l := routing.NewLinkLoad(slowLink)
		l.AddSent(slowLink)
		Expect(l.EstimateWait(start.Add(time.Second))).To(BeZero())
	})

	// Guards against uploads that all go to the fastest targets, whose links
	// are then full: in scenario scale-1 of lipa-reorder-grown, the checks that
	// waited behind the uploads missed their deadlines.
	It("sends long bodies to a slower target when the link of the fast one is busy, and short bodies to the fast one", func() {
		state := model.NewState()
		state.Services["order"] = &model.Service{Name: "order", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}}
		state.Routes["all"] = &model.Route{Name: "all", PathPrefix: "/", Service: "order"}
		config := &routing.Config{State: state}
		for _, vm := range []string{"fast", "slow"} {
			e := endpoint(vm, "v1", "a")
			e.Target.LinkRate = slowLink
			config.Endpoints = append(config.Endpoints, e)
		}
		config.Endpoints[1].Target.LinkRate = 10 * slowLink
		route := routing.NewTable(config, routing.NewTargets()).Match("", "/")
		fast, slow := route.Service.Versions[0].Targets[0], route.Service.Versions[0].Targets[1]
		place := func(vm string, bytes int64) string {
			choose := routing.NewChooser("a", vm, rand.New(rand.NewPCG(1, 2)))
			target := choose.Cheapest(start, route.Service.Versions[0], nil, routing.Placement{Bytes: bytes, Objective: time.Second})
			return target.Endpoint.VM
		}
		for _, t := range []*routing.Target{fast, slow} {
			t.ReportLoad(start, 0.3)
		}
		fast.ReportPace(100*time.Millisecond, 0)
		slow.ReportPace(140*time.Millisecond, 0)
		Expect(place("other", 1000)).To(Equal("fast"))
		Expect(place("other", body)).To(Equal("slow"))
		Expect(place("fast", body)).To(Equal("fast"), "a target on the sender's VM is reached without the link")
		fast.ReportLink(80 * time.Millisecond)
		Expect(place("other", 1000)).To(Equal("slow"), "short requests wait behind long bodies")
	})
})

var _ = Describe("a preview of admission", func() {
	// Guards against a body that is sent to a target that will shed it, and
	// against previews that use slots or places in the queue.
	It("returns the verdict and does not change the queue", func() {
		a := routing.NewAdmission(1)
		request := func(patience time.Duration) *routing.Waiter {
			return &routing.Waiter{Class: model.Normal, Kind: "upload", Patience: patience, Deadline: start.Add(time.Hour), Objective: start.Add(time.Minute)}
		}
		Expect(a.Preview(start, request(-1))).To(Equal(routing.Admitted))
		Expect(a.InUse()).To(BeZero())
		first := request(-1)
		a.Arrive(start, first)
		a.Release(start.Add(100*time.Millisecond), first)
		a.Arrive(start, request(-1))
		Expect(a.Preview(start, request(5*time.Millisecond))).To(Equal(routing.ShedBusy))
		Expect(a.Preview(start, request(-1))).To(Equal(routing.Waiting))
		Expect(a.Queued()).To(BeZero())
	})
})
