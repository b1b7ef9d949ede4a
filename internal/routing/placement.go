package routing

import (
	"time"
)

const (
	// placementCandidates bounds the targets that are compared for a request.
	placementCandidates = 16
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
	// distanceCost is the cost of another failure domain: a round trip on each
	// of the two hops, and the price of traffic between domains.
	distanceCost = 8 * time.Millisecond
	// byteCost is the cost of a kilobyte that goes to another failure domain.
	byteCost = 1500 * time.Microsecond
	// maxByteCost keeps long bodies from waiting past their objective.
	maxByteCost = 90 * time.Millisecond
)

// Placement says what matters for the choice of a request's target.
type Placement struct {
	// Bytes is the expected size of the body and the answer.
	Bytes int64
}

// Placer chooses the target with the least expected time to finish. Its zero
// value is not usable; see Chooser.Place.
type placer struct {
	domain string
	now    time.Time
	// pace stands in for targets that have not reported theirs.
	pace  time.Duration
	bytes int64
}

func newPlacer(domain string, now time.Time, targets []*Target, p Placement) placer {
	return placer{domain: domain, now: now, pace: meanPace(now, targets), bytes: p.Bytes}
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
	cost += t.failing() * float64(failureCost)
	return time.Duration(cost) + p.distance(t)
}

func (p *placer) distance(t *Target) time.Duration {
	if t.Endpoint.Domain == p.domain {
		return 0
	}
	return distanceCost + min(maxByteCost, time.Duration(p.bytes)*byteCost/1024)
}

// Place chooses as First does, but by the least expected cost of a sample of
// the targets.
func (c *Chooser) Place(now time.Time, r *Route, p Placement) (Choice, bool) {
	service := c.chooseService(r)
	version := c.chooseVersion(r, service)
	if version == nil {
		return Choice{Service: service}, false
	}
	target := c.cheapest(now, version.Targets, p)
	return Choice{Service: service, Version: version, Target: target}, target != nil
}

// PlaceAgain chooses as Again does, by cost.
func (c *Chooser) PlaceAgain(now time.Time, r *Route, last *Version, tried []*Target, p Placement) (Choice, bool) {
	return c.again(r, last, tried, func(left []*Target) *Target { return c.cheapest(now, left, p) })
}

// Cheapest returns the target with the least expected cost, or nil.
func (c *Chooser) Cheapest(now time.Time, targets []*Target, p Placement) *Target {
	return c.cheapest(now, targets, p)
}

func (c *Chooser) cheapest(now time.Time, targets []*Target, p Placement) *Target {
	targets = withoutEjected(now, targets)
	if len(targets) == 0 {
		return nil
	}
	placer := newPlacer(c.domain, now, targets, p)
	start, n := c.random.IntN(len(targets)), min(len(targets), placementCandidates)
	var best *Target
	var least time.Duration
	for i := range n {
		t := targets[(start+i)%len(targets)]
		if cost := placer.cost(t); best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}
