package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

const (
	// serviceCalls is the share of one service in the calls of the design size,
	// 120,000 calls/s to 86 services.
	serviceCalls = 120_000 / measuredServices
	// sampleTicks is the interval in ticks at which daemons drain their samples.
	sampleTicks = 5
	moveFinish  = 60 * time.Second
)

// BenchmarkMoveBytes prints what a good move of one service costs while every
// daemon, or one in ten, calls the service:
//
//	go test ./internal/core -run '^$' -bench MoveBytes -benchtime 1x
func BenchmarkMoveBytes(b *testing.B) {
	RegisterTestingT(b)
	for _, n := range []int{100, 490} {
		for _, callers := range []int{n, n / 10} {
			b.Run(fmt.Sprintf("%d/callers-%d", n, callers), func(b *testing.B) {
				for range b.N {
					m := measuredMesh(n)
					lasted := m.moveService(callers)
					b.Logf("%d daemons, %d callers, %s until the outcome: %s", n, callers, lasted, m.traffic.report(n))
				}
			})
		}
	}
}

// moveService moves a service to its second version and returns how long that
// took. Its traffic is counted from the acceptance of the move.
func (m *mesh) moveService(callers int) time.Duration {
	for i := range 4 {
		m.daemons[i].announce(member.Target{Service: "service-1", Version: fmt.Sprintf("v%d", 1+i%2), Slots: 10})
	}
	Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
	m.run(5 * time.Second)
	m.traffic = newTraffic()
	began := m.now
	Expect(m.submit(m.daemons[0], 2, moving(2, "service-1", m.now.Add(moveFinish))).Err).NotTo(HaveOccurred())
	for tick := 0; m.now.Sub(began) < 2*moveFinish; tick++ {
		view := m.controller().node.View()
		if len(view.State.Open) == 0 {
			break
		}
		for i := tick % sampleTicks; i < callers; i += sampleTicks {
			m.daemons[i*len(m.daemons)/callers].handle(core.SamplesTaken{Samples: m.callSamples(callers, view.Progress[2])})
		}
		m.run(core.TickInterval)
	}
	lasted := m.now.Sub(began)
	m.run(time.Second)
	Expect(m.table.items).To(HaveKey(core.OutcomeKey(2)))
	return lasted.Round(core.TickInterval)
}

// callSamples returns what one caller sees between two drains.
func (m *mesh) callSamples(callers int, permille uint32) []move.Sample {
	var seen [2]move.Sample
	for v := range seen {
		seen[v].Key = move.SampleKey{Ticket: 2, Route: "service-1", Service: "service-1", New: v == 1}
	}
	calls := float64(serviceCalls) * (sampleTicks * core.TickInterval).Seconds() / float64(callers)
	for calls > m.random.Float64() {
		calls--
		v := 0
		if m.random.Uint32N(move.FullProgress) < permille {
			v = 1
		}
		seen[v].Requests++
		seen[v].Latency[5+m.random.IntN(4)]++
	}
	var samples []move.Sample
	for _, s := range seen {
		if s.Requests > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}
