package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

var _ = Describe("search", func() {
	const objective = 400 * time.Millisecond
	var chooser *routing.Chooser
	var route, split *routing.Route
	var targets map[string]*routing.Target

	newSearch := func() *routing.Search {
		return &routing.Search{Route: route, Placement: routing.Placement{Kind: "look", Objective: objective}}
	}
	report := func(vm string, load float64) {
		t := targets[vm]
		t.ReportLoad(start, load)
		t.ReportPace(100*time.Millisecond, 0)
		t.ReportKindPace(start, "look", 100*time.Millisecond)
	}
	BeforeEach(func() {
		chooser = newChooser("near")
		state := model.NewState()
		for _, name := range []string{"order", "other"} {
			state.Services[name] = &model.Service{Name: name, Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}}
		}
		state.Routes["all"] = &model.Route{Name: "all", PathPrefix: "/", Service: "order"}
		state.Routes["split"] = &model.Route{Name: "split", PathPrefix: "/split", Service: "order", Split: []model.Weight{
			{Service: "order", Weight: 90}, {Service: "other", Weight: 10},
		}}
		config := &routing.Config{State: state}
		for _, vm := range []string{"near", "far-1", "far-2", "far-3", "far-4"} {
			config.Endpoints = append(config.Endpoints, endpoint(vm, "v1", vm))
		}
		other := endpoint("other", "v1", "near")
		other.Target.Service = "other"
		config.Endpoints = append(config.Endpoints, other)
		registry := routing.NewTargets()
		table := routing.NewTable(config, registry)
		route, split = table.Match("", "/"), table.Match("", "/split")
		targets = map[string]*routing.Target{}
		for _, name := range []string{"order", "other"} {
			for _, t := range table.Service(name).Versions[0].Targets {
				targets[t.Endpoint.VM] = t
			}
		}
	})

	// play sends the request until the search ends, with a busy refusal of every
	// target, and returns the VMs and the accepted waits.
	play := func(s *routing.Search) (vms []string, waits []time.Duration) {
		var tried []*routing.Target
		choice, ok := s.First(start, chooser)
		for ok {
			vms, waits = append(vms, choice.Target.Endpoint.VM), append(waits, s.MaxWait())
			tried = append(tried, choice.Target)
			choice, ok = s.Next(start, chooser, choice, tried, true)
		}
		return vms, waits
	}

	// Guards against a request that is refused although the target that it did not
	// ask has a free slot, and against messages to targets that are known to be full.
	It("queues at a full target and then asks those that may have a slot", func() {
		report("near", 1.1)
		report("far-1", 2.5)
		report("far-2", 2.5)
		report("far-3", 2.5)
		vms, waits := play(newSearch())
		Expect(vms).To(Equal([]string{"near", "far-4"}))
		Expect(waits[0]).To(Equal(routing.UnboundedWait))
		Expect(waits[1]).To(BeNumerically("<", 10*time.Millisecond))
	})

	// Guards against the messages of one refused request, which grew with the
	// number of targets.
	It("asks three targets for a slot and queues at one at most", func() {
		vms, waits := play(newSearch())
		Expect(vms).To(HaveLen(4))
		Expect(waits[3]).To(Equal(routing.UnboundedWait))
	})

	// Guards against requests that leave their failure domain for a wait of a few
	// milliseconds.
	It("waits longer for a target of the own failure domain", func() {
		report("near", 0.5)
		vms, waits := play(newSearch())
		Expect(vms[0]).To(Equal("near"))
		Expect(waits[0]).To(BeNumerically(">=", 50*time.Millisecond))
		Expect(waits[1]).To(BeNumerically("<", 10*time.Millisecond))
	})

	// Guards against late requests that wait for so long that their callers cannot
	// come back.
	It("queues a late request for a short time only", func() {
		for _, vm := range []string{"near", "far-1", "far-2", "far-3", "far-4"} {
			report(vm, 1.2)
		}
		late := newSearch()
		late.Late = true
		_, waits := play(late)
		Expect(waits).To(HaveLen(1))
		Expect(waits[0]).To(BeNumerically("~", 60*time.Millisecond, 10*time.Millisecond))
	})

	// Guards against shares of a split route that move to another service while one
	// is short of room.
	It("keeps the shares of a split route while a service is full", func() {
		for _, vm := range []string{"near", "far-1", "far-2", "far-3", "far-4"} {
			report(vm, 3)
		}
		report("other", 0)
		const requests = 1000
		first := map[string]int{}
		for range requests {
			s := newSearch()
			s.Route = split
			choice, ok := s.First(start, chooser)
			Expect(ok).To(BeTrue())
			first[choice.Service.Name]++
			next, ok := s.Next(start, chooser, choice, []*routing.Target{choice.Target}, true)
			Expect(!ok || next.Service == choice.Service).To(BeTrue())
		}
		Expect(first["order"]).To(BeNumerically("~", 900, 5))
	})
})
