package bench

import "fmt"

func (d *Distribution) rows() []Row {
	at := func(name string) string { return fmt.Sprintf("%s, %d daemons", name, d.Daemons) }
	c := d.Convergence
	note := fmt.Sprintf("%d tickets at %.0f a day, %d effects missing", c.Tickets, c.Rate, c.Missing)
	rows := []Row{
		{Name: at("in force everywhere, median"), Unit: "ms", Measured: c.Everywhere.P50, Note: note},
		{Name: at("in force everywhere, 99th"), Unit: "ms", Measured: c.Everywhere.P99, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
		{Name: at("in force everywhere, worst"), Unit: "ms", Measured: c.Everywhere.Max, Target: targetConvergenceMs},
		{Name: at("stated in force, median"), Unit: "ms", Measured: c.Stated.P50, Note: fmt.Sprintf("%d tickets not stated in force", c.Unstated)},
		{Name: at("stated in force, 99th"), Unit: "ms", Measured: c.Stated.P99, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
		{Name: at("stated in force, worst"), Unit: "ms", Measured: c.Stated.Max, Target: targetConvergenceMs},
		{Name: at("received per change"), Unit: "B/daemon", Measured: d.PerChange},
	}
	rows = append(rows, d.Idle.rows(at("idle"), "")...)
	rows = append(rows, d.Changes.rows(at("changes"), changesNote)...)
	if d.Polling != nil {
		rows = append(rows, d.Polling.rows()...)
	}
	if d.Churn != nil {
		rows = append(rows, d.Churn.rows(at("minute of churn"), fmt.Sprintf("%d restarts, %d tickets", churnRestarts, churnTickets))...)
		rows = append(rows, d.Churn.busiestMinuteRows(at("minute of churn"))...)
	}
	if d.Herd != nil {
		rows = append(rows, d.Herd.rows(at("minute of herd restart"), "a whole failure domain")...)
		rows = append(rows, d.Herd.busiestMinuteRows(at("minute of herd restart"))...)
		rows = append(rows, Row{Name: at("herd restart until ready"), Unit: "s", Measured: d.HerdRecovery, Note: "a whole failure domain"})
	}
	if d.CutOthers != nil {
		rows = append(rows, d.Cut.rows(at("cut of a domain"), "")...)
		rows = append(rows,
			Row{Name: at("cut: catch-up after it"), Unit: "s", Measured: d.CutRecovery, Target: 10, Note: "a failure domain suspended for 40 s"},
			Row{Name: at("cut: others in force, worst"), Unit: "ms", Measured: d.CutOthers.Everywhere.Max, Target: targetConvergenceMs})
	}
	return rows
}

// changesNote is the note of rows that are measured at the rate of ticketInterval.
const changesNote = "196 times the design's rate"

// busiestMinuteRows returns rows that compare the received bytes of a phase of one minute
// with the stretch goal for the busiest minute.
func (p *Phase) busiestMinuteRows(name string) []Row {
	return []Row{
		{Name: name + ": as busiest minute, mean", Unit: "B/s", Measured: p.Received, Stretch: stretchBusiestBytes},
		{Name: name + ": as busiest minute, worst daemon", Unit: "B/s", Measured: p.MaxReceived, Stretch: stretchBusiestBytes},
	}
}

func (p *Phase) rows(name, note string) []Row {
	rows := []Row{
		{Name: name + ": received, mean", Unit: "B/s", Measured: p.Received, Target: targetBytes},
		{Name: name + ": received, busiest daemon", Unit: "B/s", Measured: p.MaxReceived, Target: targetBytes},
		{Name: name + ": sent, busiest daemon", Unit: "B/s", Measured: p.MaxSent, Target: targetBytes},
		{Name: name + ": processor, mean", Unit: "% of a core", Measured: p.CPU, Target: targetCPU},
		{Name: name + ": processor, busiest daemon", Unit: "% of a core", Measured: p.MaxCPU, Target: targetCPU},
		{Name: name + ": resident, largest", Unit: "MiB", Measured: p.MaxResident, Target: targetMiB},
		{Name: name + ": platform reads", Unit: "1/s", Measured: p.Reads},
		{Name: name + ": platform writes", Unit: "1/s", Measured: p.Writes},
	}
	for i := range rows {
		rows[i].Note = note
	}
	return rows
}

func (p *Polling) rows() []Row {
	return []Row{
		{Name: "plain polling: idle", Unit: "B/s", Measured: p.IdlePerSecond, Note: fmt.Sprintf("%d pollers", p.Pollers)},
		{Name: "plain polling: per change", Unit: "B/daemon", Measured: p.PerChange, Note: fmt.Sprintf("whole state of %d B compressed", p.StateBytes)},
		{Name: "plain polling: platform reads", Unit: "1/s", Measured: p.ReadsPerSecond},
		{Name: "plain polling: everywhere, worst", Unit: "ms", Measured: p.Everywhere.Max},
	}
}

// Target values of a daemon's control cost.
const (
	// targetCPU is in percent of a core.
	targetCPU = 1.2
	// targetMiB is 128 MB in MiB.
	targetMiB = 128e6 / (1 << 20)
)
