package bench

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// Parameters of the measurement with delays.
const (
	delayDaemons = 100
	delayTickets = 40
	// domainDelay is the one-way delay between failure domains. The design names
	// 0.5 to 1.5 ms; the test network supports whole milliseconds only.
	domainDelay = time.Millisecond
	// regionDelay is the one-way delay between regions. The design names no value.
	regionDelay = 30 * time.Millisecond
	// platformLatencyMillis is the latency that the stand-in platform adds to each
	// response, in milliseconds.
	platformLatencyMillis = 3
)

// Delay is the raw result of the delay part.
type Delay struct {
	Daemons     int         `json:"daemons"`
	DomainDelay string      `json:"one_way_between_domains"`
	RegionDelay string      `json:"one_way_between_regions"`
	Changes     Phase       `json:"changes"`
	Convergence Convergence `json:"convergence"`
}

// MeasureDelay measures convergence with delays between failure domains, between
// regions, and at the platform.
func MeasureDelay(o *Options, dir string) ([]Row, any, error) {
	d := &Delay{Daemons: delayDaemons, DomainDelay: domainDelay.String(), RegionDelay: regionDelay.String()}
	m, err := startMeshWithConfig(o, filepath.Join(dir, "mesh"), meshConfig{daemons: d.Daemons, network: true})
	if err != nil {
		return nil, d, err
	}
	defer m.close()
	if err := m.delayLinks(); err != nil {
		return nil, d, err
	}
	if err := m.setUp(); err != nil {
		return nil, d, err
	}
	time.Sleep(settleTime)
	var tickets []acceptedTicket
	d.Changes, err = newSampler(m).phase("changes", func() error {
		tickets, err = m.submitChanges(delayTickets, ticketInterval)
		time.Sleep(time.Second)
		return err
	})
	if err != nil {
		return nil, d, err
	}
	d.Convergence, err = m.measureConvergence(tickets)
	return d.rows(), d, err
}

// delayLinks adds domainDelay to links between failure domains, regionDelay to
// links between regions, and platformLatencyMillis to responses of the platform.
func (m *mesh) delayLinks() error {
	locations := map[string][2]string{}
	for _, vm := range m.vms {
		locations[vm.Name] = [2]string{vm.Domain, vm.Region}
	}
	between := func(field int) faults.LinkFilter {
		return func(l faults.Link) bool {
			return l.To != faults.Platform && locations[l.From][field] != locations[l.To][field]
		}
	}
	if err := m.network.Set(between(0), faults.Fault{Latency: domainDelay}); err != nil {
		return err
	}
	if err := m.network.Set(between(1), faults.Fault{Latency: regionDelay}); err != nil {
		return err
	}
	return m.setPlatformFaults(standin.Faults{LatencyMillis: platformLatencyMillis})
}

func (d *Delay) rows() []Row {
	c := d.Convergence
	note := fmt.Sprintf("%d daemons, %s between domains, %s between regions, one way; platform %d ms; %d tickets, %d effects missing, %d not stated in force",
		d.Daemons, d.DomainDelay, d.RegionDelay, platformLatencyMillis, c.Tickets, c.Missing, c.Unstated)
	return []Row{
		{Name: "applied everywhere, median", Unit: "ms", Measured: c.Everywhere.P50, Target: targetConvergenceMs, Stretch: stretchConvergenceMs, Note: note},
		{Name: "applied everywhere, 99th", Unit: "ms", Measured: c.Everywhere.P99, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
		{Name: "applied everywhere, worst", Unit: "ms", Measured: c.Everywhere.Max, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
		{Name: "stated in force, median", Unit: "ms", Measured: c.Stated.P50, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
		{Name: "stated in force, 99th", Unit: "ms", Measured: c.Stated.P99, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
		{Name: "stated in force, worst", Unit: "ms", Measured: c.Stated.Max, Target: targetConvergenceMs, Stretch: stretchConvergenceMs},
	}
}
