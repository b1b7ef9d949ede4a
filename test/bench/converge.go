package bench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// Range and precision of histograms, in microseconds.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

// recordDuration adds a duration to a histogram. Values outside its range count as
// the nearest limit, negative ones as 1 microsecond.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Quantiles summarizes a histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// acceptedTicket is a ticket that a daemon accepted, and its revision.
type acceptedTicket struct {
	vm       *fleet.VM
	ticket   uint64
	revision uint64
}

// Convergence is the time that accepted tickets took to take effect.
type Convergence struct {
	Tickets int `json:"tickets"`
	// Everywhere is the time until the last proxy applied the ticket, per ticket.
	Everywhere Quantiles `json:"everywhere"`
	// Stated is the time until the controller records that all reachable
	// daemons have acknowledged the ticket (event revision-in-force), per ticket.
	Stated Quantiles `json:"stated"`
	// Proxy is the time until a proxy applied a ticket, per ticket and proxy.
	Proxy Quantiles `json:"proxy"`
	// Missing counts the pairs of ticket and proxy where the proxy did not apply
	// the ticket.
	Missing int `json:"missing"`
	// Unstated counts the tickets without an event revision-in-force.
	Unstated int `json:"unstated"`
	// Rate is the rate of the run, in tickets per day.
	Rate float64 `json:"tickets_per_day"`
}

// submitChanges submits n small tickets at even intervals to the daemons in turn.
func (m *mesh) submitChanges(n int, interval time.Duration) ([]acceptedTicket, error) {
	var all []acceptedTicket
	next := time.Now()
	for i := range n {
		vm := m.vms[i%len(m.vms)]
		revision, err := m.submit(vm, m.change())
		if err != nil {
			return all, err
		}
		all = append(all, acceptedTicket{vm: vm, ticket: m.ticket, revision: revision})
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	return all, nil
}

// measureConvergence computes the convergence of tickets from the timelines of all
// daemons. A ticket is accepted when its daemon records the commit. It takes effect
// on a proxy when the proxy applies its revision or a later one. The times are
// comparable because all processes use the clock of one machine.
func (m *mesh) measureConvergence(tickets []acceptedTicket) (Convergence, error) {
	return m.measureConvergenceOn(tickets, m.vms)
}

// measureConvergenceOn is like measureConvergence, but counts only the effects on vms.
func (m *mesh) measureConvergenceOn(tickets []acceptedTicket, vms []*fleet.VM) (Convergence, error) {
	collected := observedEvents{acceptedAt: map[uint64]time.Time{}, appliedByVM: map[string][]timeline.Event{}}
	for _, vm := range m.vms {
		events, err := m.events(vm)
		if err != nil {
			return Convergence{}, err
		}
		collected.add(vm.Name, events, slices.Contains(vms, vm))
	}
	return summarizeConvergence(tickets, &collected), nil
}

// observedEvents holds the daemons' events that convergence is computed from:
// the time of acceptance by ticket number, the applied revisions by VM, and the
// revisions that a controller recorded as in force.
type observedEvents struct {
	acceptedAt  map[uint64]time.Time
	appliedByVM map[string][]timeline.Event
	inForce     []timeline.Event
}

// add collects the events of a VM. It skips the applied revisions unless effects is set.
func (o *observedEvents) add(vm string, events []timeline.Event, effects bool) {
	for i := range events {
		switch {
		case events[i].Kind == timeline.RevisionApplied && effects:
			o.appliedByVM[vm] = append(o.appliedByVM[vm], events[i])
		case events[i].Kind == timeline.RevisionInForce:
			o.inForce = append(o.inForce, events[i])
		case events[i].Kind == timeline.TicketAccepted:
			o.acceptedAt[events[i].Ticket] = events[i].At
		}
	}
}

func (m *mesh) events(vm *fleet.VM) ([]timeline.Event, error) {
	client, err := m.fleet.Client(vm)
	if err != nil {
		return nil, err
	}
	return client.Timeline(m.ctx, admin.TimelineFilter{})
}

// summarizeConvergence computes the convergence of tickets. It sorts the in-force
// events by time, as several controllers may have recorded them.
func summarizeConvergence(tickets []acceptedTicket, collected *observedEvents) Convergence {
	everywhere, proxy, stated := newHistogram(), newHistogram(), newHistogram()
	result := Convergence{Tickets: len(tickets)}
	slices.SortFunc(collected.inForce, func(a, b timeline.Event) int { return a.At.Compare(b.At) })
	for _, t := range tickets {
		start, ok := collected.acceptedAt[t.ticket]
		if !ok {
			result.Missing += len(collected.appliedByVM)
			result.Unstated++
			continue
		}
		var last time.Duration
		for _, events := range collected.appliedByVM {
			at, ok := firstEventFrom(events, t.revision)
			if !ok {
				result.Missing++
				continue
			}
			recordDuration(proxy, at.Sub(start))
			last = max(last, at.Sub(start))
		}
		recordDuration(everywhere, last)
		if at, ok := firstEventFrom(collected.inForce, t.revision); ok {
			recordDuration(stated, at.Sub(start))
		} else {
			result.Unstated++
		}
	}
	result.Everywhere = quantiles(everywhere)
	result.Proxy = quantiles(proxy)
	result.Stated = quantiles(stated)
	return result
}

// firstEventFrom returns the time of the first event with this revision or a later one.
func firstEventFrom(events []timeline.Event, revision uint64) (time.Time, bool) {
	i := slices.IndexFunc(events, func(e timeline.Event) bool { return e.Revision >= revision })
	if i < 0 {
		return time.Time{}, false
	}
	return events[i].At, true
}
