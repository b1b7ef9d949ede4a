package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

// events are what makes endpoints change, in the order in which they are measured.
var events = []struct {
	name string
	act  func(m *mesh)
}{
	{"restart of a leaf", func(m *mesh) { m.replace(m.leaf()) }},
	{"restart of a relay", func(m *mesh) { m.replace(m.relay()) }},
	{"herd restart of a domain", func(m *mesh) { m.killDomain(m.daemons[m.relay()].domain) }},
	{"cut between regions of 40 s", func(m *mesh) {
		m.cut = func(a, b *fakeDaemon) bool { return a.region() != b.region() }
		m.run(40 * time.Second)
		m.cut = func(*fakeDaemon, *fakeDaemon) bool { return false }
		m.run(settled)
	}},
}

// BenchmarkControlBytes prints what each event costs at two sizes:
//
//	go test ./internal/core -run '^$' -bench ControlBytes -benchtime 1x
func BenchmarkControlBytes(b *testing.B) {
	RegisterTestingT(b)
	for _, n := range []int{100, 490} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				m := measuredMesh(n)
				for _, e := range events {
					measured := m.measure(func() { e.act(m) })
					b.Logf("%d daemons, %s: %s", n, e.name, measured.report(n))
				}
			}
		})
	}
}

// Guards against tables that are sent twice or to daemons that hold them, and
// against news that carry addresses which the receivers know. Before entries
// were short, a newcomer received 11.9 kB, the busiest daemon of a relay's
// restart 28.5 kB and that of a herd restart 46.5 kB.
var _ = It("sends few bytes when daemons restart", func() {
	const n = 100
	m := measuredMesh(n)
	limits := []struct{ mean, busiest int }{{240, 2600}, {650, 5000}, {3000, 12_000}, {4500, 10_000}}
	for i, e := range events {
		measured := m.measure(func() { e.act(m) })
		_, busiest := measured.busiest()
		Expect(measured.total()/n).To(BeNumerically("<=", limits[i].mean), e.name)
		Expect(busiest).To(BeNumerically("<=", limits[i].busiest), e.name)
	}
	Expect(m.faults).To(BeEmpty())
	for _, d := range m.daemons {
		Expect(d.config.Endpoints).To(HaveLen(n), d.name)
	}
})

// Guards against the delay of a new child without a target being applied to a
// daemon whose live entry it replaces: proxies would go on sending requests to
// a target that died, and against a child that is never passed on.
var _ = It("passes on at once that a daemon is back without its target, and a new daemon within seconds", func() {
	m := newMesh(1)
	m.grid(3, 8)
	m.run(8 * time.Second)
	crashed, watcher := m.daemons[m.leaf()], m.controller()
	crashed.announce(member.Target{Service: "orders", Version: "v1", Slots: 10})
	m.run(time.Second)
	serving := ContainElement(And(HaveField("VM", crashed.name), HaveField("Target.Service", "orders")))
	Expect(watcher.config.Endpoints).To(serving)
	crashed.kill()
	crashed.start()
	m.run(time.Second)
	Expect(watcher.config.Endpoints).NotTo(serving)
	added := m.add("vm-new", "domain-1")
	m.run(5 * time.Second)
	for _, d := range m.daemons {
		Expect(d.config.Endpoints).To(ContainElement(HaveField("VM", added.name)), d.name)
	}
})
