package bench

import (
	"fmt"
	"path/filepath"
	"time"
)

// Course of the measurement of a large mesh.
const (
	// largeDaemons is the most for which all processes of the bench stay at
	// about 150.
	largeDaemons = 148
	largeTickets = 30
	// rackServices have seven targets each, in different failure domains.
	rackServices = 20
	// rackRate is the calls of each daemon a second.
	rackRate = 2
	// rackPart is the part of a failure domain that is one rack.
	rackPart = 3
)

// Large is the raw result of the part.
type Large struct {
	Daemons     int         `json:"daemons"`
	StartTook   string      `json:"start_took"`
	Idle        Phase       `json:"idle"`
	Changes     Phase       `json:"changes"`
	PerChange   float64     `json:"bytes_per_change_and_daemon"`
	Convergence Convergence `json:"convergence"`
	Traffic     Phase       `json:"traffic"`
	// Rack is the minute from the failure of a rack on.
	Rack   Phase  `json:"rack"`
	Failed int    `json:"failed_daemons"`
	Before *tally `json:"calls_before"`
	During *tally `json:"calls_during"`
}

// MeasureLarge measures a mesh of about 150 processes, and the failure of a
// third of a failure domain.
func MeasureLarge(o *Options, dir string) ([]Row, any, error) {
	l := &Large{Daemons: largeDaemons}
	started := time.Now()
	m, err := startMesh(o, filepath.Join(dir, "mesh"), l.Daemons)
	if err != nil {
		return nil, l, err
	}
	defer m.close()
	l.StartTook = time.Since(started).Round(10 * time.Millisecond).String()
	m.place = func(i int) (string, string) { return serviceName(i % rackServices), "v1" }
	if err := m.serveTargets(); err != nil {
		return nil, l, err
	}
	if err := m.setUp(); err != nil {
		return nil, l, err
	}
	time.Sleep(settleTime)
	s := newSampler(m)
	l.Idle, _ = s.phase("idle", func() error { time.Sleep(idleTime); return nil })
	if err := l.changes(m, s); err != nil {
		return l.rows(), l, err
	}
	l.rack(m, s)
	return l.rows(), l, nil
}

func (l *Large) changes(m *mesh, s *sampler) error {
	var tickets []accepted
	var err error
	l.Changes, err = s.phase("changes", func() error {
		tickets, err = m.submitMany(largeTickets, ticketInterval)
		time.Sleep(time.Second)
		return err
	})
	if err != nil {
		return err
	}
	l.PerChange = (l.Changes.Received - l.Idle.Received) * l.Changes.Seconds / largeTickets
	l.Convergence, err = m.converge(tickets)
	return err
}

// rack kills a third of a failure domain while all daemons have traffic.
func (l *Large) rack(m *mesh, s *sampler) {
	t := m.startTraffic(rackServices, rackRate)
	time.Sleep(coldTime)
	l.Before = t.end()
	t = m.startTraffic(rackServices, rackRate)
	l.Traffic, _ = s.phase("traffic", func() error { time.Sleep(shortIdleTime); return nil })
	domain := m.domainWithout(m.controller())
	rack := domain[:len(domain)/rackPart]
	l.Failed = len(rack)
	rest := m.without(rack).vms
	before := s.take().only(rest)
	m.fail(rack)
	time.Sleep(minute)
	l.Rack = difference("rack", before, s.take().only(rest))
	l.During = t.end()
}

func (l *Large) rows() []Row {
	c := l.Convergence
	rows := l.Idle.rows("idle", fmt.Sprintf("%d daemons", l.Daemons))
	rows = append(rows, Row{Name: "idle: resident, mean", Unit: "MiB", Measured: l.Idle.Resident, Target: targetMiB})
	rows = append(rows, l.Changes.rows("changes", changesNote)...)
	rows = append(rows,
		Row{Name: "received per change", Unit: "B/daemon", Measured: l.PerChange},
		Row{Name: "applied everywhere, median", Unit: "ms", Measured: c.Everywhere.P50, Note: fmt.Sprintf("%d tickets, %d effects missing", c.Tickets, c.Missing)},
		Row{Name: "applied everywhere, worst", Unit: "ms", Measured: c.Everywhere.Max, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
		Row{Name: "stated in force, median", Unit: "ms", Measured: c.Stated.P50, Note: fmt.Sprintf("%d unstated", c.Unstated)},
		Row{Name: "stated in force, worst", Unit: "ms", Measured: c.Stated.Max, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
	)
	if l.During == nil {
		return rows
	}
	name := fmt.Sprintf("minute of a rack failure, %d daemons killed", l.Failed)
	rows = append(rows, l.Rack.rows(name, "others only, with traffic")...)
	rows = append(rows, l.Rack.busiest(name)...)
	return append(rows, Row{
		Name: name + ": calls not answered 200", Unit: "calls", Measured: float64(l.During.Sent - l.During.Good),
		Note: fmt.Sprintf("of %d idempotent calls at the other daemons: %v", l.During.Sent, l.During.Answers),
	})
}
