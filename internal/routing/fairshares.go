package routing

import (
	"math"
	"time"
)

const (
	// demandPeriod is the period over which the demand of tenants and kinds is
	// summed up.
	demandPeriod = 5 * time.Second
	// servedAging is the time constant with which served slot time ages. With 5 s, a
	// less urgent tenant got nothing in the first 5 s of a shortage.
	servedAging = 1500 * time.Millisecond
	// usualSmoothing is the weight of the latest period in the usual demand.
	usualSmoothing = 0.2
	// maxUsualGrowth bounds the demand of a period that counts for the usual demand,
	// as a multiple of it: a tenant that sends eight times its usual demand for two
	// periods gains 1.44 times its usual share.
	maxUsualGrowth = 2
	// learningPeriods is the number of the first periods that are averaged without
	// that bound.
	learningPeriods = 3
	// minFlowWeight is the smallest weight as a fraction of the mean weight, so that
	// tenants that are new or rarely send are not kept waiting.
	minFlowWeight = 0.25
	// starvedFraction is the served part of the usual demand, as a fraction of the
	// mean, below which a kind or tenant goes first. The operators require a quarter.
	starvedFraction = 0.3
	// creditTime is the time over which a tenant may use its share unevenly. Without
	// it, a tenant that sends 3 requests/s was refused one in nine of them while another
	// one sent eight times its usual demand.
	creditTime = 2 * time.Second
	// maxFlows bounds the tenants or kinds that are told apart.
	maxFlows = 1024
)

// flow holds the demand and the use of slot time of one tenant, or of one kind of
// request. Demand and use are in seconds of slot time.
type flow struct {
	// usual is the usual demand in a demandPeriod, and demand that of the current one.
	usual, demand float64
	periods       int
	// served is the aged slot time that the flow has received, at servedAt.
	served   float64
	servedAt time.Time
	// finish is the virtual time at which the flow has used the slot time that its
	// requests have received.
	finish float64
	// next is the virtual start of the next waiter of the flow during a scan of the
	// queue, and valid for the scan.
	next float64
	scan uint64
}

// flowSet holds the flows of all tenants or of all kinds.
type flowSet struct {
	byName map[string]*flow
	// meanUsual is the mean usual demand.
	meanUsual float64
	total     flow
}

func (s *flowSet) get(name string) *flow {
	f := s.byName[name]
	if f == nil {
		if len(s.byName) >= maxFlows {
			name = ""
			if f = s.byName[name]; f != nil {
				return f
			}
		}
		f = &flow{}
		s.byName[name] = f
	}
	return f
}

// endPeriod updates the usual demands. It forgets flows without demand.
func (s *flowSet) endPeriod() {
	s.total.usual = 0
	for name, f := range s.byName {
		f.endPeriod()
		if f.usual < 1e-6 {
			delete(s.byName, name)
			continue
		}
		s.total.usual += f.usual
	}
	s.meanUsual = s.total.usual / float64(max(1, len(s.byName)))
}

func (f *flow) endPeriod() {
	f.periods++
	if f.periods <= learningPeriods {
		f.usual += (f.demand - f.usual) / float64(f.periods)
	} else {
		f.usual += usualSmoothing * (min(f.demand, maxUsualGrowth*f.usual) - f.usual)
	}
	f.demand = 0
}

func (f *flow) addServed(now time.Time, slotTime float64) {
	f.served = f.agedServed(now) + slotTime
	f.servedAt = now
}

func (f *flow) agedServed(now time.Time) float64 {
	if f.served == 0 {
		return 0
	}
	return f.served * math.Exp(-float64(now.Sub(f.servedAt))/float64(servedAging))
}

// starved reports whether the flow receives a much smaller part of its usual demand
// than the mean.
func (s *flowSet) starved(now time.Time, f *flow) bool {
	if f.usual == 0 || s.total.usual == 0 {
		return false
	}
	return f.agedServed(now)/f.usual < starvedFraction*s.total.agedServed(now)/s.total.usual
}

// weight returns the share of a flow, relative to the mean share.
func (s *flowSet) weight(f *flow) float64 {
	if s.meanUsual == 0 {
		return 1
	}
	return max(minFlowWeight, f.usual/s.meanUsual)
}

// fairShares gives the tenants of one priority shares of the slot time in proportion to
// their usual demand, by start-time fair queueing (Goyal, Vin and Cheng, 1996). Usual
// demand is learned, because equal shares would refuse almost all requests of the
// largest tenant under a general shortage. A kind or tenant that strict priorities
// starve goes first until it has its smallest share.
type fairShares struct {
	tenants, kinds flowSet
	// virtual is the virtual start of the last admitted request.
	virtual     float64
	slots       int
	periodStart time.Time
	scans       uint64
}

func newFairShares(now time.Time, slots int) *fairShares {
	return &fairShares{
		slots: slots, tenants: flowSet{byName: map[string]*flow{}}, kinds: flowSet{byName: map[string]*flow{}}, periodStart: now,
	}
}

// describe sets the fields of the waiter that order it among the tenants. It does
// not count its demand.
func (f *fairShares) describe(now time.Time, w *Waiter) {
	if now.Sub(f.periodStart) >= demandPeriod {
		f.periodStart = now
		f.tenants.endPeriod()
		f.kinds.endPeriod()
	}
	if w.cost == 0 {
		w.cost = defaultPace.Seconds()
	}
	w.tenant, w.kindFlow = f.tenants.get(w.Tenant), f.kinds.get(w.Kind)
	w.promoted = f.kinds.starved(now, w.kindFlow) || f.tenants.starved(now, w.tenant)
}

// countDemand counts the demand of a described waiter that arrives.
func (f *fairShares) countDemand(w *Waiter) {
	w.tenant.demand += w.cost
	w.kindFlow.demand += w.cost
}

// admitted charges the tenant for the expected slot time of the waiter.
func (f *fairShares) admitted(now time.Time, w *Waiter) {
	start := f.account(w.tenant)
	f.virtual = max(f.virtual, start)
	w.weight = f.tenants.weight(w.tenant)
	w.tenant.finish = start + w.cost/w.weight
	for _, served := range []*flow{w.tenant, &f.tenants.total, w.kindFlow, &f.kinds.total} {
		served.addServed(now, w.cost)
	}
}

// released replaces the expected slot time in the tenant's account by the used one.
func (f *fairShares) released(w *Waiter, used time.Duration) {
	w.tenant.finish += (used.Seconds() - w.cost) / w.weight
}

// account returns the virtual start of the tenant's next request. It is before the
// virtual time by at most creditTime of the tenant's share.
func (f *fairShares) account(t *flow) float64 {
	credit := creditTime.Seconds() * float64(f.slots) / float64(max(1, len(f.tenants.byName)))
	return max(f.virtual-credit, t.finish)
}

// start returns the virtual start of the flow's next waiter in the current scan. Those
// of all tenants that have not used their shares are equal.
func (f *fairShares) start(t *flow) float64 {
	if t.scan != f.scans {
		t.scan, t.next = f.scans, f.account(t)
	}
	return max(f.virtual, t.next)
}

// pass moves the virtual start of the tenant's next waiter past w.
func (f *fairShares) pass(w *Waiter) {
	f.start(w.tenant)
	w.tenant.next += w.cost / f.tenants.weight(w.tenant)
}

// sameGroup reports whether two waiters of a class compete by the shares of their
// tenants.
func sameGroup(a, b *Waiter) bool {
	return a.promoted == b.promoted && a.Priority == b.Priority && a.ServerCall == b.ServerCall
}

// first returns the index of the waiter that gets the next slot: the first one of the
// tenant with the earliest virtual start in the first group.
func (f *fairShares) first(waiters []*Waiter) int {
	f.scans++
	best := 0
	for i, w := range waiters {
		if !sameGroup(w, waiters[0]) {
			break
		}
		if f.start(w.tenant) < f.start(waiters[best].tenant) {
			best = i
		}
	}
	return best
}

// countAhead returns how many of the waiters of its class go before a new request.
func (f *fairShares) countAhead(w *Waiter, waiters []*Waiter) int {
	n, group := 0, []*Waiter(nil)
	for i, other := range waiters {
		if sameGroup(w, other) {
			if group == nil {
				group = waiters[i:]
			}
		} else if !goesBefore(w, other) {
			n++
		}
	}
	start := f.startOf(w, group)
	f.scans++
	for _, other := range group {
		if !sameGroup(w, other) {
			break
		}
		at := f.start(other.tenant)
		if at < start || at == start && !goesBefore(w, other) {
			n++
		}
		f.pass(other)
	}
	return n
}

// startOf returns the virtual start of a new request behind the waiters of its own
// tenant.
func (f *fairShares) startOf(w *Waiter, group []*Waiter) float64 {
	f.scans++
	for _, other := range group {
		if !sameGroup(w, other) {
			break
		}
		if other.tenant == w.tenant && !goesBefore(w, other) {
			f.pass(other)
		}
	}
	return f.start(w.tenant)
}

// victim returns the index of the waiter that a full queue drops in favor of w: the
// last one of the tenant whose waiters reach furthest beyond its share. It returns -1
// when w itself would be that one.
func (f *fairShares) victim(w *Waiter, waiters []*Waiter) int {
	f.scans++
	found, furthest := -1, 0.0
	for i, other := range waiters {
		if !sameGroup(w, other) {
			continue
		}
		if f.pass(other); other.tenant.next > furthest {
			found, furthest = i, other.tenant.next
		}
	}
	if found < 0 || furthest <= f.start(w.tenant)+w.cost/f.tenants.weight(w.tenant) {
		return -1
	}
	return found
}
