package core_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const (
	measuredDomains  = 7
	measuredServices = 86
	// maxDaemonAge bounds the age of daemons: at 130 restarts a day, most of
	// 490 daemons have run for less than this.
	maxDaemonAge = 7 * 24 * time.Hour
	// settleTime is the time within which every daemon has attached to its
	// final parent.
	settleTime = 25 * time.Second
)

// traffic counts the bytes of frames while a test measures.
type traffic struct {
	received map[string]map[string]int
	// crossRegion counts the bytes on links between regions.
	crossRegion int
}

func newTraffic() *traffic { return &traffic{received: map[string]map[string]int{}} }

// frameKind returns the type of a frame and, for endpoints, the purpose for
// which they are sent.
func frameKind(f *wire.Frame) string {
	body := f.GetEndpoints()
	if body == nil {
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", f.GetBody()), "*wire.Frame_"))
	}
	switch b := batchOf(body); {
	case len(b.WantedDescriptions) > 0:
		return "endpoints-wanted"
	case b.Sync:
		return "endpoints-table"
	case b.ClaimsSubtree:
		return "endpoints-claim"
	}
	return "endpoints-changes"
}

func batchOf(body *wire.Endpoints) *member.Batch {
	encoded, err := wire.BatchOf(body)
	Expect(err).NotTo(HaveOccurred())
	b, err := member.DecodeBatch(encoded)
	Expect(err).NotTo(HaveOccurred())
	return b
}

func (t *traffic) count(from, to *fakeDaemon, f *wire.Frame) {
	kinds := t.received[to.name]
	if kinds == nil {
		kinds = map[string]int{}
		t.received[to.name] = kinds
	}
	kinds[frameKind(f)] += wire.Size(f)
	if from.region() != to.region() {
		t.crossRegion += wire.Size(f)
	}
}

func (t *traffic) receivedBy(vm string) int {
	sum := 0
	for _, n := range t.received[vm] {
		sum += n
	}
	return sum
}

// busiest returns the daemon that received the most.
func (t *traffic) busiest() (vm string, bytes int) {
	for _, name := range slices.Sorted(maps.Keys(t.received)) {
		if n := t.receivedBy(name); n > bytes {
			vm, bytes = name, n
		}
	}
	return vm, bytes
}

// bytesByKind returns the bytes of each frame kind, summed over all daemons.
func (t *traffic) bytesByKind() map[string]int {
	sums := map[string]int{}
	for _, bytesByKind := range t.received {
		for kind, n := range bytesByKind {
			sums[kind] += n
		}
	}
	return sums
}

func (t *traffic) total() int {
	sum := 0
	for _, n := range t.bytesByKind() {
		sum += n
	}
	return sum
}

// report formats the mean by kind in bytes per daemon, and the busiest daemon.
func (t *traffic) report(daemons int) string {
	var b strings.Builder
	bytesByKind := t.bytesByKind()
	fmt.Fprintf(&b, "mean %d B:", t.total()/daemons)
	for _, kind := range slices.Sorted(maps.Keys(bytesByKind)) {
		fmt.Fprintf(&b, " %s %.1f", kind, float64(bytesByKind[kind])/float64(daemons))
	}
	vm, bytes := t.busiest()
	fmt.Fprintf(&b, "; busiest %s %d B: %v; between regions %d B", vm, bytes, t.received[vm], t.crossRegion)
	return b.String()
}

// measuredMesh returns a mesh of n daemons with addresses, ages and targets
// like those of the design size.
func measuredMesh(n int) *mesh {
	m := newMesh(1)
	for i := range n {
		m.addAged(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("domain-%d", i%measuredDomains), time.Duration(m.random.Int64N(int64(maxDaemonAge))))
		m.announceTarget(i)
	}
	m.run(settleTime)
	return m
}

func (m *mesh) announceTarget(i int) {
	started := m.now.Add(-time.Duration(m.random.Int64N(int64(time.Second))))
	target := member.Target{Service: fmt.Sprintf("service-%02d", i%measuredServices), Version: "v1", Slots: 10, Connections: 120, Started: started}
	m.daemons[i].announceTarget(target)
}

// measure returns the traffic that f causes.
func (m *mesh) measure(f func()) *traffic {
	m.traffic = newTraffic()
	f()
	measured := m.traffic
	m.traffic = nil
	return measured
}

// leafIndex returns the index of a daemon without children.
func (m *mesh) leafIndex() int {
	return slices.IndexFunc(m.daemons, func(d *fakeDaemon) bool { return d.alive && d.node.View().Children == 0 })
}

// relayIndex returns the index of the first-ranked daemon of a failure domain
// that is not the controller's.
func (m *mesh) relayIndex() int {
	root := m.controller()
	return slices.IndexFunc(m.daemons, func(d *fakeDaemon) bool {
		view := d.node.View()
		return d.domain != root.domain && view.Parent == root.name && view.Children > 0
	})
}

// restartPlanned stops a daemon as planned and starts it again.
func (m *mesh) restartPlanned(i int) {
	d := m.daemons[i]
	d.handle(core.Stop{})
	m.run(2 * time.Second)
	d.handle(core.Leave{})
	m.run(core.TickInterval)
	d.kill()
	m.run(500 * time.Millisecond)
	d.start()
	m.run(time.Second)
	m.announceTarget(i)
	m.run(settleTime)
}

// restartDomain kills all daemons of a failure domain and starts them again.
func (m *mesh) restartDomain(domain string) {
	for _, d := range m.daemons {
		if d.domain == domain {
			d.kill()
		}
	}
	m.run(500 * time.Millisecond)
	for _, d := range m.daemons {
		if d.domain == domain {
			d.start()
		}
	}
	m.run(time.Second)
	for i, d := range m.daemons {
		if d.domain == domain {
			m.announceTarget(i)
		}
	}
	m.run(settleTime)
}
