package bench

import (
	"fmt"
	"path/filepath"
	"time"
)

// Parameters of the measurement of a large mesh.
const (
	// largeDaemons is the largest number of daemons with which the benchmark has
	// about 150 processes in total.
	largeDaemons = 148
	largeTickets = 30
	// rackServices is the number of called services. Each has seven targets, in
	// different failure domains.
	rackServices = 20
	// rackRate is the rate at each daemon, in calls per second.
	rackRate = 2
	// racksPerDomain makes a rack a third of a failure domain.
	racksPerDomain = 3
)

// Large is the raw result of the large part.
type Large struct {
	Daemons     int         `json:"daemons"`
	StartTook   string      `json:"start_took"`
	Idle        Phase       `json:"idle"`
	Changes     Phase       `json:"changes"`
	PerChange   float64     `json:"bytes_per_change_and_daemon"`
	Convergence Convergence `json:"convergence"`
	Traffic     Phase       `json:"traffic"`
	// Rack is the use of the other daemons in the minute after a rack failed.
	Rack Phase `json:"rack"`
	// Failed is the number of daemons in the rack.
	Failed int `json:"failed_daemons"`
	// Before counts the calls before the failure, in the slow start of the
	// targets. During counts the later ones, from shortly before the failure to
	// the end of its minute.
	Before *tally `json:"calls_before"`
	During *tally `json:"calls_during"`
}

// MeasureLarge measures a mesh of about 150 processes: while idle, under tickets, and
// when a third of a failure domain fails.
func MeasureLarge(o *Options, dir string) ([]Row, any, error) {
	l := &Large{Daemons: largeDaemons}
	started := time.Now()
	m, err := startMesh(o, filepath.Join(dir, "mesh"), l.Daemons)
	if err != nil {
		return nil, l, err
	}
	defer m.close()
	l.StartTook = time.Since(started).Round(10 * time.Millisecond).String()
	m.placement = func(i int) (string, string) { return serviceName(i % rackServices), "v1" }
	if err := m.serveTargets(); err != nil {
		return nil, l, err
	}
	if err := m.setUp(); err != nil {
		return nil, l, err
	}
	time.Sleep(settleTime)
	s := newSampler(m)
	l.Idle, _ = s.phase("idle", func() error { time.Sleep(idleTime); return nil })
	if err := l.measureChanges(m, s); err != nil {
		return l.rows(), l, err
	}
	l.failRack(m, s)
	return l.rows(), l, nil
}

func (l *Large) measureChanges(m *mesh, s *sampler) error {
	var tickets []acceptedTicket
	var err error
	l.Changes, err = s.phase("changes", func() error {
		tickets, err = m.submitChanges(largeTickets, ticketInterval)
		time.Sleep(time.Second)
		return err
	})
	if err != nil {
		return err
	}
	l.PerChange = (l.Changes.Received - l.Idle.Received) * l.Changes.Seconds / largeTickets
	l.Convergence, err = m.measureConvergence(tickets)
	return err
}

// failRack kills a third of a failure domain while all daemons have traffic, and
// measures the other daemons.
func (l *Large) failRack(m *mesh, s *sampler) {
	t := m.startTraffic(rackServices, rackRate)
	time.Sleep(coldTargetTime)
	l.Before = t.stop()
	t = m.startTraffic(rackServices, rackRate)
	l.Traffic, _ = s.phase("traffic", func() error { time.Sleep(shortIdleTime); return nil })
	domain := m.domainWithout(m.controller())
	rack := domain[:len(domain)/racksPerDomain]
	l.Failed = len(rack)
	others := m.without(rack).vms
	before := s.take().forVMs(others)
	m.fail(rack)
	time.Sleep(minute)
	l.Rack = phaseBetween("rack", before, s.take().forVMs(others))
	l.During = t.stop()
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
		Row{Name: "stated in force, median", Unit: "ms", Measured: c.Stated.P50, Note: fmt.Sprintf("%d not stated in force", c.Unstated)},
		Row{Name: "stated in force, worst", Unit: "ms", Measured: c.Stated.Max, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
	)
	if l.During == nil {
		return rows
	}
	name := fmt.Sprintf("minute of a rack failure, %d daemons killed", l.Failed)
	rows = append(rows, l.Rack.rows(name, "other daemons only, with traffic")...)
	rows = append(rows, l.Rack.busiestMinuteRows(name)...)
	return append(rows, Row{
		Name: name + ": calls not answered 200", Unit: "calls", Measured: float64(l.During.Sent - l.During.Good),
		Note: fmt.Sprintf("of %d idempotent calls at the other daemons: %v", l.During.Sent, l.During.Answers),
	})
}
