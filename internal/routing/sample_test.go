package routing_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// countedSource counts the numbers that are drawn from it.
type countedSource struct {
	rand.Source
	drawn int
}

func (s *countedSource) Uint64() uint64 {
	s.drawn++
	return s.Source.Uint64()
}

// versionWithTargets returns a version with n targets, divided evenly among five
// domains. VMs are named after their domains, as on the users' platform.
func versionWithTargets(n int) *routing.Version {
	state := model.NewState()
	state.Services["order"] = &model.Service{Name: "order", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}}
	state.Routes["all"] = &model.Route{Name: "all", PathPrefix: "/", Service: "order"}
	config := &routing.Config{State: state}
	for i := range n {
		domain := string(rune('a' + i*5/n))
		config.Endpoints = append(config.Endpoints, endpoint(fmt.Sprintf("%s-%04d", domain, i), "v1", domain))
	}
	return routing.NewTable(config, routing.NewTargets()).Service("order").Versions[0]
}

var _ = Describe("the sample of targets", func() {
	const requests = 10_000
	inOwnDomain := func(drawn []*routing.Target) int {
		count := 0
		for _, t := range drawn {
			if t.Endpoint.Domain == "c" {
				count++
			}
		}
		return count
	}

	// Guards against a cost per request that grows with the mesh: at 295 VMs,
	// each request compared 243 targets.
	DescribeTable("does not grow with the number of targets", func(n int) {
		source := &countedSource{Source: rand.NewPCG(1, 2)}
		random, version := rand.New(source), versionWithTargets(n)
		for range requests {
			Expect(len(routing.Sample(random, version, "c", nil))).To(BeNumerically("<=", routing.PlacementCandidates))
		}
		Expect(source.drawn).To(BeNumerically("<=", 2*(routing.PlacementCandidates+routing.SameDomainCandidates)*requests))
	}, Entry(nil, 30), Entry(nil, 300), Entry(nil, 1000))

	// Guards against a sample of consecutive targets in the order of names, which
	// are all in one random domain: with five domains, four of five requests left
	// their own domain while targets there were idle.
	It("contains targets of the caller's domain and of others for every request", func() {
		random, version := rand.New(rand.NewPCG(1, 2)), versionWithTargets(300)
		samplesByVM := map[string]int{}
		for range requests {
			drawn := routing.Sample(random, version, "c", nil)
			Expect(inOwnDomain(drawn)).To(BeNumerically(">=", routing.SameDomainCandidates))
			Expect(inOwnDomain(drawn)).To(BeNumerically("<", len(drawn)))
			distinct := map[*routing.Target]bool{}
			for _, t := range drawn {
				distinct[t] = true
				samplesByVM[t.Endpoint.VM]++
			}
			Expect(distinct).To(HaveLen(len(drawn)))
		}
		Expect(samplesByVM).To(HaveLen(300), "each target is compared sometimes")
	})

	// Guards against one target that gets all requests before any target has
	// reported its load.
	It("returns a small set of targets in random order", func() {
		random, version := rand.New(rand.NewPCG(1, 2)), versionWithTargets(4)
		first := map[string]int{}
		for range requests {
			first[routing.Sample(random, version, "c", nil)[0].Endpoint.VM]++
		}
		for vm, count := range first {
			Expect(count).To(BeNumerically("~", requests/4, requests/20), vm)
		}
		Expect(first).To(HaveLen(4))
	})

	// Guards against a request that is sent again to the target that refused it.
	It("leaves out the targets that were tried", func() {
		random, version := rand.New(rand.NewPCG(1, 2)), versionWithTargets(20)
		tried := version.Targets[4:10]
		for range requests {
			for _, t := range routing.Sample(random, version, "c", tried) {
				Expect(tried).NotTo(ContainElement(t))
			}
		}
	})
})
