package bench

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Parameters of the measurement of moves.
const (
	moveDaemons = 70
	// movedServices is one service for the single move and ten for the
	// concurrent moves.
	movedServices = 11
	// moveCallsPerSecond is the rate of calls through each daemon, over all
	// moved services.
	moveCallsPerSecond   = 10
	moveBaselineDuration = 20 * time.Second
	// moveDuration is the time from the submission of a ticket to its finish time.
	moveDuration = 40 * time.Second
	// outcomeWait limits the wait for an outcome after the finish time.
	outcomeWait = 20 * time.Second
)

// Moves is the raw result of the part "moves".
type Moves struct {
	Daemons  int    `json:"daemons"`
	Baseline Phase  `json:"baseline"`
	One      *Move  `json:"one,omitempty"`
	Ten      *Move  `json:"ten,omitempty"`
	Tally    *tally `json:"tally"`
}

// Move is the raw result of one or several concurrent moves.
type Move struct {
	Phase   Phase                `json:"phase"`
	Results map[model.Result]int `json:"results"`
	// Steps is the number of steps that the last daemon applied.
	Steps int `json:"steps"`
}

// MeasureMoves measures the bytes, processor time and platform operations of
// moves while all daemons have traffic.
func MeasureMoves(o *Options, dir string) ([]Row, any, error) {
	r := &Moves{Daemons: moveDaemons}
	m, err := startMesh(o, filepath.Join(dir, "mesh"), r.Daemons)
	if err != nil {
		return nil, r, err
	}
	defer m.close()
	m.placement = func(i int) (string, string) {
		return serviceName(i % movedServices), fmt.Sprintf("v%d", i/movedServices%2+1)
	}
	if err := m.serveTargets(); err != nil {
		return nil, r, err
	}
	if err := m.setUp(); err != nil {
		return nil, r, err
	}
	// Daemons refuse calls until they have received the endpoints.
	time.Sleep(settleTime)
	t := m.startTraffic(movedServices, moveCallsPerSecond)
	time.Sleep(coldTargetTime)
	s := newSampler(m)
	r.Baseline, _ = s.phase("traffic without moves", func() error { time.Sleep(moveBaselineDuration); return nil })
	if r.One, err = m.moveServices(s, "one move", 0, 1); err == nil {
		r.Ten, err = m.moveServices(s, "ten moves", 1, movedServices)
	}
	r.Tally = t.stop()
	return r.rows(), r, err
}

// moveServices moves the services with numbers in [from, to) concurrently, each
// by a ticket of its own, and measures until all tickets are closed.
func (m *mesh) moveServices(s *sampler, name string, from, to int) (*Move, error) {
	move := &Move{}
	started := time.Now()
	first := m.ticket + 1
	phase, err := s.phase(name, func() error {
		for i := from; i < to; i++ {
			if _, err := m.submit(m.vms[i], moveTicket(serviceName(i))); err != nil {
				return err
			}
		}
		var err error
		move.Results, err = m.waitOutcomes(first, m.ticket, moveDuration+outcomeWait)
		return err
	})
	move.Phase = phase
	if err != nil {
		return move, err
	}
	events, err := m.events(m.vms[len(m.vms)-1])
	for i := range events {
		if events[i].Kind == timeline.StepApplied && events[i].At.After(started) {
			move.Steps++
		}
	}
	return move, err
}

func moveTicket(service string) *model.Ticket {
	return &model.Ticket{
		Note:     "move " + service,
		Services: []model.Service{{Name: service, Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": model.TotalShare}}},
		Moves:    []model.Move{{Service: service, Finish: time.Now().Add(moveDuration).Truncate(time.Millisecond), Prefer: model.OnTime}},
	}
}

func (r *Moves) rows() []Row {
	rows := r.Baseline.rows("traffic without moves", fmt.Sprintf("%d daemons, %d calls/s each", r.Daemons, moveCallsPerSecond))
	for _, move := range []*Move{r.One, r.Ten} {
		if move != nil {
			rows = append(rows, move.rows(&r.Baseline, float64(r.Daemons))...)
		}
	}
	if r.Tally != nil {
		rows = append(rows, Row{Name: "calls not answered 200", Unit: "calls", Measured: float64(r.Tally.Sent - r.Tally.Good), Note: fmt.Sprintf("of %d", r.Tally.Sent)})
	}
	return rows
}

// rows returns the costs of the moves in excess of the baseline.
func (v *Move) rows(base *Phase, daemons float64) []Row {
	p := &v.Phase
	excess := func(during, baseline float64) float64 { return (during - baseline) * p.Seconds }
	receivedBytes := func(name string) float64 { return p.Kinds["received "+name] / daemons }
	note := fmt.Sprintf("%v after %.1f s, %d steps", v.Results, p.Seconds, v.Steps)
	rows := p.rows(p.Name, note)
	return append(rows,
		Row{Name: p.Name + ": received above traffic", Unit: "B/daemon", Measured: excess(p.Received, base.Received)},
		Row{Name: p.Name + ": received steps", Unit: "B/daemon", Measured: receivedBytes("steps")},
		Row{Name: p.Name + ": received evidence", Unit: "B/daemon", Measured: receivedBytes("evidence"), Note: "mean; relays and the controller receive it"},
		Row{Name: p.Name + ": received records", Unit: "B/daemon", Measured: receivedBytes("records")},
		Row{Name: p.Name + ": received by the busiest above traffic", Unit: "B", Measured: excess(p.MaxReceived, base.MaxReceived)},
		Row{Name: p.Name + ": sent by the busiest above traffic", Unit: "B", Measured: excess(p.MaxSent, base.MaxSent)},
		Row{Name: p.Name + ": processor above traffic, mean", Unit: "ms/daemon", Measured: excess(p.CPU, base.CPU) * 10},
		Row{Name: p.Name + ": platform reads above traffic", Unit: "reads", Measured: excess(p.Reads, base.Reads)},
		Row{Name: p.Name + ": platform writes above traffic", Unit: "writes", Measured: excess(p.Writes, base.Writes)},
	)
}
