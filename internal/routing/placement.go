package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// defaultPace is the pace assumed when no compared target has a known pace.
	defaultPace = 100 * time.Millisecond
	// loadSlowdown is the fraction of its pace by which a target slows down
	// between idle and full. Some targets slow down when they are nearly full.
	loadSlowdown = 0.25
	// coldSlowdownFactor is the factor by which a cold target is slower.
	coldSlowdownFactor = 2
	// failureCost is the cost of a request that fails with certainty: the time
	// in which another target would have responded.
	failureCost = 500 * time.Millisecond
	// crossDomainBaseCost is the cost of sending a request of any size to
	// another failure domain: the network latency of a few milliseconds, and
	// the price of traffic between domains, which is the larger part. At half
	// of this cost, up to a third more bytes left their domain, and no more
	// requests were served.
	crossDomainBaseCost = 60 * time.Millisecond
	// staleReportAge is the age from which a report does not indicate whether a
	// slot is free now. Requests hold slots for 30 to 300 ms.
	staleReportAge = 500 * time.Millisecond
	// maxUtilization bounds the utilization from which the mean wait is
	// computed, since the wait grows without bound as the utilization
	// approaches 1.
	maxUtilization = 0.92
	// crossDomainCostPerKB is the cost of each kilobyte sent to another failure
	// domain.
	crossDomainCostPerKB = 3 * time.Millisecond
	// maxCrossDomainSizeCost bounds the cost of long bodies.
	maxCrossDomainSizeCost = 250 * time.Millisecond
	// crossDomainObjectiveFraction and sizeObjectiveFraction bound both costs
	// to a fraction of the objective, so that a request does not miss its
	// objective to stay in the failure domain.
	crossDomainObjectiveFraction = 0.25
	sizeObjectiveFraction        = 0.25
)

// Placement holds the properties of a request that affect the choice of its
// target.
type Placement struct {
	// Kind is the name of the route. Targets report their pace for each kind.
	Kind string
	// Bytes is the expected total size of the request and response bodies.
	Bytes int64
	// Objective is the latency that callers want; zero means that none is set.
	Objective time.Duration
	// Work is the expected work of the request; zero when it is not known.
	Work time.Duration
	// CallerLink is how long the bodies take over the link of the daemon's own VM,
	// including the wait for it. A target on that VM is reached without the link.
	CallerLink time.Duration
}

// costEstimator estimates the cost of targets for one request as a time.
type costEstimator struct {
	domain string
	vm     string
	now    time.Time
	kind   string
	// pace and kindPace are used for targets that have not reported theirs. They
	// are the means over the compared targets.
	pace     time.Duration
	kindPace time.Duration
	// crossDomainCost is the cost of sending the request to another failure
	// domain.
	crossDomainCost time.Duration
	// bytes is the number of bytes that cross the links of both VMs.
	bytes int64
	// work is the expected work of the request, or zero.
	work       time.Duration
	callerLink time.Duration
}

func (c *Chooser) newCostEstimator(now time.Time, targets []*Target, p Placement) costEstimator {
	pace := meanOfKnown(targets, func(t *Target) time.Duration { return t.currentPace(now) })
	if pace == 0 {
		pace = defaultPace
	}
	return costEstimator{
		domain: c.domain, vm: c.vm, now: now, kind: p.Kind, pace: pace,
		kindPace:        meanOfKnown(targets, func(t *Target) time.Duration { return t.counters.kindPaces.current(now, p.Kind) }),
		crossDomainCost: p.crossDomainCost(), bytes: p.Bytes, work: p.Work, callerLink: p.CallerLink,
	}
}

// crossDomainCost returns the cost of sending the request to another failure
// domain.
func (p Placement) crossDomainCost() time.Duration {
	domainCost, sizeCost := crossDomainBaseCost, min(maxCrossDomainSizeCost, time.Duration(p.Bytes)*crossDomainCostPerKB/1024)
	if p.Objective > 0 {
		domainCost = min(domainCost, time.Duration(crossDomainObjectiveFraction*float64(p.Objective)))
		sizeCost = min(sizeCost, time.Duration(sizeObjectiveFraction*float64(p.Objective)))
	}
	return domainCost + sizeCost
}

// meanOfKnown returns the mean of the targets' paces that are known, or zero when
// none is.
func meanOfKnown(targets []*Target, paceOf func(*Target) time.Duration) time.Duration {
	var sum time.Duration
	known := 0
	for _, t := range targets {
		if pace := paceOf(t); pace > 0 {
			sum += pace
			known++
		}
	}
	return sum / time.Duration(max(1, known))
}

// paces returns the mean time that the target takes for a request of any kind,
// and for one of the request's kind.
func (e *costEstimator) paces(t *Target) (mean, ofKind time.Duration) {
	mean = t.currentPace(e.now)
	if mean == 0 {
		mean = e.pace
	}
	ofKind = t.counters.kindPaces.current(e.now, e.kind)
	switch {
	case ofKind > 0:
	case e.kindPace > 0:
		ofKind = e.kindPace
	default:
		ofKind = mean
	}
	return mean, ofKind
}

// cost returns the expected time until the target responds, plus the costs of
// failures and of traffic between domains, expressed as times.
func (e *costEstimator) cost(t *Target) time.Duration {
	pace, kindPace := e.paces(t)
	if t.warmUpFraction(e.now) < 1 {
		pace *= coldSlowdownFactor
		kindPace *= coldSlowdownFactor
	}
	if t.limitedCold(e.now) {
		// The target takes a request each 1/ColdPerSecond, as if requests held each of its
		// slots for longer.
		pace = max(pace, time.Duration(t.slots()/t.Endpoint.Target.ColdPerSecond*float64(time.Second)))
	}
	busy := t.occupancy(e.now)
	if e.work > 0 {
		kindPace = e.workTime(t)
	}
	cost := float64(kindPace) * (1 + loadSlowdown*min(1, busy))
	if e.work > 0 && t.tellsWork(e.now) {
		cost += float64(e.workWait(t, busy, kindPace))
	} else if excess := busy + 1/t.slots() - 1; excess > 0 {
		cost += float64(pace) * excess
	}
	cost += float64(pace) * staleness(t.reportAge(e.now)) * meanWait(busy, t.slots())
	cost += t.recentFailureRate() * float64(failureCost)
	if e.vm == "" || t.Endpoint.VM != e.vm {
		cost += float64(t.linkTime(e.now, e.bytes) + e.callerLink)
	}
	return time.Duration(cost) + e.domainCost(t)
}

// staleness returns, from 0 to 1, to what degree a report of the age only
// describes the target's mean load and no longer whether a slot is free now.
func staleness(age time.Duration) float64 {
	return min(1, float64(age)/float64(staleReportAge))
}

// meanWait approximates the mean wait for one of the slots, in units of the
// mean time that a request holds a slot (Sakasegawa, 1977). It spreads requests
// before the best targets are full: in a large mesh, each daemon rarely gets a
// report of a target, and all daemons prefer the same targets.
func meanWait(busy, slots float64) float64 {
	busy = min(busy, maxUtilization)
	return math.Pow(busy, math.Sqrt(2*(slots+1))-1) / (slots * (1 - busy))
}

func (e *costEstimator) domainCost(t *Target) time.Duration {
	if t.Endpoint.Domain == e.domain {
		return 0
	}
	return e.crossDomainCost
}

// Place chooses like ChooseFirst, but takes the target with the lowest expected
// cost in a sample of the targets.
func (c *Chooser) Place(now time.Time, r *Route, p Placement) (Choice, bool) {
	service := c.chooseService(r)
	version := c.chooseVersion(r, service)
	if version == nil {
		return Choice{Service: service}, false
	}
	target := c.Cheapest(now, version, nil, p)
	return Choice{Service: service, Version: version, Target: target}, target != nil
}

// PlaceRetry chooses like ChooseRetry, but by expected cost.
func (c *Chooser) PlaceRetry(now time.Time, r *Route, last *Version, tried []*Target, p Placement) (Choice, bool) {
	return c.chooseRetry(r, last, tried, func(v *Version) *Target { return c.Cheapest(now, v, tried, p) })
}

// Cheapest returns the target with the lowest expected cost in a sample of the
// targets that were not tried, or nil.
func (c *Chooser) Cheapest(now time.Time, v *Version, tried []*Target, p Placement) *Target {
	return c.cheapestWith(now, v, tried, p, func(*Target) bool { return true })
}

// cheapestWith is Cheapest among the targets that are allowed.
func (c *Chooser) cheapestWith(now time.Time, v *Version, tried []*Target, p Placement, allowed func(*Target) bool) *Target {
	drawn := slices.DeleteFunc(sample(c.random, v, c.domain, tried), func(t *Target) bool { return !allowed(t) })
	drawn = withoutEjected(now, drawn)
	estimator := c.newCostEstimator(now, drawn, p)
	drawn = c.thinCold(now, drawn, &estimator)
	var best *Target
	var lowest time.Duration
	for _, t := range drawn {
		if cost := estimator.cost(t); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}
