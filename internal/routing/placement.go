package routing

import (
	"math"
	"time"
)

const (
	// unknownPace stands in while no target of a version has reported its pace.
	unknownPace = 100 * time.Millisecond
	// crowding is the part of its pace by which a target slows down from idle
	// to full. Some targets slow down when they are nearly full.
	crowding = 0.25
	// coldFactor is how much longer a cold target takes.
	coldFactor = 2
	// failureCost is the cost of a certain failure: the time in which callers
	// would have had an answer elsewhere.
	failureCost = 500 * time.Millisecond
	// distanceCost is the cost of another failure domain: the way there, a few
	// milliseconds, and the price of traffic between domains, which is most of it.
	// At half of it, up to a third more bytes left their domain, and no more
	// requests were served.
	distanceCost = 60 * time.Millisecond
	// staleAfter is the age from which a report says nothing about a slot that
	// is free now. Requests hold slots for 30 to 300 ms.
	staleAfter = 500 * time.Millisecond
	// maxBusy bounds the occupied part that the mean wait is computed from,
	// since the wait has no bound when it comes near one.
	maxBusy = 0.92
	// byteCost is the cost of a kilobyte that goes to another failure domain.
	byteCost = 3 * time.Millisecond
	// maxByteCost bounds the cost of long bodies.
	maxByteCost = 250 * time.Millisecond
	// distancePart and bytePart bound both costs by the objective, so that a
	// request does not miss it in order to stay near.
	distancePart = 0.25
	bytePart     = 0.25
)

// Placement says what matters for the choice of a request's target.
type Placement struct {
	// Bytes is the expected size of the body and the answer.
	Bytes int64
	// Objective is the latency that callers want; zero means that they did not say.
	Objective time.Duration
}

// placer compares targets for one request by their expected time to finish.
type placer struct {
	domain string
	vm     string
	now    time.Time
	// pace stands in for targets that have not reported theirs. It is the mean of
	// the compared ones.
	pace time.Duration
	// away is the cost of another failure domain.
	away time.Duration
	// bytes is what crosses the links of both VMs.
	bytes int64
}

func (c *Chooser) newPlacer(now time.Time, targets []*Target, p Placement) placer {
	return placer{domain: c.domain, vm: c.vm, now: now, pace: meanPace(now, targets), away: p.away(), bytes: p.Bytes}
}

// away is the cost of sending the request to another failure domain.
func (p Placement) away() time.Duration {
	distance, long := distanceCost, min(maxByteCost, time.Duration(p.Bytes)*byteCost/1024)
	if p.Objective > 0 {
		distance = min(distance, time.Duration(distancePart*float64(p.Objective)))
		long = min(long, time.Duration(bytePart*float64(p.Objective)))
	}
	return distance + long
}

func meanPace(now time.Time, targets []*Target) time.Duration {
	var sum time.Duration
	known := 0
	for _, t := range targets {
		if p := t.paceOf(now); p > 0 {
			sum += p
			known++
		}
	}
	if known == 0 {
		return unknownPace
	}
	return sum / time.Duration(known)
}

// cost is the expected time until the target answers, with what else its
// choice costs, as a time.
func (p *placer) cost(t *Target) time.Duration {
	pace := t.paceOf(p.now)
	if pace == 0 {
		pace = p.pace
	}
	if t.warmth(p.now) < 1 {
		pace *= coldFactor
	}
	busy := t.occupancy(p.now)
	cost := float64(pace) * (1 + crowding*min(1, busy))
	if over := busy + 1/t.slots() - 1; over > 0 {
		cost += float64(pace) * over
	}
	cost += float64(pace) * staleness(t.reportAge(p.now)) * meanWait(busy, t.slots())
	cost += t.failing() * float64(failureCost)
	if p.vm == "" || t.Endpoint.VM != p.vm {
		cost += float64(t.linkTime(p.now, p.bytes))
	}
	return time.Duration(cost) + p.distance(t)
}

// staleness is how far a report of the age says only how busy the target is on
// the mean, and not whether it has a free slot now.
func staleness(age time.Duration) float64 {
	return min(1, float64(age)/float64(staleAfter))
}

// meanWait approximates the mean wait for one of the slots, in units of the
// mean time that a request holds one (Sakasegawa, 1977). It spreads requests
// before the targets that look best are full: in a large mesh, each daemon
// hears of a target rarely, and all of them prefer the same ones.
func meanWait(busy, slots float64) float64 {
	busy = min(busy, maxBusy)
	return math.Pow(busy, math.Sqrt(2*(slots+1))-1) / (slots * (1 - busy))
}

func (p *placer) distance(t *Target) time.Duration {
	if t.Endpoint.Domain == p.domain {
		return 0
	}
	return p.away
}

// Place chooses as First does, but by the least expected cost of a sample of
// the targets.
func (c *Chooser) Place(now time.Time, r *Route, p Placement) (Choice, bool) {
	service := c.chooseService(r)
	version := c.chooseVersion(r, service)
	if version == nil {
		return Choice{Service: service}, false
	}
	target := c.Cheapest(now, version, nil, p)
	return Choice{Service: service, Version: version, Target: target}, target != nil
}

// PlaceAgain chooses as Again does, by cost.
func (c *Chooser) PlaceAgain(now time.Time, r *Route, last *Version, tried []*Target, p Placement) (Choice, bool) {
	return c.again(r, last, tried, func(v *Version) *Target { return c.Cheapest(now, v, tried, p) })
}

// Cheapest returns the target with the least expected cost of a sample of those
// that were not tried, or nil.
func (c *Chooser) Cheapest(now time.Time, v *Version, tried []*Target, p Placement) *Target {
	drawn := withoutEjected(now, sample(c.random, v, c.domain, tried))
	placer := c.newPlacer(now, drawn, p)
	var best *Target
	var least time.Duration
	for _, t := range drawn {
		if cost := placer.cost(t); best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}
