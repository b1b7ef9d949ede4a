package sidecar

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("the row of the target after a restore of the store", func() {
	var d *Daemon
	BeforeEach(func() {
		d = New(Config{VM: "a", Service: "s", Store: newRestoredStore(), Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
	})

	// Guards against a row that stays lost because it was written before the first
	// list of the mesh table, as at a first start.
	It("is missing when it was written before the first list", func() {
		record := &mesh.TargetRecord{VM: "a", Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2"}
		d.targetRow.recordWritten(record, rows.Version(0, 8))
		d.enterEra(time.Now(), rows.Version(1, 3))
		Expect(d.targetRow.stored).To(BeNil())
	})
})

var _ = Describe("a daemon that starts while the store is away", func() {
	// Guards against a target that other daemons never take for ready, because the
	// record of its daemon's earlier start has a later era.
	It("publishes a record that replaces the one of its earlier start", func() {
		d := New(Config{VM: "a", Service: "s", Store: newRestoredStore(), Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
		earlier := &mesh.TargetRecord{VM: "a", Era: 1, Incarnation: 7, Sequence: 3, State: "gone", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "s", Version: "v1", Slots: 1}
		row := earlier.Row()
		row.Version = rows.Version(1, 9)
		newRows := toWireRows([]rows.Row{row})
		d.meshLoaded = true
		d.tables.mesh.merge(fromWireRows(newRows))
		d.node.ApplyChanges(time.Now(), []rows.Change{{Row: row}})
		w := d.targetRow
		w.observe(row)
		d.target.state = member.Ready
		d.target.current.Service, d.target.current.Version = "s", "v1"
		w.update()
		own := w.desiredRecord()
		Expect(own.State).To(Equal("ready"))
		Expect(own.Incarnation).To(BeNumerically(">", earlier.Incarnation))
		other := mesh.NewNode(mesh.Self{VM: "b"})
		Expect(other.ApplyChanges(time.Now(), []rows.Change{{Row: row}})).To(BeEmpty())
		other.MergeTarget(time.Now(), own)
		Expect(other.Daemons()).To(Equal(1))
		Expect(other.DaemonShares()).To(HaveKey("s"), "the other daemon takes the target for ready")
	})
})

var _ = Describe("a list that is older than the rows from another reader", func() {
	// Guards against rows that daemons never get from this reader: the older list
	// removed them, while the copy still counted as complete.
	It("removes no rows from the copy that other daemons are served", func() {
		store := newRestoredStore()
		d := New(Config{VM: "a", Store: store, Operators: versionedOperators{}, Inbound: "10.0.0.1:1", Logger: logging.Discard().Component("test")})
		record := &mesh.TargetRecord{VM: "b", Era: 1, Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2"}
		row := record.Row()
		row.Version = rows.Version(1, 5)
		d.tables.mesh.merge([]rows.Row{row})
		d.tables.mesh.advance(rows.Version(1, 6))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.run(ctx)
		go d.meshFollower().run(ctx, true)
		Eventually(store.meshWatches.Load, specTimeout).Should(BeNumerically(">=", 1))
		var served []rows.Row
		var complete uint64
		d.loop.call(func(time.Time) {
			served, complete = d.tables.mesh.rowsAfter(rows.Version(0, 9)), d.completeDigest().Mesh.Version
		})
		if complete >= row.Version {
			Expect(served).To(HaveLen(1), "the copy is complete up to version %d", rows.Counter(complete))
		}
	})
})
