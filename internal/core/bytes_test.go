package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

// endpointChanges are the measured changes, in the order in which they run.
var endpointChanges = []struct {
	name  string
	apply func(m *mesh)
}{
	{"restart of a leaf", func(m *mesh) { m.restartPlanned(m.leafIndex()) }},
	{"restart of a relay", func(m *mesh) { m.restartPlanned(m.relayIndex()) }},
	{"herd restart of a domain", func(m *mesh) { m.restartDomain(m.daemons[m.relayIndex()].domain) }},
	{"cut between regions of 40 s", func(m *mesh) {
		m.partitioned = func(a, b *fakeDaemon) bool { return a.region() != b.region() }
		m.run(40 * time.Second)
		m.partitioned = func(*fakeDaemon, *fakeDaemon) bool { return false }
		m.run(settleTime)
	}},
}

// BenchmarkControlBytes logs the bytes that each change causes at two mesh sizes:
//
//	go test ./internal/core -run '^$' -bench ControlBytes -benchtime 1x
func BenchmarkControlBytes(b *testing.B) {
	RegisterTestingT(b)
	for _, n := range []int{100, 490} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				m := measuredMesh(n)
				for _, e := range endpointChanges {
					measured := m.measure(func() { e.apply(m) })
					b.Logf("%d daemons, %s: %s", n, e.name, measured.report(n))
				}
			}
		})
	}
}

// Guards against endpoint tables that are sent twice or to daemons that already
// have them, and against changes that repeat addresses which the receivers
// already have. Before entries had a short form, a new daemon received 11.9 kB,
// the busiest daemon at the restart of a relay 28.5 kB and at the restart of a
// domain 46.5 kB.
var _ = It("sends few bytes when daemons restart", func() {
	const n = 100
	m := measuredMesh(n)
	limits := []struct{ mean, busiest int }{{240, 2600}, {650, 5000}, {3000, 12_000}, {4500, 10_000}}
	for i, e := range endpointChanges {
		measured := m.measure(func() { e.apply(m) })
		_, busiest := measured.busiest()
		Expect(measured.total()/n).To(BeNumerically("<=", limits[i].mean), e.name)
		Expect(busiest).To(BeNumerically("<=", limits[i].busiest), e.name)
	}
	Expect(m.violations).To(BeEmpty())
	for _, d := range m.daemons {
		Expect(d.config.Endpoints).To(HaveLen(n), d.name)
	}
})

// Guards against two faults of the delay for a new child without a target: the
// delay is applied to a daemon whose live entry the child replaces, so that
// proxies keep sending requests to a target that is gone; or the child is never
// announced.
var _ = It("announces at once that a daemon restarted without its target, and a new daemon within seconds", func() {
	m := newMesh(1)
	m.addDaemons(3, 8)
	m.run(8 * time.Second)
	crashed, observer := m.daemons[m.leafIndex()], m.controller()
	crashed.announceTarget(member.Target{Service: "orders", Version: "v1", Slots: 10})
	m.run(time.Second)
	serving := ContainElement(And(HaveField("VM", crashed.name), HaveField("Target.Service", "orders")))
	Expect(observer.config.Endpoints).To(serving)
	crashed.kill()
	crashed.start()
	m.run(time.Second)
	Expect(observer.config.Endpoints).NotTo(serving)
	added := m.add("vm-new", "domain-1")
	m.run(5 * time.Second)
	for _, d := range m.daemons {
		Expect(d.config.Endpoints).To(ContainElement(HaveField("VM", added.name)), d.name)
	}
})
