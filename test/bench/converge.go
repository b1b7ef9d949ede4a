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
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, digits) }

// record counts a duration; negative ones count as the smallest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Quantiles summarise a histogram, in milliseconds.
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

// accepted is a ticket that a daemon accepted.
type accepted struct {
	vm       *fleet.VM
	ticket   uint64
	revision uint64
}

// Convergence says how long accepted tickets took to take effect.
type Convergence struct {
	Tickets int `json:"tickets"`
	// Everywhere is the time until the last proxy had the ticket, per ticket.
	Everywhere Quantiles `json:"everywhere"`
	// Stated is the time until the controller states that all reachable
	// daemons have acknowledged the ticket, per ticket.
	Stated Quantiles `json:"stated"`
	// Proxy is the time per ticket and proxy.
	Proxy Quantiles `json:"proxy"`
	// Missing counts pairs of ticket and proxy without effect.
	Missing int `json:"missing"`
	// Unstated counts tickets without a statement.
	Unstated int `json:"unstated"`
	// Rate is the number of tickets a day at the rate of the run.
	Rate float64 `json:"tickets_per_day"`
}

// submitMany accepts changes at even intervals, each at another daemon.
func (m *mesh) submitMany(n int, interval time.Duration) ([]accepted, error) {
	var all []accepted
	next := time.Now()
	for i := range n {
		vm := m.vms[i%len(m.vms)]
		revision, err := m.submit(vm, m.change())
		if err != nil {
			return all, err
		}
		all = append(all, accepted{vm: vm, ticket: m.ticket, revision: revision})
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	return all, nil
}

// converge compares the time lines of the daemons: a ticket is accepted when
// its daemon learned of the commit, and takes effect on a proxy in the step
// that applies its revision or a later one. All clocks are of one machine.
func (m *mesh) converge(tickets []accepted) (Convergence, error) {
	return m.convergeOn(tickets, m.vms)
}

// convergeOn is converge with only the effects on some VMs.
func (m *mesh) convergeOn(tickets []accepted, vms []*fleet.VM) (Convergence, error) {
	seen := observed{accepted: map[uint64]time.Time{}, applied: map[string][]timeline.Event{}}
	for _, vm := range m.vms {
		events, err := m.events(vm)
		if err != nil {
			return Convergence{}, err
		}
		seen.add(vm.Name, events, slices.Contains(vms, vm))
	}
	return summarize(tickets, &seen), nil
}

// observed holds the events of all daemons that convergence is made from.
type observed struct {
	accepted map[uint64]time.Time
	applied  map[string][]timeline.Event
	stated   []timeline.Event
}

func (o *observed) add(vm string, events []timeline.Event, effects bool) {
	for i := range events {
		switch {
		case events[i].Kind == timeline.RevisionApplied && effects:
			o.applied[vm] = append(o.applied[vm], events[i])
		case events[i].Kind == timeline.RevisionInForce:
			o.stated = append(o.stated, events[i])
		case events[i].Kind == timeline.TicketAccepted:
			o.accepted[events[i].Ticket] = events[i].At
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

func summarize(tickets []accepted, seen *observed) Convergence {
	everywhere, proxy, stated := newHistogram(), newHistogram(), newHistogram()
	result := Convergence{Tickets: len(tickets)}
	slices.SortFunc(seen.stated, func(a, b timeline.Event) int { return a.At.Compare(b.At) })
	for _, t := range tickets {
		start, ok := seen.accepted[t.ticket]
		if !ok {
			result.Missing += len(seen.applied)
			result.Unstated++
			continue
		}
		var last time.Duration
		for _, events := range seen.applied {
			at, ok := effectOf(events, t.revision)
			if !ok {
				result.Missing++
				continue
			}
			record(proxy, at.Sub(start))
			last = max(last, at.Sub(start))
		}
		record(everywhere, last)
		if at, ok := effectOf(seen.stated, t.revision); ok {
			record(stated, at.Sub(start))
		} else {
			result.Unstated++
		}
	}
	result.Everywhere = quantiles(everywhere)
	result.Proxy = quantiles(proxy)
	result.Stated = quantiles(stated)
	return result
}

func effectOf(events []timeline.Event, revision uint64) (time.Time, bool) {
	i := slices.IndexFunc(events, func(e timeline.Event) bool { return e.Revision >= revision })
	if i < 0 {
		return time.Time{}, false
	}
	return events[i].At, true
}
