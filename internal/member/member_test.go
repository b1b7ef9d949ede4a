package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoint(vm string, incarnation, sequence uint64, state member.State) member.Endpoint {
	return member.Endpoint{VM: vm, Domain: "domain-1", Incarnation: incarnation, Sequence: sequence, State: state}
}

var _ = Describe("the member table", func() {
	var table *member.Table

	BeforeEach(func() {
		table = member.NewTable()
		table.Merge(start, endpoint("a", 2, 5, member.Ready))
	})

	DescribeTable("merges only newer entries, in whatever order updates arrive",
		func(update member.Endpoint, taken bool) {
			Expect(table.Merge(start, update)).To(Equal(taken))
		},
		Entry("an earlier incarnation of the daemon", endpoint("a", 1, 9, member.Ready), false),
		Entry("an earlier sequence", endpoint("a", 2, 4, member.Gone), false),
		Entry("the same entry", endpoint("a", 2, 5, member.Ready), false),
		Entry("a later state of the same sequence", endpoint("a", 2, 5, member.Lost), true),
		Entry("a later sequence", endpoint("a", 2, 6, member.Ready), true),
		Entry("a later incarnation", endpoint("a", 3, 1, member.Ready), true),
	)

	It("keeps the description of a member when a partial entry arrives", func() {
		full := endpoint("a", 2, 6, member.Ready)
		full.PeerAddress, full.InboundAddress = "127.0.0.1:1", "127.0.0.1:2"
		full.Target = member.Target{Service: "orders", Version: "v1"}
		table.Merge(start, full)
		leaving := full
		leaving.Sequence, leaving.State = 7, member.Draining
		sent := &member.Batch{Entries: []member.Endpoint{leaving.ForTransfer()}}
		received, err := member.DecodeBatch(sent.Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(received.Entries[0].InboundAddress).To(BeEmpty())
		table.Merge(start, received.Entries[0])
		Expect(table.Live()).To(Equal([]member.Endpoint{leaving}))
	})

	// Guards against a proxy that sends requests to the target that the member had
	// before its latest change.
	It("does not complete a partial ready entry with a description of another sequence", func() {
		full := endpoint("a", 2, 6, member.Ready)
		full.DescriptionSequence, full.PeerAddress = 6, "127.0.0.1:1"
		table.Merge(start, full)
		again, changed, restarted := full.WithoutDescription(), full.WithoutDescription(), full.WithoutDescription()
		again.Sequence = 8
		changed.Sequence, changed.DescriptionSequence = 8, 7
		restarted.Incarnation = 3
		Expect(table.LacksDescription(&again)).To(BeFalse())
		Expect(table.LacksDescription(&changed)).To(BeTrue())
		Expect(table.LacksDescription(&restarted)).To(BeTrue())
		Expect(member.NewTable().LacksDescription(&again)).To(BeTrue())
	})

	It("ignores a delayed update of a member that left", func() {
		table.Merge(start, endpoint("a", 2, 6, member.Gone))
		Expect(table.Merge(start.Add(time.Minute), endpoint("a", 2, 5, member.Ready))).To(BeFalse())
		Expect(table.Live()).To(BeEmpty())
	})

	It("expires a lost member to gone and later removes it", func() {
		_, changed := table.MarkLost(start, "a")
		Expect(changed).To(BeTrue())
		Expect(table.Expire(start.Add(44*time.Second), 45*time.Second, time.Hour)).To(BeEmpty())
		Expect(table.Expire(start.Add(45*time.Second), 45*time.Second, time.Hour)).To(HaveLen(1))
		table.Expire(start.Add(2*time.Hour), 45*time.Second, time.Hour)
		Expect(table.All()).To(BeEmpty())
	})

	It("returns different digests of a failure domain for different tables", func() {
		other := member.NewTable()
		other.Merge(start, endpoint("a", 2, 5, member.Ready))
		Expect(other.Digests()).To(Equal(table.Digests()))
		other.MarkLost(start, "a")
		Expect(other.Digests()).NotTo(Equal(table.Digests()))
	})
})

var _ = Describe("the relay tree", func() {
	members := func(domains, n int) []member.Endpoint {
		var all []member.Endpoint
		for i := range domains * n {
			all = append(all, member.Endpoint{VM: fmt.Sprintf("vm-%03d", i), Domain: fmt.Sprintf("domain-%d", i%domains), Incarnation: uint64(i)})
		}
		return all
	}

	// Guards against a loop, whose members would receive no updates, and against a
	// tree that is too deep for the convergence time or wide enough to overload a
	// relay.
	It("has no loops, at most 3 hops and a bounded fan-out at 490 daemons", func() {
		all := members(7, 70)
		parents := map[string]string{}
		children := map[string]int{}
		for _, e := range all {
			if best := member.Parents(all, e, "vm-033"); len(best) > 0 {
				parents[e.VM] = best[0].VM
				children[best[0].VM]++
			}
		}
		for vm, n := range children {
			Expect(n).To(BeNumerically("<=", member.FanOut+7), vm)
		}
		for _, e := range all {
			hops := 0
			for vm := e.VM; vm != "vm-033"; vm = parents[vm] {
				hops++
				Expect(hops).To(BeNumerically("<=", 3), e.VM)
			}
		}
	})

	It("keeps the parents of older members when a newer one joins", func() {
		all := members(2, 20)
		before := member.Parents(all, all[30], "vm-000")[0]
		joined := append(all, member.Endpoint{VM: "a-newcomer", Domain: "domain-0", Incarnation: 1000})
		Expect(member.Parents(joined, all[30], "vm-000")[0]).To(Equal(before))
	})

	It("lists alternative parents for a failed relay and a partition from the controller", func() {
		all := members(3, 20)
		var names []string
		for _, p := range member.Parents(all, all[57], "vm-001") {
			names = append(names, p.VM)
		}
		Expect(names).To(Equal([]string{"vm-003", "vm-000", "vm-001", "vm-002"}))
	})
})
