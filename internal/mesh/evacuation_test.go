package mesh_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
)

var _ = Describe("an evacuated failure domain", func() {
	var n *mesh.Node
	record := func(vm, domain string) *mesh.TargetRecord {
		return &mesh.TargetRecord{VM: vm, Incarnation: 1, Sequence: 1, State: "ready", Domain: domain, Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "order", Version: "v1", Slots: 4}
	}
	targets := func() (vms []string) {
		for _, e := range n.Routing().Endpoints {
			vms = append(vms, e.VM)
		}
		return vms
	}
	BeforeEach(func() {
		n = mesh.NewNode(mesh.Self{VM: "vm0"})
		n.SetConfiguration(configuration(1))
		n.MergeTarget(start, record("vm1", "a"))
		n.MergeTarget(start, record("vm2", "b"))
	})

	// Guards against requests that are sent to the targets of an evacuated domain.
	It("has no targets in the routing configuration until the row is removed", func() {
		Expect(targets()).To(Equal([]string{"vm1", "vm2"}))
		Expect(n.AddEvacuation(mesh.Evacuation{Domain: "b", Version: 4})).To(BeTrue())
		Expect(n.RoutingChanged()).To(BeTrue())
		Expect(targets()).To(Equal([]string{"vm1"}))
		n.MergeTarget(start, record("vm3", "b"))
		Expect(targets()).To(Equal([]string{"vm1"}), "a target that announces itself later is left out, too")
		Expect(n.RemoveEvacuation("b", 5)).To(BeTrue())
		Expect(n.RoutingChanged()).To(BeTrue())
		Expect(targets()).To(Equal([]string{"vm1", "vm2", "vm3"}))
	})

	// Guards against an evacuation that stays because the daemon learns of the removal
	// only from a list or from a reader that never knew the row.
	It("is in service again once a complete set lacks the row", func() {
		n.AddEvacuation(mesh.Evacuation{Domain: "b", Version: 4})
		Expect(n.MergeEvacuations(&mesh.Evacuations{Complete: 3})).To(BeFalse(), "the set is older than the row")
		Expect(targets()).To(Equal([]string{"vm1"}))
		Expect(n.MergeEvacuations(&mesh.Evacuations{Complete: 9})).To(BeTrue())
		Expect(targets()).To(Equal([]string{"vm1", "vm2"}))
	})

	// Guards against a daemon that missed the removal and brings the row back.
	It("is not evacuated again by an old copy of the removed row", func() {
		n.AddEvacuation(mesh.Evacuation{Domain: "b", Version: 4})
		n.RemoveEvacuation("b", 5)
		n.AdvanceEvacuations(5)
		old := mesh.Evacuations{Complete: 4, Rows: []mesh.Evacuation{{Domain: "b", Version: 4}}}
		Expect(n.AddEvacuation(old.Rows[0])).To(BeFalse())
		Expect(n.MergeEvacuations(&old)).To(BeFalse())
		Expect(n.MissesRemoval(&old)).To(BeTrue())
		Expect(n.Evacuated("b")).To(BeFalse())
		Expect(n.AddEvacuation(mesh.Evacuation{Domain: "b", Version: 6})).To(BeTrue(), "the row was written again")
	})

	// Guards against messages that fill the memory or contain unprintable names.
	It("is not learned from an invalid message", func() {
		tooMany := mesh.Evacuations{Complete: 1, Rows: make([]mesh.Evacuation, 257)}
		Expect(fault.Is(tooMany.Validate(), fault.Invalid)).To(BeTrue())
		unprintable := mesh.Evacuations{Complete: 1, Rows: []mesh.Evacuation{{Domain: "a\n", Version: 1}}}
		Expect(fault.Is(unprintable.Validate(), fault.Invalid)).To(BeTrue())
		noVersion := mesh.Evacuations{Complete: 1, Rows: []mesh.Evacuation{{Domain: "a"}}}
		Expect(fault.Is(noVersion.Validate(), fault.Invalid)).To(BeTrue())
		Expect((&mesh.Evacuations{Complete: 1, Rows: []mesh.Evacuation{{Domain: "a", Version: 1}}}).Validate()).To(Succeed())
	})
})

// TestEvacuationsConverge guards against orders of lists, watches, restarts and late
// messages between daemons after which an ended evacuation stays or comes back, or an
// evacuation is lost.
func TestEvacuationsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := uint64(1)
		states := []map[string]uint64{{}, {}}
		nodes := make([]*mesh.Node, 4)
		for i := range nodes {
			nodes[i] = mesh.NewNode(mesh.Self{VM: string(rune('a' + i))})
		}
		set := func(complete uint64) *mesh.Evacuations {
			s := &mesh.Evacuations{Complete: complete}
			for domain, v := range states[complete] {
				s.Rows = append(s.Rows, mesh.Evacuation{Domain: domain, Version: v})
			}
			return s
		}
		var inTransit []mesh.Evacuations
		domain := func() string { return rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain") }
		node := func() int { return rapid.IntRange(0, len(nodes)-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) {
				version++
				next := maps.Clone(states[version-1])
				next[domain()] = version
				states = append(states, next)
			},
			"remove": func(*rapid.T) {
				version++
				next := maps.Clone(states[version-1])
				delete(next, domain())
				states = append(states, next)
			},
			"list": func(*rapid.T) { nodes[node()].MergeEvacuations(set(version)) },
			"watch": func(*rapid.T) {
				n := nodes[node()]
				complete := n.Evacuations().Complete
				if complete == 0 {
					return
				}
				for v := complete + 1; v <= version; v++ {
					for d, rowVersion := range states[v] {
						if rowVersion == v {
							n.AddEvacuation(mesh.Evacuation{Domain: d, Version: v})
						}
					}
					for d := range states[v-1] {
						if _, kept := states[v][d]; !kept {
							n.RemoveEvacuation(d, v)
						}
					}
					n.AdvanceEvacuations(v)
				}
			},
			"send":    func(*rapid.T) { inTransit = append(inTransit, nodes[node()].Evacuations()) },
			"restart": func(*rapid.T) { nodes[node()] = mesh.NewNode(mesh.Self{VM: "r"}) },
			"receive": func(*rapid.T) {
				if len(inTransit) == 0 {
					return
				}
				// A message may arrive late and more than once.
				m := rapid.SampledFrom(inTransit).Draw(t, "message")
				nodes[node()].MergeEvacuations(&m)
			},
			"row": func(*rapid.T) {
				if len(inTransit) == 0 {
					return
				}
				if m := rapid.SampledFrom(inTransit).Draw(t, "message"); len(m.Rows) > 0 {
					nodes[node()].AddEvacuation(m.Rows[0])
				}
			},
			"": func(t *rapid.T) {
				for i, n := range nodes {
					known := n.Evacuations()
					for _, row := range known.Rows {
						if row.Version <= known.Complete && states[known.Complete][row.Domain] != row.Version {
							t.Fatalf("node %d keeps the row of %q of version %d, which is not in the store at %d", i, row.Domain, row.Version, known.Complete)
						}
					}
					for d := range states[known.Complete] {
						if !slices.Contains(n.EvacuatedDomains(), d) {
							t.Fatalf("node %d lacks the evacuation of %q, which is in the store at %d", i, d, known.Complete)
						}
					}
				}
			},
		})
		for i, n := range nodes {
			n.MergeEvacuations(set(version))
			if got, want := n.EvacuatedDomains(), slices.Sorted(maps.Keys(states[version])); !slices.Equal(got, want) {
				t.Fatalf("node %d has %v after a list of %v", i, got, want)
			}
		}
	})
}
