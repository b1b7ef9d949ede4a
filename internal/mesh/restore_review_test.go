package mesh_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

var _ = Describe("a daemon that was cut off when the store was restored", func() {
	const within = 15 * time.Second

	// Guards against requests to a version that was taken back, because a former
	// leader that missed the result writes its older record again first.
	DescribeTable("does not undo the result of a move that it led before", func(failing float64, after time.Duration, result, baseline string) {
		f := newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
		f.run(time.Second)
		f.samplesOf = traffic(0)
		f.run(3 * time.Second)
		before := f.backup()
		f.orderMove("v2", within)
		f.run(3 * time.Second)
		former := leaderOf(f)
		f.partitioned[former] = true
		f.samplesOf = func(vm string, order uint64, permille uint32) []move.Sample {
			if vm == former {
				return nil
			}
			return traffic(failing)(vm, order, permille)
		}
		f.run(after)
		Expect(leaderOf(f)).NotTo(Equal(former))
		Expect(f.moveRow().Result).To(Equal(result))
		delete(f.partitioned, former)
		f.restore(before)
		f.tick(former, false)
		for vm, n := range f.nodes {
			if order, _ := n.OpenMove("order"); order != 0 && vm != former && result == "taken-back" {
				Expect(n.Routing().Braked[order]).To(BeTrue(), "%s sends requests to v2 again", vm)
			}
		}
		f.run(2 * time.Second)
		Expect(f.moveRow().Result).To(Equal(result))
		for vm, n := range f.nodes {
			order, _ := n.OpenMove("order")
			Expect(order).To(BeZero(), vm)
			Expect(n.Routing().State.Services["order"].Shares).To(HaveKey(baseline), vm)
		}
	},
		Entry("that was taken back", 0.9, 8*time.Second, "taken-back", "v1"),
		Entry("that finished", 0.0, 25*time.Second, "done", "v2"),
	)
})
