package routing

import "time"

const (
	// probeMaxWait is the longest queue wait that a request accepts at a target
	// while there are others to try. Trying another daemon takes a few
	// milliseconds.
	probeMaxWait = 5 * time.Millisecond
	// lateMaxWait is the longest queue wait that a request accepts after its
	// objective has passed. A longer wait would keep its caller from retrying.
	lateMaxWait = 60 * time.Millisecond
	// UnboundedWait accepts any queue wait within the objective.
	UnboundedWait = time.Duration(-1)
	// maxProbed is the number of targets that are tried for a free slot.
	maxProbed = 3
	// maxSends bounds the targets that one request is sent to.
	maxSends = 6
)

// Search looks for a target that takes one request with an objective. The
// request asks up to maxProbed targets for a free slot and queues at the one that
// should respond first: at the end, or at once when that one is known to be full.
// The daemon sends the request to each choice in turn.
type Search struct {
	Route     *Route
	Placement Placement
	// Late reports that the objective has passed.
	Late bool

	// queueing reports that the request queues at the current choice.
	queueing bool
	// queueRefused is true once a target refused to queue the request.
	queueRefused bool
	sends        int
	busyRefusals int
	maxWait      time.Duration
	// failed holds the targets that the request reached or whose daemon has no
	// target for it. They get it only once: a target may send its refusal again,
	// and a second attempt there would take that for its own response.
	failed []*Target
}

// First chooses the first target. It returns false when the service has no ready
// target that may take the request.
func (s *Search) First(now time.Time, c *Chooser) (Choice, bool) {
	choice, ok := c.Place(now, s.Route, s.Placement)
	if !ok {
		return choice, false
	}
	return s.send(c, choice, len(choice.Version.Targets) == 1 || !choice.Target.MayHaveSlot(now)), true
}

// Next chooses the next target after the request did not run at the last one.
// busy reports that the last one refused it for lack of capacity. It returns
// false when the request should be refused.
func (s *Search) Next(now time.Time, c *Chooser, last Choice, tried []*Target, busy bool) (Choice, bool) {
	if busy {
		s.busyRefusals++
		s.queueRefused = s.queueRefused || s.queueing
	} else {
		s.failed = append(s.failed, last.Target)
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
	best := c.Cheapest(now, last.Version, s.failed, s.Placement)
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
	case queueing && s.Late:
		s.maxWait = lateMaxWait
	case queueing:
		s.maxWait = UnboundedWait
	case choice.Target.Endpoint.Domain == c.domain && !s.Late:
		s.maxWait = max(probeMaxWait, s.Placement.crossDomainCost())
	default:
		s.maxWait = probeMaxWait
	}
	return choice
}

// placeFree chooses the untried target of the version with the lowest expected
// cost among those that may have a slot.
func (s *Search) placeFree(now time.Time, c *Chooser, v *Version, tried []*Target) (Choice, bool) {
	target := c.cheapestWith(now, v, tried, s.Placement, func(t *Target) bool { return t.MayHaveSlot(now) })
	return Choice{Service: v.service, Version: v, Target: target}, target != nil
}
