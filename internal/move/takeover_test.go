package move_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// healthySample returns the sample of one second with successful requests only.
func healthySample(route string, isNew bool, requests uint32) move.Sample {
	s := move.Sample{Key: move.SampleKey{Ticket: 1, Service: "order", Route: route, New: isNew}, Requests: requests}
	s.Latency[4] = requests
	return s
}

// Guards against a move that stops after a change of controller until a route with
// little traffic has sent a request to the new version.
var _ = It("advances after a change of controller although a route with little traffic has not yet used the new version", func() {
	start := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	open := &model.OpenTicket{Accepted: start, Ticket: &model.Ticket{
		Number:   1,
		Services: []model.Service{{Name: "order", Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": model.TotalShare}}},
		Moves:    []model.Move{{Service: "order", Finish: start.Add(20 * time.Second), Prefer: model.OnTime}},
	}}
	now := start.Add(8 * time.Second)
	p := move.NewPlanner(move.Config{Ticket: open, Epoch: 2, Start: move.Step{Ticket: 1, Epoch: 1, Number: 1, Permille: 10}}, now)
	conditions := move.Conditions{EvidenceLive: true, Targets: map[string]move.TargetCount{"order": {New: 2, Old: 3}}}
	for range 10 {
		now = now.Add(time.Second)
		p.Observe(now, []move.Sample{healthySample("lookup", false, 50), healthySample("lookup", true, 1), healthySample("scan", false, 3)})
		if p.Next(now, conditions).Kind == move.Advance {
			return
		}
	}
	Fail("the move has not advanced within ten seconds of the change of controller")
})
