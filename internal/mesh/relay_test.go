package mesh_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
)

var _ = Describe("readers of the store", func() {
	// newNodes returns the nodes of n daemons in three failure domains, each with
	// the records of all. Every tenth VM has a fast link.
	newNodes := func(n int) []*mesh.Node {
		records := make([]*mesh.TargetRecord, n)
		for i := range records {
			records[i] = &mesh.TargetRecord{
				VM: fmt.Sprintf("vm%d", i), Incarnation: 1, Sequence: 1, State: "ready", Domain: fmt.Sprintf("d%d", i%3),
				Inbound: "10.0.0.1:1", Peer: fmt.Sprintf("peer%d", i), LinkRate: 1_250_000,
			}
			if i%10 == 0 {
				records[i].LinkRate *= 20
			}
		}
		var nodes []*mesh.Node
		for i := range n {
			node := mesh.NewNode(mesh.Self{VM: records[i].VM, Domain: records[i].Domain})
			for _, r := range records {
				node.MergeTarget(start, r)
			}
			nodes = append(nodes, node)
		}
		return nodes
	}

	// Guards against store calls that grow with the square of the number of daemons.
	It("are two of each failure domain, with the fastest links", func() {
		readers := map[string]bool{}
		readerSources := map[string]bool{}
		queries := map[string]int{}
		for i, node := range newNodes(81) {
			relay := node.Relay()
			if relay.Reader {
				readers[fmt.Sprintf("peer%d", i)] = true
				Expect(i%10).To(BeZero(), "a reader has a fast link")
				Expect(relay.Sources).To(HaveLen(1))
				readerSources[relay.Sources[0]] = true
				continue
			}
			Expect(relay.Sources).To(HaveLen(2))
			queries[relay.Sources[0]]++
		}
		Expect(readers).To(HaveLen(6))
		Expect(readerSources).To(Equal(readers), "each reader queries another reader")
		Expect(queries).To(HaveLen(6))
		for source, count := range queries {
			Expect(readers).To(HaveKey(source))
			Expect(count).To(BeNumerically("<=", 20))
		}
	})

	// Guards against a small mesh that depends on readers only to save a few calls.
	It("are all daemons of a small mesh", func() {
		for _, node := range newNodes(11) {
			Expect(node.Relay()).To(Equal(mesh.Relay{Reader: true}))
		}
	})

	// Guards against a daemon that queries a reader that is about to stop.
	It("are no longer sources while they drain", func() {
		node := newNodes(81)[7]
		before := node.Relay().Sources
		record := &mesh.TargetRecord{
			VM: "vm" + before[0][len("peer"):], Incarnation: 1, Sequence: 2, State: "draining", Domain: "d1",
			Inbound: "10.0.0.1:1", Peer: before[0], LinkRate: 25_000_000,
		}
		node.MergeTarget(start, record)
		Expect(node.Relay().Sources).NotTo(ContainElement(before[0]))
		Expect(node.Relay().Sources).To(HaveLen(2))
	})
})
