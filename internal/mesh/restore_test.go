package mesh_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("moves after a restore of the store", func() {
	const within = 15 * time.Second
	var f *fleet
	var before backup
	BeforeEach(func() {
		f = newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
		f.samplesOf = traffic(0)
		// With v2 ordered, only v1 may become the baseline.
		f.run(time.Second)
		f.put(rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v1"}`)})
		before = f.backup()
	})
	shares := func(vm string) map[string]uint32 { return f.nodes[vm].Routing().State.Services["order"].Shares }
	expectNoMove := func(baseline string) {
		GinkgoHelper()
		for vm, n := range f.nodes {
			order, _ := n.OpenMove("order")
			Expect(order).To(BeZero(), vm)
			Expect(shares(vm)).To(HaveKey(baseline), vm)
		}
	}

	// Guards against a finished or taken-back move that starts again when its order
	// is written again, and whose status operators no longer find.
	DescribeTable("keep their result", func(failing float64, status mesh.StatusState, result, baseline string) {
		f.samplesOf = traffic(failing)
		f.orderMove("v2", within)
		f.run(20 * time.Second)
		Expect(f.states()[len(f.states())-1]).To(Equal(status))
		f.restore(before)
		f.statuses, f.writes = nil, 0
		f.run(2 * time.Second)
		Expect(f.writes).To(Equal(1), "one daemon writes the lost rows")
		Expect(f.states()).To(Equal([]mesh.StatusState{status}))
		Expect(f.moveRow().Result).To(Equal(result))
		expectNoMove(baseline)
		f.version++
		for _, n := range f.nodes {
			Expect(n.SetOrder(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: f.version})).To(BeFalse(), "the order is known")
		}
		f.run(20 * time.Second)
		Expect(f.states()).To(Equal([]mesh.StatusState{status}))
		expectNoMove(baseline)

		f.startNode("vm0", 99)
		f.nodes["vm0"].SetConfiguration(configuration(1))
		f.reset("vm0")
		f.nodes["vm0"].SetOrder(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: f.version})
		f.run(5 * time.Second)
		Expect(f.states()).To(Equal([]mesh.StatusState{status}), "a daemon that starts later knows the result too")
		expectNoMove(baseline)

		f.samplesOf = traffic(0)
		f.orderMove("v2", within)
		f.run(time.Second)
		Expect(f.states()).To(HaveLen(2), "a later order of the same era starts a move")
	},
		Entry("that finished", 0.0, mesh.StatusDone, "done", "v2"),
		Entry("that were taken back", 0.9, mesh.StatusTakenBack, "taken-back", "v1"),
	)

	// Guards against a move that stops or starts again because its record and its
	// order are lost.
	It("go on under the same leader", func() {
		f.orderMove("v2", within)
		f.run(5 * time.Second)
		record := f.moveRow()
		f.restore(before)
		f.statuses = nil
		f.run(time.Second)
		Expect(f.states()).To(Equal([]mesh.StatusState{mesh.StatusRunning}))
		f.orderMove("v2", within)
		f.run(14 * time.Second)
		Expect(f.states()).To(Equal([]mesh.StatusState{mesh.StatusRunning, mesh.StatusDone}))
		Expect(f.moveRow().Epoch).To(Equal(record.Epoch))
		Expect(f.moveRow().Leader).To(Equal(record.Leader))
		expectNoMove("v2")
	})

	// Guards against another daemon that takes over before the leader has noticed the
	// restore, and collects the evidence anew: a move missed its finish time by 3 s.
	It("go on under the same leader after an outage", func() {
		f.orderMove("v2", within)
		f.run(5 * time.Second)
		record := f.moveRow()
		f.storeDown = true
		for _, n := range f.nodes {
			n.SetStoreUnavailable(true)
		}
		f.run(2 * time.Second)
		f.storeDown = false
		f.partitioned[record.Leader] = true
		f.restore(before)
		for _, n := range f.nodes {
			n.SetStoreUnavailable(false)
		}
		f.run(300 * time.Millisecond)
		delete(f.partitioned, record.Leader)
		f.reset(record.Leader)
		f.orderMove("v2", within)
		f.run(7 * time.Second)
		Expect(f.moveRow().Leader).To(Equal(record.Leader))
		Expect(f.moveRow().Epoch).To(Equal(record.Epoch))
		Expect(f.states()[len(f.states())-1]).To(Equal(mesh.StatusDone))
	})

	// Guards against a move that stops because its leader fails together with the
	// store.
	It("go on under another leader when the leader is lost as well", func() {
		f.orderMove("v2", within)
		f.run(5 * time.Second)
		leader := leaderOf(f)
		f.partitioned[leader] = true
		f.restore(before)
		f.orderMove("v2", within)
		f.run(18 * time.Second)
		Expect(leaderOf(f)).NotTo(Equal(leader))
		Expect(f.states()[len(f.states())-1]).To(Equal(mesh.StatusDone))
	})

	// Guards against an order in the backup that undoes the later one, which is
	// written again only after it was read.
	It("do not follow an order of the backup that a later one has replaced", func() {
		first := f.orderMove("v2", within)
		f.run(20 * time.Second)
		before = f.backup()
		f.orderMove("v1", within)
		f.run(20 * time.Second)
		f.restore(before)
		f.statuses = nil
		for _, n := range f.nodes {
			Expect(n.SetOrder(mesh.Order{Service: "order", Version: "v2", Within: within, Revision: rows.Version(f.era, first)})).To(BeFalse())
		}
		f.run(5 * time.Second)
		expectNoMove("v1")
		f.orderMove("v1", within)
		f.run(20 * time.Second)
		expectNoMove("v1")
		Expect(f.states()).NotTo(ContainElement(mesh.StatusRunning))
		f.orderMove("v2", within)
		f.run(20 * time.Second)
		expectNoMove("v2")
	})

	// Guards against a result that is lost because a second restore follows before
	// or after the rows were written again.
	DescribeTable("keep their result after two restores", func(between time.Duration) {
		f.orderMove("v2", within)
		f.run(20 * time.Second)
		f.restore(before)
		f.run(between)
		f.restore(before)
		f.run(2 * time.Second)
		Expect(f.moveRow().Result).To(Equal("done"))
		f.orderMove("v2", within)
		f.statuses = nil
		f.run(5 * time.Second)
		Expect(f.states()).To(BeEmpty())
		expectNoMove("v2")
	}, Entry("in a row", time.Duration(0)), Entry("two seconds apart", 2*time.Second))
})

var _ = Describe("rows after a restore of the store", func() {
	var n *mesh.Node
	record := func(vm string, era, incarnation, sequence uint64, state string) *mesh.TargetRecord {
		return &mesh.TargetRecord{VM: vm, Era: era, Incarnation: incarnation, Sequence: sequence, State: state, Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "order", Version: "v1", Slots: 10, ColdMS: 1000}
	}
	row := func(r *mesh.TargetRecord, version uint64) rows.Row {
		row := r.Row()
		row.Version = version
		return row
	}
	states := func() map[string]string {
		all := map[string]string{}
		for _, e := range n.Routing().Endpoints {
			all[e.VM] = e.State.String()
		}
		return all
	}
	BeforeEach(func() {
		n = mesh.NewNode(mesh.Self{VM: "vm0"})
		n.SetConfiguration(configuration(1))
	})

	// Guards against requests to a target that has left, and against the loss of
	// targets whose rows the backup lacks.
	It("keep what is known of targets", func() {
		left := record("vm1", 0, 3, 1, "ready")
		Expect(n.Reset(start, []rows.Row{row(left, 5), row(record("vm2", 0, 1, 1, "ready"), 6), row(record("vm3", 0, 1, 1, "ready"), 7)})).To(BeEmpty())
		Expect(n.ApplyChanges(start, []rows.Change{{Row: row(record("vm1", 0, 3, 2, "gone"), 8)}})).To(BeEmpty())
		restored := []rows.Row{row(left, rows.Version(1, 5)), row(record("vm2", 0, 1, 1, "ready"), rows.Version(1, 6))}
		for range 2 {
			n.SetEra(start, 1)
			Expect(n.Reset(start.Add(time.Hour), restored)).To(BeEmpty())
			Expect(states()).To(Equal(map[string]string{"vm1": "gone", "vm2": "ready", "vm3": "ready"}))
		}
		again := row(record("vm2", 0, 1, 1, "ready"), rows.Version(2, 6))
		Expect(n.ApplyChanges(start.Add(time.Hour), []rows.Change{{Row: again}})).To(BeEmpty())
		for _, e := range n.Routing().Endpoints {
			Expect(e.Target.WarmAt).To(Equal(start.Add(time.Second)), "a row that is read again does not make its target cold")
		}
	})

	// Guards against a baseline that stays lost, and against writes of it by all
	// daemons at the same time.
	DescribeTable("are written again by one daemon after the other", func(daemons int) {
		targets := map[string]string{}
		for i := range daemons {
			targets[fmt.Sprintf("vm%d", i)] = "v1"
		}
		f := newFleet(targets)
		before := f.backup()
		f.run(4 * time.Second)
		key := rows.Key{Table: mesh.Table, Name: "baseline/order"}
		Expect(f.stored).To(HaveKey(key))
		f.restore(before)
		commits := func(after time.Duration) int {
			count := 0
			for _, vm := range f.vms {
				written, _ := f.nodes[vm].Tick(f.now.Add(after), after, true, nil, false)
				count += len(written)
			}
			return count
		}
		Expect(commits(0)).To(Equal(1))
		Expect(commits(100 * time.Millisecond)).To(BeZero())
		Expect(commits(200*time.Millisecond)).To(Equal(1), "the next daemon writes, because it has no result of the first write")
		f.restore(before)
		f.run(time.Second)
		Expect(string(f.stored[key].Value)).To(ContainSubstring(`"v1"`))
	}, Entry(nil, 3), Entry(nil, 100))

	// Guards against a daemon that continues from the incarnation in the backup, so
	// that other daemons take its new row for an older one.
	It("accept the row of a daemon that has restarted since", func() {
		Expect(n.Reset(start, []rows.Row{row(record("vm1", 0, 7, 4, "ready"), 5)})).To(BeEmpty())
		n.SetEra(start, 1)
		Expect(n.ApplyChanges(start, []rows.Change{{Row: row(record("vm1", 1, 4, 1, "draining"), rows.Version(1, 2))}})).To(BeEmpty())
		Expect(states()).To(Equal(map[string]string{"vm1": "draining"}))
	})

	// Guards against requests that crash targets again because their crash counts
	// went back to those in the backup.
	It("keep crash counts", func() {
		crash := func(count string, version uint64) rows.Row {
			return rows.Row{Key: rows.Key{Table: mesh.Table, Name: "crash/7"}, Value: []byte(`{"count":` + count + `}`), Version: version}
		}
		Expect(n.Reset(start, []rows.Row{crash("3", 9)})).To(BeEmpty())
		n.SetEra(start, 1)
		Expect(n.Reset(start, []rows.Row{crash("1", rows.Version(1, 2))})).To(BeEmpty())
		Expect(n.CrashCounts()).To(Equal(map[uint64]uint32{7: 3}))
	})
})
