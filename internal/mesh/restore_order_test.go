package mesh_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/rows"
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

	// Guards against a former leader that goes on from the step in the backup, which
	// is the newest that it knows, after another daemon has ended the move.
	It("does not go on with a move from the backup that has ended since", func() {
		f := newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
		f.run(time.Second)
		f.put(rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v1"}`)})
		f.samplesOf = traffic(0)
		f.orderMove("v2", within)
		f.run(3 * time.Second)
		former, before := leaderOf(f), f.backup()
		f.partitioned[former] = true
		f.samplesOf = func(vm string, order uint64, permille uint32) []move.Sample {
			if vm == former {
				return nil
			}
			return traffic(0.9)(vm, order, permille)
		}
		f.run(8 * time.Second)
		Expect(f.moveRow().Result).To(Equal("taken-back"))
		delete(f.partitioned, former)
		f.restore(before)
		f.samplesOf = traffic(0)
		f.tick(former, false)
		f.run(2 * time.Second)
		for vm, n := range f.nodes {
			order, _ := n.OpenMove("order")
			Expect(order).To(BeZero(), vm)
			Expect(n.Routing().State.Services["order"].Shares).To(HaveKey("v1"), vm)
		}
	})
})

var _ = Describe("rows lost in a restore of the store", func() {
	// Guards against a baseline that goes back to an older one, because a daemon that
	// has not read the newest row writes the one that it knows again first.
	It("are not replaced by older content that a daemon behind writes again", func() {
		f := newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2"})
		before := f.backup()
		baseline := func(version string) rows.Row {
			return rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"` + version + `"}`)}
		}
		f.put(baseline("v1"))
		f.partitioned["vm0"] = true
		f.put(baseline("v2"))
		delete(f.partitioned, "vm0")
		f.restore(before)
		for range 10 {
			f.tick("vm0", false)
			f.now = f.now.Add(mesh.TickInterval)
		}
		f.run(2 * time.Second)
		for vm, n := range f.nodes {
			Expect(n.Routing().State.Services["order"].Shares).To(HaveKey("v2"), vm)
		}
	})

	// Guards against a target that vanishes from a daemon that lists the table after
	// the target's daemon has told it of its row, but before that row is written.
	It("keep a target whose daemon has noticed the restore first", func() {
		n := mesh.NewNode(mesh.Self{VM: "vm0"})
		n.SetConfiguration(configuration(1))
		known := &mesh.TargetRecord{VM: "vm1", Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "order", Version: "v1", Slots: 10}
		row := known.Row()
		row.Version = 5
		Expect(n.Reset(start, []rows.Row{row})).To(BeEmpty())
		again := *known
		again.Era = 1
		n.MergeTarget(start, &again)
		n.SetEra(start, 1)
		Expect(n.Reset(start, nil)).To(BeEmpty())
		Expect(n.Routing().Endpoints).To(HaveLen(1))
	})

	// Guards against a cold target that counts as warm, because its daemon restarted
	// from the backup with an incarnation that an earlier target had.
	It("do not make a new target warm", func() {
		n := mesh.NewNode(mesh.Self{VM: "vm0"})
		n.SetConfiguration(configuration(1))
		record := mesh.TargetRecord{VM: "vm1", Incarnation: 7, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "order", Version: "v1", Slots: 10}
		row := record.Row()
		row.Version = 5
		Expect(n.Reset(start, []rows.Row{row})).To(BeEmpty())
		record.Era, record.ColdMS = 1, 1000
		row = record.Row()
		row.Version = rows.Version(1, 4)
		n.SetEra(start.Add(time.Hour), 1)
		Expect(n.Reset(start.Add(time.Hour), []rows.Row{row})).To(BeEmpty())
		Expect(n.Routing().Endpoints[0].Target.WarmAt).To(Equal(start.Add(time.Hour + time.Second)))
	})
})

var _ = Describe("an order in the backup", func() {
	const within = 15 * time.Second

	// Guards against a move back to an older version, led by a daemon that started
	// after the later order and so never read the order in the backup.
	It("is not followed by a daemon that knows only the later order", func() {
		f := newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
		f.samplesOf = traffic(0)
		f.run(time.Second)
		f.put(rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v2"}`)})
		first := f.orderMove("v1", within)
		f.run(20 * time.Second)
		before := f.backup()
		second := f.orderMove("v2", within)
		f.run(20 * time.Second)
		f.startNode("vm0", 99)
		f.nodes["vm0"].SetConfiguration(configuration(1))
		f.reset("vm0")
		f.nodes["vm0"].SetOrder(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: second})
		f.restore(before)
		f.statuses = nil
		for _, n := range f.nodes {
			n.SetOrder(mesh.Order{Service: "order", Version: "v1", Within: within, Revision: rows.Version(f.era, first)})
		}
		f.run(5 * time.Second)
		Expect(f.states()).NotTo(ContainElement(mesh.StatusRunning))
		for vm, n := range f.nodes {
			Expect(n.Routing().State.Services["order"].Shares).To(HaveKey("v2"), vm)
		}
	})
})

var _ = Describe("a daemon that starts right after a restore of the store", func() {
	const within = 15 * time.Second

	// Guards against a taken-back version that gets requests again, because a daemon
	// that knows no record starts its move before the others write the record again.
	It("does not start a move that was taken back", func() {
		f := newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
		f.run(time.Second)
		f.put(rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v1"}`)})
		before := f.backup()
		f.samplesOf = traffic(0.9)
		f.orderMove("v2", within)
		f.run(20 * time.Second)
		Expect(f.moveRow().Result).To(Equal("taken-back"))
		f.restore(before)
		for i, vm := range f.vms[:2] {
			f.startNode(vm, uint64(100+i))
			f.nodes[vm].SetConfiguration(configuration(1))
			f.reset(vm)
		}
		f.samplesOf, f.statuses = traffic(0), nil
		f.orderMove("v2", within)
		for range 4 {
			for _, vm := range f.vms[:2] {
				f.tick(vm, false)
			}
			f.now = f.now.Add(mesh.TickInterval)
		}
		f.run(2 * time.Second)
		Expect(f.states()).NotTo(ContainElement(mesh.StatusRunning))
		for vm, n := range f.nodes {
			order, _ := n.OpenMove("order")
			Expect(order).To(BeZero(), vm)
		}
	})
})
