package mesh_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("rows after a restore of the store", func() {
	var n *mesh.Node
	record := func(vm string, era, incarnation, sequence uint64, state string) *mesh.TargetRecord {
		return &mesh.TargetRecord{VM: vm, Era: era, Incarnation: incarnation, Sequence: sequence, State: state, Inbound: "10.0.0.1:1", Service: "order", Version: "v1", Slots: 10, ColdMS: 1000}
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
