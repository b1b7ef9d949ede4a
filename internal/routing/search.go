package routing

import (
	"math"
	"time"
)

const (
	// probeMaxWait is the longest queue wait that a request accepts at a target
	// while there are others to try. Trying another daemon takes a few
	// milliseconds.
	probeMaxWait = 5 * time.Millisecond
	// UnboundedWait accepts any queue wait within the objective.
	UnboundedWait = time.Duration(-1)
	// maxProbed is the number of targets that are tried for a free slot.
	maxProbed = 3
	// maxSends bounds the targets that one request is sent to.
	maxSends = 6
	// lateReserveFraction is the fraction of the slots that requests do not get
	// when they will miss their objective. While a target is short of slots, each
	// of these requests would make another one miss its objective too.
	lateReserveFraction = 0.1
)

// lateReserve returns the number of slots that are kept for requests that can
// meet their objective.
func lateReserve(slots float64) float64 { return math.Round(lateReserveFraction * slots) }

// Search looks for a target that takes one request with an objective. The
// request asks up to maxProbed targets for a free slot and queues at the one that
// should respond first: at the end, or at once when that one is known to be full.
// The daemon sends the request to each choice in turn.
type Search struct {
	Route     *Route
	Placement Placement
	// Due is the time by which the caller wants the response.
	Due time.Time

	// queueing reports that the request queues at the current choice.
	queueing bool
	// queueRefused is true once a target refused to queue the request.
	queueRefused bool
	sends        int
	busyRefusals int
	maxWait      time.Duration
}

// First chooses the first target. It returns false when the service has no ready
// target that may take the request.
func (s *Search) First(now time.Time, c *Chooser) (Choice, bool) {
	choice, ok := c.Place(now, s.Route, s.Placement)
	if !ok {
		return choice, false
	}
	full := !s.mayHaveSlot(now, choice.Target)
	if full && s.late(now, choice.Target) {
		if free, ok := s.placeFree(now, c, choice.Version, nil); ok {
			choice, full = free, false
		}
	}
	return s.send(c, choice, full || len(choice.Version.Targets) == 1), true
}

// Next chooses the next target after the request did not run at the last one.
// busy reports that the last one refused it for lack of capacity. It returns
// false when the request should be refused.
func (s *Search) Next(now time.Time, c *Chooser, last Choice, tried []*Target, busy bool) (Choice, bool) {
	if busy {
		s.busyRefusals++
		s.queueRefused = s.queueRefused || s.queueing
	}
	switch {
	case s.sends >= maxSends || s.busyRefusals > maxProbed:
		return Choice{}, false
	case s.queueing && !busy:
		next, ok := c.PlaceRetry(now, s.Route, last.Version, tried, s.Placement)
		return s.send(c, next, true), ok
	case s.queueRefused || s.busyRefusals < maxProbed:
		if next, ok := s.placeFree(now, c, last.Version, tried); ok {
			return s.send(c, next, false), true
		}
	}
	if s.queueRefused {
		return Choice{}, false
	}
	best := c.Cheapest(now, last.Version, nil, s.Placement)
	return s.send(c, Choice{Service: last.Service, Version: last.Version, Target: best}, true), best != nil
}

// MaxWait returns the longest queue wait that the request accepts at the current
// choice.
func (s *Search) MaxWait() time.Duration { return s.maxWait }

// send records the current choice. A request that asks a target of its own
// failure domain for a slot waits there for as long as sending it to another
// domain costs.
func (s *Search) send(c *Chooser, choice Choice, queueing bool) Choice {
	s.sends++
	s.queueing = queueing
	switch {
	case queueing:
		s.maxWait = UnboundedWait
	case choice.Target.Endpoint.Domain == c.domain:
		s.maxWait = max(probeMaxWait, s.Placement.crossDomainCost())
	default:
		s.maxWait = probeMaxWait
	}
	return choice
}

// placeFree chooses the untried target of the version with the lowest expected
// cost among those that may have a slot.
func (s *Search) placeFree(now time.Time, c *Chooser, v *Version, tried []*Target) (Choice, bool) {
	target := c.cheapestWith(now, v, tried, s.Placement, func(t *Target) bool { return s.mayHaveSlot(now, t) })
	return Choice{Service: v.service, Version: v, Target: target}, target != nil
}

// mayHaveSlot reports whether the target may have a slot for the request: false
// only when it has recently reported that it has none.
func (s *Search) mayHaveSlot(now time.Time, t *Target) bool {
	if s.late(now, t) {
		return t.MayHaveSlot(now, lateReserve(t.slots()))
	}
	return t.MayHaveSlot(now, 0)
}

// late reports whether the request will miss its objective even if it gets a
// slot of the target now.
func (s *Search) late(now time.Time, t *Target) bool {
	return now.Add(t.counters.kindPaces.current(now, s.Placement.Kind)).After(s.Due)
}
