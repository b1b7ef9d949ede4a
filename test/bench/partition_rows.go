package bench

import "fmt"

// targetCatchUpSeconds is the design's limit on the time until a revision is in
// force everywhere.
const targetCatchUpSeconds = 10

// linkAdmissionPerSecond is the maximum rate at which a daemon accepts new links.
const linkAdmissionPerSecond = 20

func (p *Partition) rows() []Row {
	rows := p.Idle.rows("idle", fmt.Sprintf("%d daemons", p.Daemons))
	for _, c := range p.Cuts {
		rows = append(rows, c.rows()...)
	}
	return rows
}

func (c *Cut) rows() []Row {
	label := func(name string) string { return fmt.Sprintf("%s: %s", c.Name, name) }
	var rows []Row
	for _, s := range c.Sides {
		name := label(fmt.Sprintf("%s, %d daemons, %.0f s", s.Region, s.Daemons, c.Seconds))
		note := fmt.Sprintf("controller known at the end: %s; before the cut: %s", s.Controller, c.Controller)
		rows = append(rows,
			Row{Name: name + ": tickets accepted", Unit: fmt.Sprintf("of %d", s.Offered), Measured: float64(s.Accepted), Note: note},
			Row{Name: name + ": platform reads", Unit: "1/s", Measured: float64(s.Calls.Reads) / c.Seconds},
			Row{Name: name + ": platform writes", Unit: "1/s", Measured: float64(s.Calls.Writes) / c.Seconds})
		rows = append(rows, s.Phase.rows(name, "")[:6]...)
	}
	r := c.Reachable
	return append(rows,
		Row{Name: label("applied in the region with controller and platform, worst"), Unit: "ms", Measured: r.Everywhere.Max, Target: targetConvergenceMs,
			Note: fmt.Sprintf("median %.0f ms, %d tickets of both regions, %d effects missing", r.Everywhere.P50, r.Tickets, r.Missing)},
		Row{Name: label("stated in force, worst"), Unit: "ms", Measured: r.Stated.Max, Target: targetConvergenceMs,
			Note: fmt.Sprintf("median %.0f ms, %d without a statement", r.Stated.P50, r.Unstated)},
		Row{Name: label("catch-up after it"), Unit: "s", Measured: c.CatchUp, Target: targetCatchUpSeconds},
		Row{Name: label("until a statement counts all daemons"), Unit: "s", Measured: c.FullStatement, Target: targetCatchUpSeconds},
		Row{Name: label("minute after it: received, mean"), Unit: "B/s", Measured: c.After.Received, Target: targetBytes, Stretch: stretchBusiestBytes},
		Row{Name: label("minute after it: received, busiest daemon"), Unit: "B/s", Measured: c.After.MaxReceived, Target: targetBytes, Stretch: stretchBusiestBytes},
		Row{Name: label("minute after it: sent, busiest daemon"), Unit: "B/s", Measured: c.After.MaxSent, Target: targetBytes, Stretch: stretchBusiestBytes},
		Row{Name: label("minute after it: new links"), Unit: "links", Measured: float64(c.Attached), Note: fmt.Sprintf("last one after %.2f s", c.LastAttached)},
		Row{Name: label("minute after it: new links of one daemon within 1 s"), Unit: "links", Measured: float64(c.Burst), Target: linkAdmissionPerSecond},
	)
}
