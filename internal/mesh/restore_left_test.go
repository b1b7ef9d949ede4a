package mesh_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("a target that left before the store was restored", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v1", "vm3": "v1", "vm4": "v1"})
		f.run(2 * time.Second)
	})
	// leave ends the daemon of the VM, whose last record has the state.
	leave := func(vm, state string) {
		record := mesh.TargetRecord{VM: vm, Incarnation: 1, Sequence: 2, State: state, Domain: "a", Inbound: "10.0.0.1:1", Peer: vm, Service: "order", Version: "v1", Instance: "i", Slots: 10}
		f.put(record.Row())
		f.partitioned[vm] = true
	}
	storedState := func(vm string) string {
		GinkgoHelper()
		record, err := mesh.DecodeTarget(f.stored[mesh.TargetKey(vm)])
		Expect(err).NotTo(HaveOccurred())
		return record.State
	}

	// Guards against daemons that start later and take the target for ready: they
	// send it requests, count its daemon and may choose it as a reader.
	DescribeTable("is not ready for daemons that start later", func(state string) {
		before := f.backup()
		leave("vm3", state)
		leave("vm4", state)
		f.restore(before)
		f.writes = 0
		f.run(4 * time.Second)
		Expect(storedState("vm3")).To(Equal(state))
		Expect(storedState("vm4")).To(Equal(state))
		Expect(f.writes).To(Equal(1), "one daemon writes both rows")
		f.startNode("vm0", 99)
		f.nodes["vm0"].SetConfiguration(configuration(1))
		f.reset("vm0")
		Expect(f.nodes["vm0"].Relay()).To(Equal(f.nodes["vm1"].Relay()))
		Expect(f.nodes["vm0"].DaemonShares()).To(Equal(f.nodes["vm1"].DaemonShares()))
		f.run(4 * time.Second)
		Expect(f.writes).To(Equal(1))
	}, Entry("after it drained", "draining"), Entry("after it was gone", "gone"))

	// Guards against a write of many rows that exceeds the entries of a transaction, which
	// the store refuses each time.
	It("has its row written when more targets left than one write holds", func() {
		versions := map[string]string{}
		var left []string
		for i := range 62 {
			vm := fmt.Sprintf("vm%d", i)
			versions[vm] = "v1"
			if i >= 2 {
				left = append(left, vm)
			}
		}
		f = newFleet(versions)
		f.run(2 * time.Second)
		before := f.backup()
		for _, vm := range left {
			leave(vm, "gone")
		}
		f.restore(before)
		f.run(6 * time.Second)
		for _, vm := range left {
			Expect(storedState(vm)).To(Equal("gone"), vm)
		}
	})

	// Guards against a daemon that takes it for ready until the row is written again.
	It("is known to a daemon that asks others at its start", func() {
		before := f.backup()
		leave("vm4", "gone")
		f.restore(before)
		known := f.nodes["vm1"].KnownRows(f.now)
		f.startNode("vm0", 99)
		Expect(f.nodes["vm0"].ApplyKnown(f.now, nil, known)).To(BeEmpty())
		f.reset("vm0")
		Expect(f.nodes["vm0"].Daemons()).To(Equal(4))
	})

	// Guards against writes of rows whose daemon runs, and against the state of a
	// target that is ready again.
	It("has its row written only by its own daemon while that runs", func() {
		before := f.backup()
		leave("vm4", "draining")
		delete(f.partitioned, "vm4")
		f.restore(before)
		again := mesh.TargetRecord{VM: "vm4", Era: f.era, Incarnation: 2, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "vm4", Service: "order", Version: "v1", Instance: "j", Slots: 10}
		f.run(time.Second)
		f.put(again.Row())
		f.writes = 0
		f.run(5 * time.Second)
		Expect(f.writes).To(BeZero())
		Expect(storedState("vm4")).To(Equal("ready"))
	})

	// Guards against writes by all daemons at once when the store shows an older row
	// without a restore, long after its era began.
	It("has its row written only by its own daemon without a restore", func() {
		before := f.backup()
		f.restore(before)
		f.run(10 * time.Second)
		record := mesh.TargetRecord{VM: "vm4", Era: f.era, Incarnation: 1, Sequence: 3, State: "draining", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "order", Version: "v1", Slots: 10}
		for vm, n := range f.nodes {
			n.MergeTarget(f.now, &record)
			f.reset(vm)
		}
		f.writes = 0
		f.run(5 * time.Second)
		Expect(f.writes).To(BeZero())
	})

	// Guards against writes by all daemons at once when the row arrives long after
	// the restore.
	It("is written once when its row in the store is found late", func() {
		before := f.backup()
		leave("vm4", "gone")
		f.restore(before)
		for _, n := range f.nodes {
			n.SetStoreUnavailable(true)
		}
		f.run(10 * time.Second)
		for vm, n := range f.nodes {
			n.SetStoreUnavailable(false)
			f.reset(vm)
		}
		f.writes = 0
		f.tick("vm0", false)
		f.tick("vm1", false)
		Expect(f.writes).To(BeZero(), "the daemons take turns")
		f.run(4 * time.Second)
		Expect(f.writes).To(Equal(1))
		Expect(storedState("vm4")).To(Equal("gone"))
	})

	// Guards against more than one row in a write that fails as a whole each time,
	// because one of the rows has changed.
	It("is written again although the row of another one has changed", func() {
		before := f.backup()
		leave("vm3", "gone")
		leave("vm4", "gone")
		f.restore(before)
		again := mesh.TargetRecord{VM: "vm3", Era: f.era, Incarnation: 2, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "vm3", Service: "order", Version: "v1", Instance: "j", Slots: 10}
		row := again.Row()
		f.version++
		row.Version = f.version
		f.stored[row.Key] = row
		f.run(6 * time.Second)
		Expect(storedState("vm4")).To(Equal("gone"))
		Expect(storedState("vm3")).To(Equal("ready"))
	})

	// Guards against a write that exceeds the store's bound for one call.
	It("is written with at most 47 others", func() {
		n := mesh.NewNode(mesh.Self{VM: "vm0"})
		var ready, left []rows.Row
		for i := range 100 {
			record := mesh.TargetRecord{VM: fmt.Sprintf("old%d", i), Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2"}
			row := record.Row()
			row.Version = rows.Version(1, uint64(i+1))
			ready = append(ready, row)
			record.Sequence, record.State = 2, "gone"
			row = record.Row()
			row.Version = uint64(200 + i)
			left = append(left, row)
		}
		Expect(n.Reset(start, left)).To(BeEmpty())
		n.SetEra(start, 1)
		Expect(n.Reset(start, ready)).To(BeEmpty())
		commits, _ := n.Tick(start.Add(time.Minute), 0, false, nil, false)
		Expect(n.KnownRows(start)).To(HaveLen(48))
		Expect(commits).To(HaveLen(1))
		Expect(commits[0].Transaction.Writes).To(HaveLen(48))
		commits[0].Done(start.Add(time.Minute), rows.Version(1, 500), nil)
		commits, _ = n.Tick(start.Add(time.Minute), 0, false, nil, false)
		Expect(commits).To(HaveLen(1))
		Expect(commits[0].Transaction.Writes).To(HaveLen(48))
	})
})
