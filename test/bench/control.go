package bench

import "time"

// Parameters of the control cost measurement.
const (
	controlDaemons  = 100
	controlIdleTime = 10 * time.Second
	controlTickets  = 40
)

// Control is the raw result of the control part.
type Control struct {
	Daemons int     `json:"daemons"`
	Idle    []Phase `json:"idle"`
	Changes []Phase `json:"changes"`
}

// MeasureControl measures the resource use of daemons that forward no requests: while
// idle, and under tickets at 196 times the design's rate.
func MeasureControl(o *Options, dir string) ([]Row, any, error) {
	c := &Control{Daemons: min(controlDaemons, o.Sizes[len(o.Sizes)-1])}
	m, err := startMesh(o, dir, c.Daemons)
	if err != nil {
		return nil, c, err
	}
	defer m.close()
	if err := m.setUp(); err != nil {
		return nil, c, err
	}
	time.Sleep(settleTime)
	s := newSampler(m)
	for range o.Repeats {
		idle, _ := s.phase("idle", func() error { time.Sleep(controlIdleTime); return nil })
		c.Idle = append(c.Idle, idle)
	}
	changes, err := s.phase("changes", func() error {
		_, err := m.submitChanges(controlTickets, ticketInterval)
		return err
	})
	c.Changes = append(c.Changes, changes)
	return c.rows(), c, err
}

func (c *Control) rows() []Row {
	var cpu, busiestCPU []float64
	for _, p := range c.Idle {
		cpu = append(cpu, p.CPU)
		busiestCPU = append(busiestCPU, p.MaxCPU)
	}
	if len(c.Idle) == 0 {
		return nil
	}
	last := c.Idle[len(c.Idle)-1]
	rows := []Row{
		{Name: "idle: processor, mean", Unit: "% of a core", Measured: median(cpu), Target: targetCPU, Note: spread(cpu)},
		{Name: "idle: processor, busiest daemon", Unit: "% of a core", Measured: median(busiestCPU), Target: targetCPU, Note: spread(busiestCPU)},
		{Name: "idle: resident, largest", Unit: "MiB", Measured: last.MaxResident, Target: targetMiB},
		{Name: "idle: received, mean", Unit: "B/s", Measured: last.Received, Target: targetBytes},
		{Name: "idle: sent, busiest daemon", Unit: "B/s", Measured: last.MaxSent, Target: targetBytes},
	}
	for i := range c.Changes {
		rows = append(rows, c.Changes[i].rows("changes", changesNote)...)
	}
	return rows
}
