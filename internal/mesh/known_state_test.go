package mesh_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("a daemon that starts after a restore and knows what others know", func() {
	const within = 15 * time.Second
	var f *fleet
	// startWith starts vm0 again with the knowledge of vm1, while no other daemon
	// reaches the store.
	startWith := func(order mesh.Order) {
		GinkgoHelper()
		known, orders := f.nodes["vm1"].KnownRows(f.now), f.nodes["vm1"].KnownOrders()
		f.startNode("vm0", 99)
		f.nodes["vm0"].SetConfiguration(configuration(1))
		Expect(f.nodes["vm0"].ApplyKnown(f.now, orders, known)).To(BeEmpty())
		f.reset("vm0")
		f.nodes["vm0"].SetOrder(order)
		f.statuses = nil
		for range 50 {
			f.tick("vm0", false)
			f.now = f.now.Add(mesh.TickInterval)
		}
	}
	BeforeEach(func() {
		f = newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
		f.samplesOf = traffic(0)
		f.run(time.Second)
		f.put(rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v1"}`)})
	})
	cutOff := func() {
		for _, vm := range f.vms[1:] {
			f.partitioned[vm] = true
		}
	}

	// Guards against an ended move that starts again because the daemon takes its
	// order for a new one.
	DescribeTable("does not start an ended move again", func(failing float64, result, baseline string) {
		before := f.backup()
		f.samplesOf = traffic(failing)
		f.orderMove("v2", within)
		f.run(20 * time.Second)
		cutOff()
		f.restore(before)
		f.version++
		startWith(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: f.version})
		Expect(f.states()).NotTo(ContainElement(mesh.StatusRunning))
		Expect(f.moveRow().Result).To(Equal(result), "the daemon writes the result again")
		Expect(f.nodes["vm0"].Routing().State.Services["order"].Shares).To(HaveKey(baseline))
	}, Entry("that finished", 0.0, "done", "v2"), Entry("that was taken back", 0.9, "taken-back", "v1"))

	// Guards against an order of the backup that undoes the later one.
	It("does not follow an order of the backup that a later one has replaced", func() {
		first := f.orderMove("v2", within)
		f.run(20 * time.Second)
		before := f.backup()
		f.orderMove("v1", within)
		f.run(20 * time.Second)
		cutOff()
		f.restore(before)
		startWith(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: rows.Version(f.era, first)})
		Expect(f.states()).NotTo(ContainElement(mesh.StatusRunning))
		Expect(f.nodes["vm0"].Routing().State.Services["order"].Shares).To(HaveKey("v1"))
	})

	// Guards against rows of the new era that count as older than those of a daemon
	// that has not noticed the restore.
	It("follows the store where it is newer", func() {
		before := f.backup()
		f.orderMove("v2", within)
		f.run(20 * time.Second)
		cutOff()
		f.restore(before)
		f.put(rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v3","era":1}`)})
		startWith(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: rows.Version(f.era, before.version)})
		Expect(f.nodes["vm0"].Routing().State.Services["order"].Shares).To(HaveKey("v3"))
	})

	// Guards against crash counts that the daemon does not have until the next crash.
	It("knows the crash counts that the backup lacks", func() {
		before := f.backup()
		f.put(rows.Row{Key: rows.Key{Table: mesh.Table, Name: "crash/2a"}, Value: []byte(`{"count":3}`)})
		cutOff()
		f.restore(before)
		startWith(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: rows.Version(f.era, before.version)})
		Expect(f.nodes["vm0"].CrashCounts()).To(HaveKeyWithValue(uint64(0x2a), uint32(3)))
	})
})
