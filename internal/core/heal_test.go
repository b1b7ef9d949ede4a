package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/member"
)

// readyMembers counts the members that the daemon knows as ready.
func (d *fakeDaemon) readyMembers() int {
	ready := 0
	for _, v := range d.node.View().Members {
		if v.State == member.Ready.String() {
			ready++
		}
	}
	return ready
}

// returned cuts two domains off, heals the cut and returns how long it takes
// from the return of the first member until the controller knows all as ready.
func returned(seed uint64) time.Duration {
	m := newMesh(seed)
	m.grid(4, 2)
	m.run(8 * time.Second)
	side := func(d *fakeDaemon) bool { return d.domain == "domain-2" || d.domain == "domain-3" }
	here := side(m.controller())
	m.cut = func(a, b *fakeDaemon) bool { return side(a) != side(b) }
	m.offPlatform = func(d *fakeDaemon) bool { return side(d) != here }
	m.run(11 * time.Second)
	m.cut = func(*fakeDaemon, *fakeDaemon) bool { return false }
	m.offPlatform = func(*fakeDaemon) bool { return false }
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

// Guards against members that stay lost for seconds after a cut although their
// subtree is attached again: a move would be taken back for want of targets.
var _ = It("knows all members behind a healed cut as soon as the first of them is attached", func() {
	for seed := range uint64(40) {
		Expect(returned(seed+1)).To(BeNumerically("<=", 500*time.Millisecond), "seed %d", seed+1)
	}
})
