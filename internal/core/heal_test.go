package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/member"
)

// readyMembers counts the ready members in the daemon's endpoint table.
func (d *fakeDaemon) readyMembers() int {
	ready := 0
	for _, v := range d.node.View().Members {
		if v.State == member.Ready.String() {
			ready++
		}
	}
	return ready
}

// reattachTime partitions two domains from the others, heals the partition and
// returns the time from the return of the first member until all members are
// ready at the controller.
func reattachTime(seed uint64) time.Duration {
	m := newMesh(seed)
	m.addDaemons(4, 2)
	m.run(8 * time.Second)
	side := func(d *fakeDaemon) bool { return d.domain == "domain-2" || d.domain == "domain-3" }
	here := side(m.controller())
	m.partitioned = func(a, b *fakeDaemon) bool { return side(a) != side(b) }
	m.cutFromPlatform = func(d *fakeDaemon) bool { return side(d) != here }
	m.run(11 * time.Second)
	m.partitioned = func(*fakeDaemon, *fakeDaemon) bool { return false }
	m.cutFromPlatform = func(*fakeDaemon) bool { return false }
	var first time.Time
	for range 200 {
		ready := m.controller().readyMembers()
		if ready > 4 && first.IsZero() {
			first = m.now
		}
		if ready == len(m.daemons) {
			return m.now.Sub(first)
		}
		m.run(core.TickInterval)
	}
	return time.Minute
}

// Guards against members that stay lost for seconds after a partition although
// their subtree has reattached: a move would be taken back for lack of targets.
var _ = It("marks all members behind a healed partition ready as soon as the first of them is attached", func() {
	for seed := range uint64(40) {
		Expect(reattachTime(seed+1)).To(BeNumerically("<=", 500*time.Millisecond), "seed %d", seed+1)
	}
})
