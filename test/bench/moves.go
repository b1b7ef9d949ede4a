package bench

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Course of the measurement of moves.
const (
	moveDaemons = 70
	// movedServices is one for the single move and ten for the moves at once.
	movedServices = 11
	// moveRate is the calls of each daemon a second, to all moved services.
	moveRate     = 10
	moveBaseline = 20 * time.Second
	// moveTime is the time from the ticket to the finish time.
	moveTime = 40 * time.Second
	// moveSlack is how long after the finish time an outcome is waited for.
	moveSlack = 20 * time.Second
)

// Moves is the raw result of the part.
type Moves struct {
	Daemons  int    `json:"daemons"`
	Baseline Phase  `json:"baseline"`
	One      *Move  `json:"one,omitempty"`
	Ten      *Move  `json:"ten,omitempty"`
	Tally    *tally `json:"tally"`
}

// Move is the raw result of moves at once.
type Move struct {
	Phase   Phase                `json:"phase"`
	Results map[model.Result]int `json:"results"`
	// Steps is the number of steps that one daemon applied.
	Steps int `json:"steps"`
}

// MeasureMoves measures what moves cost while all daemons have traffic.
func MeasureMoves(o *Options, dir string) ([]Row, any, error) {
	r := &Moves{Daemons: moveDaemons}
	m, err := startMesh(o, filepath.Join(dir, "mesh"), r.Daemons)
	if err != nil {
		return nil, r, err
	}
	defer m.close()
	m.place = func(i int) (string, string) {
		return serviceName(i % movedServices), fmt.Sprintf("v%d", i/movedServices%2+1)
	}
	if err := m.serveTargets(); err != nil {
		return nil, r, err
	}
	if err := m.setUp(); err != nil {
		return nil, r, err
	}
	// Daemons without the endpoints yet would refuse calls.
	time.Sleep(settleTime)
	t := m.startTraffic(movedServices, moveRate)
	time.Sleep(coldTime)
	s := newSampler(m)
	r.Baseline, _ = s.phase("traffic without moves", func() error { time.Sleep(moveBaseline); return nil })
	if r.One, err = m.moveServices(s, "one move", 0, 1); err == nil {
		r.Ten, err = m.moveServices(s, "ten moves", 1, movedServices)
	}
	r.Tally = t.end()
	return r.rows(), r, err
}

// moveServices moves services at once, each by a ticket of its own.
func (m *mesh) moveServices(s *sampler, name string, from, to int) (*Move, error) {
	move := &Move{}
	began := time.Now()
	first := m.ticket + 1
	phase, err := s.phase(name, func() error {
		for i := from; i < to; i++ {
			if _, err := m.submit(m.vms[i], moveTicket(serviceName(i))); err != nil {
				return err
			}
		}
		var err error
		move.Results, err = m.ended(first, m.ticket, moveTime+moveSlack)
		return err
	})
	move.Phase = phase
	if err != nil {
		return move, err
	}
	events, err := m.events(m.vms[len(m.vms)-1])
	for i := range events {
		if events[i].Kind == timeline.StepApplied && events[i].At.After(began) {
			move.Steps++
		}
	}
	return move, err
}

func moveTicket(service string) *model.Ticket {
	return &model.Ticket{
		Note:     "move " + service,
		Services: []model.Service{{Name: service, Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": model.TotalShare}}},
		Moves:    []model.Move{{Service: service, Finish: time.Now().Add(moveTime).Truncate(time.Millisecond), Prefer: model.OnTime}},
	}
}

func (r *Moves) rows() []Row {
	rows := r.Baseline.rows("traffic without moves", fmt.Sprintf("%d daemons, %d calls/s each", r.Daemons, moveRate))
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

// rows gives the costs of the moves above those of the baseline.
func (v *Move) rows(base *Phase, daemons float64) []Row {
	p := &v.Phase
	above := func(now, then float64) float64 { return (now - then) * p.Seconds }
	kind := func(name string) float64 { return p.Kinds["received "+name] / daemons }
	note := fmt.Sprintf("%v after %.1f s, %d steps", v.Results, p.Seconds, v.Steps)
	rows := p.rows(p.Name, note)
	return append(rows,
		Row{Name: p.Name + ": received above traffic", Unit: "B/daemon", Measured: above(p.Received, base.Received)},
		Row{Name: p.Name + ": received steps", Unit: "B/daemon", Measured: kind("steps")},
		Row{Name: p.Name + ": received evidence", Unit: "B/daemon", Measured: kind("evidence"), Note: "mean; relays and the controller receive it"},
		Row{Name: p.Name + ": received records", Unit: "B/daemon", Measured: kind("records")},
		Row{Name: p.Name + ": received by the busiest above traffic", Unit: "B", Measured: above(p.ReceivedMost, base.ReceivedMost)},
		Row{Name: p.Name + ": sent by the busiest above traffic", Unit: "B", Measured: above(p.SentMost, base.SentMost)},
		Row{Name: p.Name + ": processor above traffic, mean", Unit: "ms/daemon", Measured: above(p.CPU, base.CPU) * 10},
		Row{Name: p.Name + ": platform reads above traffic", Unit: "reads", Measured: above(p.Reads, base.Reads)},
		Row{Name: p.Name + ": platform writes above traffic", Unit: "writes", Measured: above(p.Writes, base.Writes)},
	)
}
