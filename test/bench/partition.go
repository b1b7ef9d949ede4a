package bench

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// Parameters of the partition measurement.
const (
	partitionDaemons = 70
	longCutDuration  = 2 * time.Minute
	shortCutDuration = time.Minute
	// partitionTicketInterval is the interval of tickets during a cut. They
	// alternate between the regions.
	partitionTicketInterval = 5 * time.Second
	// fullStatementTimeout limits the wait for a ticket status that counts all
	// daemons.
	fullStatementTimeout = 30 * time.Second
)

// Cut is the raw result of one network partition between the regions.
type Cut struct {
	Name       string  `json:"name"`
	Controller string  `json:"controller_before"`
	Seconds    float64 `json:"seconds"`
	Sides      []*Side `json:"sides"`
	// Reachable is the convergence of all accepted tickets on the daemons of the
	// region whose controller reaches the platform.
	Reachable Convergence `json:"reachable"`
	// CatchUp is the time in seconds until all daemons had the newest revision,
	// and FullStatement that until a ticket status counted all of them.
	CatchUp       float64 `json:"catch_up_s"`
	FullStatement float64 `json:"whole_s"`
	After         Phase   `json:"after"`
	// Attached counts the new links in the minute after the cut; Burst is the
	// maximum that one daemon accepted within a second, and LastAttached the
	// time in seconds until the last one.
	Attached     int     `json:"attached"`
	Burst        int     `json:"burst"`
	LastAttached float64 `json:"last_attached_s"`
}

// Side is the raw result of one region during a cut.
type Side struct {
	Region     string             `json:"region"`
	Daemons    int                `json:"daemons"`
	Platform   bool               `json:"platform"`
	Phase      Phase              `json:"phase"`
	Calls      PlatformCallCounts `json:"platform_calls"`
	Offered    int                `json:"tickets_offered"`
	Accepted   int                `json:"tickets_accepted"`
	Refusals   []string           `json:"refusals,omitempty"`
	Controller string             `json:"controller_at_end"`
}

// Partition is the raw result of the part "partition".
type Partition struct {
	Daemons int    `json:"daemons"`
	Idle    Phase  `json:"idle"`
	Cuts    []*Cut `json:"cuts"`
}

// MeasurePartition cuts the links between the regions twice while all daemons
// run: once while both regions reach the platform, and once while the
// controller's region does not.
func MeasurePartition(o *Options, dir string) ([]Row, any, error) {
	p := &Partition{Daemons: partitionDaemons}
	m, err := startMeshWithConfig(o, filepath.Join(dir, "mesh"), meshConfig{daemons: p.Daemons, network: true, fronts: len(regions)})
	if err != nil {
		return nil, p, err
	}
	defer m.close()
	if err := m.setUp(); err != nil {
		return nil, p, err
	}
	time.Sleep(settleTime)
	s := newSampler(m)
	p.Idle, _ = s.phase("idle", func() error { time.Sleep(idleTime); return nil })
	withBoth := &Cut{Name: "platform for both"}
	withOne := &Cut{Name: "no platform for the controller's region"}
	p.Cuts = []*Cut{withBoth, withOne}
	if err := withBoth.measure(m, s, longCutDuration, ""); err != nil {
		return p.rows(), p, err
	}
	controllerRegion := m.fleet.VM(m.controller()).Region
	err = withOne.measure(m, s, shortCutDuration, controllerRegion)
	return p.rows(), p, err
}

// measure cuts the links between the regions for the given time. The region
// withoutPlatform cannot reach the platform; with "" both regions reach it.
func (c *Cut) measure(m *mesh, s *sampler, duration time.Duration, withoutPlatform string) error {
	c.Controller = m.controller()
	serving := m.fleet.VM(c.Controller).Region
	for i, region := range regions {
		c.Sides = append(c.Sides, &Side{Region: region, Daemons: len(m.inRegion(region)), Platform: region != withoutPlatform})
		m.fronts[i].setUnreachable(region == withoutPlatform)
		if withoutPlatform != "" && region != withoutPlatform {
			serving = region
		}
	}
	if err := m.network.Set(faults.LinksAcross(namesOf(m.inRegion(regions[0]))...), faults.Fault{Cut: true}); err != nil {
		return err
	}
	before, calls, started := s.take(), m.frontCounts(), time.Now()
	tickets := c.submit(m, started.Add(duration))
	after := s.take()
	c.Seconds = time.Since(started).Seconds()
	for i, side := range c.Sides {
		side.Phase = phaseBetween(side.Region, before.forVMs(m.inRegion(side.Region)), after.forVMs(m.inRegion(side.Region)))
		side.Calls = m.fronts[i].callCounts().sub(calls[i])
		side.Controller = m.controllersReportedIn(side.Region)
	}
	var err error
	if c.Reachable, err = m.measureConvergenceOn(tickets, m.inRegion(serving)); err != nil {
		return err
	}
	return c.heal(m, s)
}

// submit submits tickets to the regions alternately until the end time and
// returns the accepted ones.
func (c *Cut) submit(m *mesh, end time.Time) []acceptedTicket {
	var tickets []acceptedTicket
	for i := 0; time.Until(end) > partitionTicketInterval; i++ {
		time.Sleep(partitionTicketInterval)
		side := c.Sides[i%len(c.Sides)]
		vms := m.inRegion(side.Region)
		vm := vms[i%len(vms)]
		side.Offered++
		revision, err := m.submit(vm, m.change())
		if err != nil {
			side.Refusals = append(side.Refusals, err.Error())
			continue
		}
		side.Accepted++
		tickets = append(tickets, acceptedTicket{vm: vm, ticket: m.ticket, revision: revision})
	}
	time.Sleep(time.Until(end))
	return tickets
}

// heal ends the cut and measures the minute after it.
func (c *Cut) heal(m *mesh, s *sampler) error {
	newest, err := m.newestRevision()
	if err != nil {
		return err
	}
	healed := time.Now()
	c.After, err = s.phase("minute after the cut", func() error {
		for _, front := range m.fronts {
			front.setUnreachable(false)
		}
		if err := m.network.Heal(); err != nil {
			return err
		}
		if err := m.waitRevision(m.vms, newest); err != nil {
			return err
		}
		c.CatchUp = time.Since(healed).Seconds()
		c.FullStatement = m.waitFullStatement(healed)
		time.Sleep(minute - min(minute, time.Since(healed)))
		return nil
	})
	if err != nil {
		return err
	}
	return c.countReconnects(m, healed)
}

// countReconnects counts the links that were established since a time.
func (c *Cut) countReconnects(m *mesh, since time.Time) error {
	for _, vm := range m.vms {
		events, err := m.events(vm)
		if err != nil {
			return err
		}
		var attachedAt []time.Time
		for i := range events {
			switch at := events[i].At; {
			case at.Before(since):
			case events[i].Kind == timeline.ParentAttached:
				c.Attached++
				c.LastAttached = max(c.LastAttached, at.Sub(since).Seconds())
			case events[i].Kind == timeline.ChildAttached:
				attachedAt = append(attachedAt, at)
			}
		}
		c.Burst = max(c.Burst, maxWithinWindow(attachedAt, time.Second))
	}
	return nil
}

// maxWithinWindow returns the largest number of times that fall within any
// interval of length window. It sorts times.
func maxWithinWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (m *mesh) frontCounts() []PlatformCallCounts {
	var counts []PlatformCallCounts
	for _, front := range m.fronts {
		counts = append(counts, front.callCounts())
	}
	return counts
}

// controllersReportedIn returns the controllers that the daemons of a region
// report, with the number of daemons that report each.
func (m *mesh) controllersReportedIn(region string) string {
	counts := map[string]int{}
	for _, vm := range m.inRegion(region) {
		client, err := m.fleet.Client(vm)
		if err != nil {
			continue
		}
		if status, err := client.Status(m.ctx); err == nil {
			counts[status.Controller]++
		}
	}
	return fmt.Sprint(counts)
}

// newestRevision returns the highest revision that a daemon has.
func (m *mesh) newestRevision() (uint64, error) {
	var newest uint64
	for _, vm := range m.vms {
		revision, err := m.revisionOf(vm)
		if err != nil {
			return 0, err
		}
		newest = max(newest, revision)
	}
	return newest, nil
}

// waitFullStatement waits until the status of the last ticket says that it is in
// force on all daemons, or until fullStatementTimeout after since. It returns the
// time since then in seconds.
func (m *mesh) waitFullStatement(since time.Time) float64 {
	client, err := m.fleet.Client(m.vms...)
	for err == nil && time.Since(since) < fullStatementTimeout {
		status, statusErr := client.Ticket(m.ctx, m.ticket)
		if statusErr == nil && status.InForce && len(status.Unreachable) == 0 && int(status.Members) == len(m.vms) {
			break
		}
		time.Sleep(revisionPoll)
	}
	return time.Since(since).Seconds()
}

// forVMs returns a sample with the readings of only the given VMs.
func (s Sample) forVMs(vms []*fleet.VM) Sample {
	filtered := Sample{At: s.At, Platform: s.Platform, Daemons: map[string]Reading{}}
	for _, vm := range vms {
		filtered.Daemons[vm.Name] = s.Daemons[vm.Name]
	}
	return filtered
}
