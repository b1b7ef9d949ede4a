package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// split partitions the old controller's domain, which continues without the
// platform, from the other domains, where a new controller takes over and a
// ticket is accepted. Daemons for which joins returns true are on the old
// controller's side. Then the platform fails for all daemons. split returns a
// daemon of the other side.
func (m *mesh) split(old *fakeDaemon, joins func(d *fakeDaemon) bool) *fakeDaemon {
	GinkgoHelper()
	here := func(d *fakeDaemon) bool { return d.domain == old.domain || joins(d) }
	m.partitioned = func(a, b *fakeDaemon) bool { return here(a) != here(b) }
	m.cutFromPlatform = here
	m.run(8 * time.Second)
	var other *fakeDaemon
	for _, d := range m.daemons {
		if d.domain != old.domain && !d.node.View().IsController {
			other = d
		}
	}
	Expect(m.submit(other, 2, ticket(2)).Err).NotTo(HaveOccurred())
	m.run(2 * time.Second)
	Expect(other.servedRevision).To(Equal(uint64(2)))
	Expect(old.servedRevision).To(Equal(uint64(1)))
	m.table.down = true
	return other
}

// Guards against a controller that has not detected its replacement and proves
// its old revision to a daemon that has served a newer one.
var _ = Describe("a daemon that restarts in an outage on the other side of a partition", func() {
	var m *mesh

	BeforeEach(func() {
		m = newMesh(1)
		m.addDaemons(3, 8)
		m.run(8 * time.Second)
		Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(time.Second)
	})

	It("does not serve the revision that a replaced controller reports as the newest", func() {
		var moved *fakeDaemon
		old := m.controller()
		d := m.split(old, func(d *fakeDaemon) bool { return d == moved })
		d.kill()
		moved = d
		for _, other := range m.daemons {
			if other.domain == old.domain {
				d.seeds = append(d.seeds, other.name)
			}
		}
		d.start()
		m.run(20 * time.Second)
		Expect(fault.KindOf(d.node.Ready())).To(Equal(fault.NotReady))
		Expect(m.violations).To(BeEmpty())
		m.partitioned = func(*fakeDaemon, *fakeDaemon) bool { return false }
		m.cutFromPlatform = func(*fakeDaemon) bool { return false }
		m.table.down = false
		m.run(20 * time.Second)
		Expect(d.node.Ready()).To(Succeed())
		m.expectRevision(2)
	})

	It("serves after a planned restart of a whole domain, if every other domain is reachable", func() {
		m.table.down = true
		side := m.daemons[0].domain
		if side == m.controller().domain {
			side = m.daemons[1].domain
		}
		for _, d := range m.daemons {
			if d.domain == side {
				d.kill()
				d.seeds = []string{m.controller().name}
				d.start()
			}
		}
		m.run(25 * time.Second)
		for _, d := range m.daemons {
			Expect(d.node.Ready()).To(Succeed(), d.name)
		}
		m.expectRevision(1)
	})

	It("serves the newest revision once the partition has healed, although the platform is still down", func() {
		old := m.controller()
		m.split(old, func(*fakeDaemon) bool { return false })
		m.run(60 * time.Second)
		m.partitioned = func(*fakeDaemon, *fakeDaemon) bool { return false }
		m.run(15 * time.Second)
		m.expectRevision(2)
		Expect(old.node.View().IsController).To(BeFalse())
	})
})
