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
	// serviceCalls is the load of one service in calls/s: the design size has
	// 120,000 calls/s to 86 services.
	serviceCalls = 120_000 / measuredServices
	// sampleTicks is the interval at which daemons drain their samples, in
	// ticks.
	sampleTicks = 5
	moveFinish  = 60 * time.Second
)

// BenchmarkMoveBytes logs the bytes that a successful move of one service causes
// while every daemon, or one in ten, calls the service:
//
//	go test ./internal/core -run '^$' -bench MoveBytes -benchtime 1x
func BenchmarkMoveBytes(b *testing.B) {
	RegisterTestingT(b)
	for _, n := range []int{100, 490} {
		for _, callers := range []int{n, n / 10} {
			b.Run(fmt.Sprintf("%d/callers-%d", n, callers), func(b *testing.B) {
				for range b.N {
					m := measuredMesh(n)
					duration := m.moveService(callers)
					b.Logf("%d daemons, %d callers, %s until the outcome: %s", n, callers, duration, m.traffic.report(n))
				}
			})
		}
	}
}

// moveService moves a service to its second version and returns how long that
// took. It counts the traffic from the acceptance of the move.
func (m *mesh) moveService(callers int) time.Duration {
	for i := range 4 {
		m.daemons[i].announceTarget(member.Target{Service: "service-1", Version: fmt.Sprintf("v%d", 1+i%2), Slots: 10})
	}
	Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
	m.run(5 * time.Second)
	m.traffic = newTraffic()
	start := m.now
	Expect(m.submit(m.daemons[0], 2, moveTicket(2, "service-1", m.now.Add(moveFinish))).Err).NotTo(HaveOccurred())
	for tick := 0; m.now.Sub(start) < 2*moveFinish; tick++ {
		view := m.controller().node.View()
		if len(view.State.Open) == 0 {
			break
		}
		for i := tick % sampleTicks; i < callers; i += sampleTicks {
			m.daemons[i*len(m.daemons)/callers].handle(core.SamplesTaken{Samples: m.callSamples(callers, view.Progress[2])})
		}
		m.run(core.TickInterval)
	}
	duration := m.now.Sub(start)
	m.run(time.Second)
	Expect(m.table.items).To(HaveKey(core.OutcomeKey(2)))
	return duration.Round(core.TickInterval)
}

// callSamples returns the samples of one caller between two drains.
func (m *mesh) callSamples(callers int, permille uint32) []move.Sample {
	var byVersion [2]move.Sample
	for v := range byVersion {
		byVersion[v].Key = move.SampleKey{Ticket: 2, Route: "service-1", Service: "service-1", New: v == 1}
	}
	calls := float64(serviceCalls) * (sampleTicks * core.TickInterval).Seconds() / float64(callers)
	for calls > m.random.Float64() {
		calls--
		v := 0
		if m.random.Uint32N(move.FullProgress) < permille {
			v = 1
		}
		byVersion[v].Requests++
		byVersion[v].Latency[5+m.random.IntN(4)]++
	}
	var samples []move.Sample
	for _, s := range byVersion {
		if s.Requests > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}
