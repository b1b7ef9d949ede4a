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

// Course of the partition measurement.
const (
	partitionDaemons = 70
	longCut          = 2 * time.Minute
	shortCut         = time.Minute
	// partitionTickets is the interval of tickets during a cut; they go to
	// both regions in turn.
	partitionTickets = 5 * time.Second
	// stateLimit bounds the wait for a statement that counts all daemons.
	stateLimit = 30 * time.Second
)

// Cut is the raw result of one cut between the regions.
type Cut struct {
	Name       string  `json:"name"`
	Controller string  `json:"controller_before"`
	Seconds    float64 `json:"seconds"`
	Sides      []*Side `json:"sides"`
	// Reachable is the convergence of all accepted tickets on the region that
	// has a controller with a platform.
	Reachable Convergence `json:"reachable"`
	// CatchUp is the seconds until all daemons had the newest revision, and
	// Whole those until a statement counted all of them.
	CatchUp float64 `json:"catch_up_s"`
	Whole   float64 `json:"whole_s"`
	After   Phase   `json:"after"`
	// Attached counts the new links of the minute after the cut; Burst is the
	// most that one daemon accepted within a second, and LastAttached the
	// seconds until the last one.
	Attached     int     `json:"attached"`
	Burst        int     `json:"burst"`
	LastAttached float64 `json:"last_attached_s"`
}

// Side is one region during a cut.
type Side struct {
	Region     string     `json:"region"`
	Daemons    int        `json:"daemons"`
	Platform   bool       `json:"platform"`
	Phase      Phase      `json:"phase"`
	Calls      FrontCount `json:"platform_calls"`
	Offered    int        `json:"tickets_offered"`
	Accepted   int        `json:"tickets_accepted"`
	Refusals   []string   `json:"refusals,omitempty"`
	Controller string     `json:"controller_at_end"`
}

// Partition is the raw result of the part.
type Partition struct {
	Daemons int    `json:"daemons"`
	Idle    Phase  `json:"idle"`
	Cuts    []*Cut `json:"cuts"`
}

// MeasurePartition cuts the links between the regions while all daemons run:
// once with a platform for both, once without one for the controller's region.
func MeasurePartition(o *Options, dir string) ([]Row, any, error) {
	p := &Partition{Daemons: partitionDaemons}
	m, err := startMeshOf(o, filepath.Join(dir, "mesh"), meshConfig{daemons: p.Daemons, network: true, fronts: len(regions)})
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
	both := &Cut{Name: "platform for both"}
	one := &Cut{Name: "no platform for the controller's region"}
	p.Cuts = []*Cut{both, one}
	if err := both.measure(m, s, longCut, ""); err != nil {
		return p.rows(), p, err
	}
	away := m.fleet.VM(m.controller()).Region
	err = one.measure(m, s, shortCut, away)
	return p.rows(), p, err
}

// measure cuts the regions for a time; the region without has no platform.
func (c *Cut) measure(m *mesh, s *sampler, length time.Duration, without string) error {
	c.Controller = m.controller()
	serving := m.fleet.VM(c.Controller).Region
	for i, region := range regions {
		c.Sides = append(c.Sides, &Side{Region: region, Daemons: len(m.inRegion(region)), Platform: region != without})
		m.fronts[i].setCut(region == without)
		if without != "" && region != without {
			serving = region
		}
	}
	if err := m.network.Set(faults.LinksAcross(namesOf(m.inRegion(regions[0]))...), faults.Fault{Cut: true}); err != nil {
		return err
	}
	before, calls, began := s.take(), m.frontCounts(), time.Now()
	tickets := c.submit(m, began.Add(length))
	after := s.take()
	c.Seconds = time.Since(began).Seconds()
	for i, side := range c.Sides {
		side.Phase = difference(side.Region, before.only(m.inRegion(side.Region)), after.only(m.inRegion(side.Region)))
		side.Calls = m.fronts[i].counted().minus(calls[i])
		side.Controller = m.controllerIn(side.Region)
	}
	var err error
	if c.Reachable, err = m.convergeOn(tickets, m.inRegion(serving)); err != nil {
		return err
	}
	return c.heal(m, s)
}

// submit offers tickets to both regions in turn until the end.
func (c *Cut) submit(m *mesh, end time.Time) []accepted {
	var tickets []accepted
	for i := 0; time.Until(end) > partitionTickets; i++ {
		time.Sleep(partitionTickets)
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
		tickets = append(tickets, accepted{vm: vm, ticket: m.ticket, revision: revision})
	}
	time.Sleep(time.Until(end))
	return tickets
}

// heal joins the regions and measures the minute after it.
func (c *Cut) heal(m *mesh, s *sampler) error {
	newest, err := m.newestRevision()
	if err != nil {
		return err
	}
	healed := time.Now()
	c.After, err = s.phase("minute after the cut", func() error {
		for _, front := range m.fronts {
			front.setCut(false)
		}
		if err := m.network.Heal(); err != nil {
			return err
		}
		if err := m.waitRevision(m.vms, newest); err != nil {
			return err
		}
		c.CatchUp = time.Since(healed).Seconds()
		c.Whole = m.waitWhole(healed)
		time.Sleep(minute - min(minute, time.Since(healed)))
		return nil
	})
	if err != nil {
		return err
	}
	return c.reconnects(m, healed)
}

// reconnects counts the links that were made since a time.
func (c *Cut) reconnects(m *mesh, since time.Time) error {
	for _, vm := range m.vms {
		events, err := m.events(vm)
		if err != nil {
			return err
		}
		var accepted []time.Time
		for i := range events {
			switch at := events[i].At; {
			case at.Before(since):
			case events[i].Kind == timeline.ParentAttached:
				c.Attached++
				c.LastAttached = max(c.LastAttached, at.Sub(since).Seconds())
			case events[i].Kind == timeline.ChildAttached:
				accepted = append(accepted, at)
			}
		}
		c.Burst = max(c.Burst, mostWithin(accepted, time.Second))
	}
	return nil
}

// mostWithin is the largest number of the times within any window.
func mostWithin(times []time.Time, window time.Duration) int {
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

func (m *mesh) frontCounts() []FrontCount {
	var counts []FrontCount
	for _, front := range m.fronts {
		counts = append(counts, front.counted())
	}
	return counts
}

// controllerIn names the controllers that the daemons of a region know.
func (m *mesh) controllerIn(region string) string {
	known := map[string]int{}
	for _, vm := range m.inRegion(region) {
		client, err := m.fleet.Client(vm)
		if err != nil {
			continue
		}
		if status, err := client.Status(m.ctx); err == nil {
			known[status.Controller]++
		}
	}
	return fmt.Sprint(known)
}

// newestRevision is the revision of the most advanced daemon.
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

// waitWhole returns the seconds from a time until a statement counts all
// daemons, or those of the limit.
func (m *mesh) waitWhole(since time.Time) float64 {
	client, err := m.fleet.Client(m.vms...)
	for err == nil && time.Since(since) < stateLimit {
		status, failed := client.Ticket(m.ctx, m.ticket)
		if failed == nil && status.InForce && len(status.Unreachable) == 0 && int(status.Members) == len(m.vms) {
			break
		}
		time.Sleep(revisionPoll)
	}
	return time.Since(since).Seconds()
}

// only keeps the readings of some VMs.
func (s Sample) only(vms []*fleet.VM) Sample {
	kept := Sample{At: s.At, Platform: s.Platform, Daemons: map[string]Reading{}}
	for _, vm := range vms {
		kept.Daemons[vm.Name] = s.Daemons[vm.Name]
	}
	return kept
}
