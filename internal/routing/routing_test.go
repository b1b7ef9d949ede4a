package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

var _ = Describe("route match", func() {
	var table *routing.Table
	BeforeEach(func() {
		state := model.NewState()
		state.Services["order"] = &model.Service{Name: "order", Versions: []string{"v1"}}
		for _, r := range []model.Route{
			{Name: "any", PathPrefix: "/"},
			{Name: "orders", PathPrefix: "/order"},
			{Name: "new", PathPrefix: "/order/new"},
			{Name: "shop", Host: "Shop.example", PathPrefix: "/order"},
			{Name: "lost", PathPrefix: "/lost", Service: "missing"},
		} {
			if r.Service == "" {
				r.Service = "order"
			}
			state.Routes[r.Name] = &r
		}
		table = routing.NewTable(&routing.Config{State: state}, routing.NewTargets())
	})

	// Guards against a request that is sent to another service's route.
	DescribeTable("matches by host and longest prefix", func(host, path, route string) {
		Expect(table.Match(host, path).Name).To(Equal(route))
	},
		Entry("longest prefix", "x", "/order/new/1", "new"),
		Entry("whole segments only", "x", "/orders", "any"),
		Entry("a host's route goes first", "shop.example", "/order/new", "shop"),
		Entry("the port and the case of the host are ignored", "SHOP.example:80", "/order", "shop"),
		Entry("another path of that host", "shop.example", "/x", "any"),
		Entry("a route to a missing service is left out", "x", "/lost", "any"),
	)
})

var _ = Describe("version choice", func() {
	var config *routing.Config
	BeforeEach(func() {
		all := append(endpoints("v1", 4), endpoints("v2", 4)...)
		config = &routing.Config{State: stateWithMove(), Endpoints: all}
	})

	// Guards against more traffic to an unproved version than its share.
	It("follows the share and the focus of the step", func() {
		config.Steps = steps(50, 1)
		vms, versions := countChoices(config, "a", start)
		Expect(versions["v2"]).To(BeNumerically("~", draws*0.05, draws*0.01))
		fromNew := 0
		for _, e := range config.Endpoints[4:] {
			if vms[e.VM] > 0 {
				fromNew++
			}
		}
		Expect(fromNew).To(Equal(1))
	})

	// Guards against an unproved version that gets more than its share by
	// chance: 20 000 random draws may be off by a hundred.
	It("keeps a version's share within a few requests", func() {
		config.Steps = steps(50, 0)
		_, versions := countChoices(config, "a", start)
		Expect(versions["v2"]).To(BeNumerically("~", draws*0.05, 2))
	})

	// Guards against daemons that spread a version over different targets.
	It("chooses the same focus for any order of the endpoints", func() {
		config.Steps = steps(50, 2)
		first, _ := countChoices(config, "a", start)
		e := config.Endpoints
		e[4], e[7] = e[7], e[4]
		e[5], e[6] = e[6], e[5]
		second, _ := countChoices(config, "a", start)
		for vm := range first {
			Expect(second).To(HaveKey(vm))
		}
	})

	// Guards against traffic to a version whose brake is set, even when the
	// old version has no target.
	It("sends nothing to a braked version", func() {
		config.Steps = steps(1000, 0)
		config.Braked = map[uint64]bool{2: true}
		_, versions := countChoices(config, "a", start)
		Expect(versions).To(Equal(map[string]int{"v1": draws}))
		config.Endpoints = config.Endpoints[4:]
		_, versions = countChoices(config, "a", start)
		Expect(versions).To(BeEmpty())
	})

	// Guards against failed requests while another version has ready targets.
	It("gives the share of a version without ready targets to the others", func() {
		config.Steps = steps(500, 0)
		for i := range 4 {
			config.Endpoints[i].State = member.Draining
		}
		_, versions := countChoices(config, "a", start)
		Expect(versions).To(Equal(map[string]int{"v2": draws}))
		config.Endpoints = config.Endpoints[:4]
		for i := range 4 {
			config.Endpoints[i].State = member.Ready
		}
		config.Steps = steps(1000, 0)
		_, versions = countChoices(config, "a", start)
		Expect(versions).To(Equal(map[string]int{"v1": draws}), "the old version is the fallback")
	})

	// Guards against an unproved version that gets all the traffic while the old
	// version's targets restart, seen in the integration scenario bad-at-once.
	It("gives a version that is being proved no more than its share", func() {
		config.Steps = steps(50, 0)
		config.Endpoints = config.Endpoints[4:]
		_, versions := countChoices(config, "a", start)
		Expect(versions["v2"]).To(BeNumerically("~", draws*0.05, draws*0.01))
	})

	// Guards against retries that add to the share of a new version.
	It("retries on other targets, and on a new version only after an attempt on it", func() {
		config.Steps = steps(500, 0)
		table := routing.NewTable(config, routing.NewTargets())
		route := table.Match("", "/")
		choose := newChooser("a")
		old := route.Service.Versions[0]
		choice, ok := choose.ChooseRetry(start, route, old, old.Targets[:3])
		Expect(ok).To(BeTrue())
		Expect(choice.Target).To(BeIdenticalTo(old.Targets[3]))
		_, ok = choose.ChooseRetry(start, route, old, old.Targets)
		Expect(ok).To(BeFalse())
		other := route.Service.Versions[1]
		choice, ok = choose.ChooseRetry(start, route, other, other.Targets)
		Expect(ok).To(BeTrue())
		Expect(choice.Version).To(BeIdenticalTo(old))
	})
})

var _ = Describe("target choice", func() {
	// Guards against overload of a busy target while another is idle.
	It("prefers the less busy target, and the caller's domain at equal load", func() {
		config := &routing.Config{State: stateWithMove(), Endpoints: []member.Endpoint{endpoint("near", "v1", "a"), endpoint("far", "v1", "b")}}
		vms, _ := countChoices(config, "a", start)
		Expect(vms).To(Equal(map[string]int{"near": draws}))
		table := routing.NewTable(config, routing.NewTargets())
		route := table.Match("", "/")
		near := route.Service.Versions[0].Targets[0]
		near.Begin()
		choice, _ := newChooser("a").ChooseFirst(start, route)
		Expect(choice.Target.Endpoint.VM).To(Equal("far"))
		near.End()
		near.ReportLoad(start, 0.5)
		choice, _ = newChooser("a").ChooseFirst(start, route)
		Expect(choice.Target.Endpoint.VM).To(Equal("far"))
		choice, _ = newChooser("a").ChooseFirst(start.Add(2*time.Second), route)
		Expect(choice.Target.Endpoint.VM).To(Equal("near"), "an old report is ignored")
	})

	// Guards against a cold target that is overloaded right after its start.
	It("raises the traffic of a cold target over ten seconds", func() {
		cold := endpoint("cold", "v1", "a")
		cold.Target.Started = start
		config := &routing.Config{State: stateWithMove(), Endpoints: []member.Endpoint{cold, endpoint("warm", "v1", "b")}}
		fraction := func(age time.Duration) float64 {
			vms, _ := countChoices(config, "a", start.Add(age))
			return float64(vms["cold"]) / draws
		}
		Expect(fraction(0)).To(BeNumerically("~", 0.1, 0.02))
		Expect(fraction(5 * time.Second)).To(BeNumerically("~", 0.5, 0.03))
		Expect(fraction(10 * time.Second)).To(Equal(1.0))
	})

	// Guards against requests to targets that are down, and against a fault at
	// the daemon that ejects every target.
	It("ejects targets that refuse connections, but at most half of them", func() {
		config := &routing.Config{State: stateWithMove(), Endpoints: endpoints("v1", 4)}
		targets := routing.NewTargets()
		table := routing.NewTable(config, targets)
		route := table.Match("", "/")
		refusedTargets := route.Service.Versions[0].Targets
		chosenVMs := func(now time.Time) map[string]bool {
			vms := map[string]bool{}
			choose := newChooser("a")
			for range 1000 {
				choice, _ := choose.ChooseFirst(now, route)
				vms[choice.Target.Endpoint.VM] = true
			}
			return vms
		}
		refusedTargets[0].ConnectionRefused(start)
		refusedTargets[1].ConnectionRefused(start)
		Expect(chosenVMs(start)).To(HaveLen(2))
		Expect(chosenVMs(start.Add(time.Second))).To(HaveLen(4))
		refusedTargets[2].ConnectionRefused(start)
		Expect(chosenVMs(start)).To(HaveLen(4))
		rebuilt := routing.NewTable(config, targets).Match("", "/").Service.Versions[0].Targets
		Expect(rebuilt[0].Ejected(start)).To(BeTrue(), "ejection survives a new configuration")
		rebuilt[0].Connected()
		Expect(rebuilt[0].Ejected(start)).To(BeFalse())
	})

	// Guards against requests that keep failing on a partitioned network that
	// accepts connections and then breaks them.
	It("ejects targets whose connections break twice in a row", func() {
		table := routing.NewTable(&routing.Config{State: stateWithMove(), Endpoints: endpoints("v1", 1)}, routing.NewTargets())
		target := table.Match("", "/").Service.Versions[0].Targets[0]
		target.ConnectionBroken(start)
		target.Connected()
		target.ConnectionBroken(start)
		Expect(target.Ejected(start)).To(BeFalse())
		target.ConnectionBroken(start)
		Expect(target.Ejected(start)).To(BeTrue())
	})
})

var _ = Describe("retry budget", func() {
	// Guards against retries that multiply the load of a failing service.
	It("allows a tenth of the requests, and three per second at least", func() {
		budget := routing.NewBudget(routing.DefaultBudgetLimits(routing.DefaultRetryPercent))
		allowed := func(now time.Time) int {
			n := 0
			for budget.TryRetry(now) {
				n++
			}
			return n
		}
		Expect(allowed(start)).To(Equal(3))
		for range 200 {
			budget.CountRequest(start.Add(time.Second))
		}
		Expect(allowed(start.Add(time.Second))).To(Equal(20))
		Expect(allowed(start.Add(2*time.Second))).To(Equal(20), "the requests of the previous second count")
		Expect(allowed(start.Add(9 * time.Second))).To(Equal(3))
	})
})

var _ = Describe("strikes", func() {
	// Guards against a crashing request that is sent to target after target.
	It("quarantines at two crashes for ten minutes", func() {
		strikes := routing.NewStrikes()
		strikes.Add(start, 7)
		Expect(strikes.Quarantined(start, 7)).To(BeFalse())
		strikes.Add(start, 7)
		Expect(strikes.Quarantined(start, 7)).To(BeTrue())
		Expect(strikes.Quarantined(start, 8)).To(BeFalse())
		Expect(strikes.Quarantined(start.Add(routing.QuarantineTime), 7)).To(BeFalse())
		Expect(strikes.Any()).To(BeFalse())
	})

	// Guards against one crash that is counted twice, by its own daemon and
	// by the mesh.
	It("uses the higher of the local and the mesh's count", func() {
		strikes := routing.NewStrikes()
		strikes.Add(start, 7)
		strikes.SetShared(map[uint64]uint32{7: 1})
		Expect(strikes.Quarantined(start, 7)).To(BeFalse())
		strikes.SetShared(map[uint64]uint32{7: 2})
		Expect(strikes.Quarantined(start, 7)).To(BeTrue())
	})

	// Guards against memory that grows with every crash.
	It("counts a bounded number of fingerprints", func() {
		strikes := routing.NewStrikes()
		for i := range uint64(5000) {
			strikes.Add(start.Add(time.Duration(i)), i)
			strikes.Add(start.Add(time.Duration(i)), i)
		}
		Expect(strikes.Quarantined(start, 4999)).To(BeTrue())
		Expect(strikes.Quarantined(start, 0)).To(BeFalse())
	})
})
