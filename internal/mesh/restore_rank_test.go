package mesh_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// restoredMesh is a mesh after a restore of the store in which the baseline of a
// service was lost. Rows reach the daemons a time after they are written.
type restoredMesh struct {
	now time.Time
	// nodes holds the daemons that know the baseline. The others write nothing.
	nodes  []*mesh.Node
	stored rows.Row
	// calls counts the writes, and mostPerSecond those of the second with the most.
	calls, mostPerSecond int
	writtenAfter         time.Duration
}

// newRestoredMesh returns a mesh of daemons, of which those for which knows returns
// true know the baseline.
func newRestoredMesh(daemons int, knows func(i int) bool) *restoredMesh {
	GinkgoHelper()
	m := &restoredMesh{now: start}
	var targets, restored []rows.Row
	for i := range daemons {
		record := &mesh.TargetRecord{VM: fmt.Sprintf("vm%d", i), Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: "10.0.0.1:2", Service: "order", Version: "v1", Slots: 10}
		row := record.Row()
		row.Version = uint64(i + 1)
		targets = append(targets, row)
		row.Version = rows.Version(1, row.Version)
		restored = append(restored, row)
	}
	baseline := rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v1"}`), Version: 9999}
	for i := range daemons {
		if !knows(i) {
			continue
		}
		n := mesh.NewNode(mesh.Self{VM: fmt.Sprintf("vm%d", i), Run: uint64(i + 1), Inbound: "10.0.0.1:1"})
		Expect(n.Reset(start, append(slices.Clone(targets), baseline))).To(BeEmpty())
		n.SetEra(start, 1)
		Expect(n.Reset(start, restored)).To(BeEmpty())
		m.nodes = append(m.nodes, n)
	}
	return m
}

// run ticks the daemons until all of them know the written row, which takes the lag.
func (m *restoredMesh) run(lag time.Duration) {
	GinkgoHelper()
	written := false
	version := rows.Version(1, 10000)
	var calls []time.Time
	for end := m.now.Add(time.Minute); m.now.Before(end); m.now = m.now.Add(mesh.TickInterval) {
		if written && m.now.Sub(start) >= m.writtenAfter+lag {
			break
		}
		for _, n := range m.nodes {
			commits, _ := n.Tick(m.now, 0, false, nil, false)
			for _, c := range commits {
				calls = append(calls, m.now)
				if written {
					c.Done(m.now, 0, &rows.ConflictError{Rows: []rows.Row{m.stored}, Cause: fault.New(fault.ConditionFailed, "conflict")})
					continue
				}
				written, m.writtenAfter = true, m.now.Sub(start)
				m.stored = c.Transaction.Writes[0]
				m.stored.Version = version
				c.Done(m.now, version, nil)
			}
		}
	}
	Expect(written).To(BeTrue(), "the row is written again")
	m.calls = len(calls)
	for i, at := range calls {
		count := 0
		for _, other := range calls[i:] {
			if other.Sub(at) < time.Second {
				count++
			}
		}
		m.mostPerSecond = max(m.mostPerSecond, count)
	}
}

var _ = Describe("rows lost in a restore of the store", func() {
	// maxWait bounds the time after which the row is in the store again, and maxCalls
	// the writes per second; a part of the store handles 300 of them.
	const maxWait, maxCalls = 4 * time.Second, 30

	// Guards against a baseline that only one daemon knows and that waits 150 ms for
	// each daemon before it: 44 s at 295 daemons.
	DescribeTable("are written in time by the only daemon that knows them", func(daemons int) {
		var latest time.Duration
		for known := 0; known < daemons; known += max(1, daemons/12) {
			m := newRestoredMesh(daemons, func(i int) bool { return i == known })
			m.run(0)
			Expect(m.calls).To(Equal(1))
			latest = max(latest, m.writtenAfter)
		}
		GinkgoWriter.Println("daemons:", daemons, "latest write after", latest)
		Expect(latest).To(BeNumerically("<=", maxWait))
	}, Entry("of 12", 12), Entry("of 300", 300))

	// Guards against a write by every daemon that knows a row, and against repeated
	// writes of a daemon that does not see the row yet.
	DescribeTable("are written by few daemons while the row spreads", func(daemons, known, most int) {
		m := newRestoredMesh(daemons, func(i int) bool { return i >= daemons-known })
		m.run(1500 * time.Millisecond)
		GinkgoWriter.Println("daemons:", daemons, "know:", known, "written after", m.writtenAfter, "calls", m.calls, "most in a second", m.mostPerSecond)
		Expect(m.calls).To(BeNumerically("<=", most))
		Expect(m.mostPerSecond).To(BeNumerically("<=", maxCalls))
	},
		Entry("all of 12", 12, 12, 12), Entry("all of 300", 300, 300, 12),
		Entry("half of 300", 300, 150, 40), Entry("20 of 300", 300, 20, 20))
})
