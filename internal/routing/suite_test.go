package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var start = time.Unix(1_700_000_000, 0)

// endpoint returns a ready target of the order service.
func endpoint(vm, version, domain string) member.Endpoint {
	return member.Endpoint{
		VM: vm, Incarnation: 1, State: member.Ready, Domain: domain, InboundAddress: vm + ":1",
		Target: member.Target{Service: "order", Version: version, Slots: 10, Connections: 110},
	}
}

func endpoints(version string, n int) []member.Endpoint {
	var all []member.Endpoint
	for i := range n {
		all = append(all, endpoint(fmt.Sprintf("%s-%d", version, i), version, "a"))
	}
	return all
}

// stateWithMove returns a state in which ticket 2 moves the order service from
// v1 to v2.
func stateWithMove() *model.State {
	state := model.NewState()
	old := model.Service{Name: "order", Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}}
	target := model.Service{Name: "order", Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": 100}}
	first := &model.Ticket{
		Number: 1, Services: []model.Service{old},
		Routes: []model.Route{{Name: "all", PathPrefix: "/", Service: "order", Class: model.Normal}},
	}
	second := &model.Ticket{
		Number: 2, Services: []model.Service{target},
		Moves: []model.Move{{Service: "order", Finish: start.Add(time.Hour), Prefer: model.OnTime}},
	}
	for i, ticket := range []*model.Ticket{first, second} {
		next, err := state.Apply(&model.Record{Revision: uint64(i + 1), At: start, Ticket: ticket})
		Expect(err).NotTo(HaveOccurred())
		state = next
	}
	return state
}

func steps(permille, focus uint32) map[uint64]move.Step {
	return map[uint64]move.Step{2: {Ticket: 2, Epoch: 1, Number: 1, Permille: permille, Focus: focus}}
}

func newChooser(domain string) *routing.Chooser {
	return routing.NewChooser(domain, "", rand.New(rand.NewPCG(1, 2)))
}

const draws = 20_000

// countChoices counts the targets of first attempts by VM and by version.
func countChoices(c *routing.Config, domain string, now time.Time) (map[string]int, map[string]int) {
	table := routing.NewTable(c, routing.NewTargets())
	choose := newChooser(domain)
	vms, versions := map[string]int{}, map[string]int{}
	for range draws {
		choice, ok := choose.ChooseFirst(now, table.Match("", "/"))
		if !ok {
			continue
		}
		vms[choice.Target.Endpoint.VM]++
		versions[choice.Version.Name]++
	}
	return vms, versions
}
