package move

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

const (
	// targetsLostAfter is how long a new version may be without ready targets
	// once it has traffic.
	targetsLostAfter = 10 * time.Second
	// shortFraction is the fraction of the targets below which the rest is
	// taken to be overloaded.
	shortFraction = 0.6
	// shortLimit bounds the time of a move during which a shortage of
	// targets suspends judgement, as a version that keeps crashing is bad.
	shortLimit = 15 * time.Second
	// shortAfter is how long after a shortage its effects are still seen.
	shortAfter = 1500 * time.Millisecond
)

// TargetWatch follows the ready targets of a ticket's new versions. It knows
// how many are cold and whether too few are left, and gives a judge its Stage.
type TargetWatch struct {
	open   *model.OpenTicket
	warmUp time.Duration
	// warm is true when the targets that are seen first are warm, because
	// they took traffic before a change of controller.
	warm     bool
	traffic  bool
	focus    uint32
	services map[string]*watchedService
	targets  map[string]TargetCount
	updated  time.Time
	// shortSpent is the time of shortages so far, shortUntil when the effects
	// of the last one end.
	shortSpent time.Duration
	shortUntil time.Time
}

type watchedService struct {
	ready, most int
	// arrivals holds since when the targets that are not warm have had traffic.
	arrivals []time.Time
	// waiting counts targets that arrived while the traffic was focused, so
	// that they may have none yet.
	waiting int
	lostAt  time.Time
}

// NewTargetWatch returns a watch of the ticket. With warm, the targets that
// it sees first are taken to be warm.
func NewTargetWatch(open *model.OpenTicket, warm bool) *TargetWatch {
	return &TargetWatch{
		open:     open,
		warmUp:   newSchedule(open).warmUp(),
		warm:     warm,
		traffic:  warm,
		services: map[string]*watchedService{},
	}
}

// Update takes the ready targets of each service, and the
// step in force. The watch keeps the map.
func (w *TargetWatch) Update(now time.Time, counts map[string]TargetCount, step Step) {
	w.targets = counts
	for _, m := range w.open.Ticket.Moves {
		s, ok := w.services[m.Service]
		if !ok {
			s = &watchedService{lostAt: now}
			if w.warm {
				s.ready = counts[m.Service].New
			}
			w.services[m.Service] = s
		}
		s.update(now, counts[m.Service].New, step.Focus)
		s.expire(now, w.warmUp)
	}
	if step.Permille > 0 && !w.traffic {
		w.startTraffic(now)
	}
	w.refocus(now, step.Focus)
	w.updateShort(now)
}

func (s *watchedService) update(now time.Time, ready int, focus uint32) {
	arrived := max(0, ready-s.ready)
	s.arrivals = append(s.arrivals, slices.Repeat([]time.Time{now}, arrived)...)
	if focus > 0 {
		s.waiting += arrived
	}
	if s.ready > 0 && ready == 0 {
		s.lostAt = now
	}
	s.ready = ready
	s.most = max(s.most, ready)
}

func (s *watchedService) expire(now time.Time, warmUp time.Duration) {
	for len(s.arrivals) > 0 && now.Sub(s.arrivals[0]) >= warmUp {
		s.arrivals = s.arrivals[1:]
	}
}

// refocus starts the warm-up of waiting targets when more targets get traffic.
func (w *TargetWatch) refocus(now time.Time, focus uint32) {
	if focus == w.focus {
		return
	}
	w.focus = focus
	for _, s := range w.services {
		s.arrivals = append(s.arrivals, slices.Repeat([]time.Time{now}, s.waiting)...)
		if focus == 0 {
			s.waiting = 0
		}
	}
}

// startTraffic restarts the warm-up. Until now the targets were ready but
// could not warm up.
func (w *TargetWatch) startTraffic(now time.Time) {
	w.traffic = true
	for _, s := range w.services {
		s.arrivals = slices.Repeat([]time.Time{now}, s.ready)
	}
}

func (w *TargetWatch) updateShort(now time.Time) {
	passed := now.Sub(w.updated)
	first := w.updated.IsZero()
	w.updated = now
	if first || !w.traffic || w.shortSpent >= shortLimit {
		return
	}
	for _, s := range w.services {
		if float64(s.ready) < shortFraction*float64(s.most) {
			w.shortSpent += passed
			w.shortUntil = now.Add(shortAfter)
			return
		}
	}
}

// Stage returns the stage at the step.
func (w *TargetWatch) Stage(now time.Time, step Step) Stage {
	return Stage{
		Permille: step.Permille,
		Focus:    step.Focus,
		Targets:  w.targets,
		Cold:     w.cold(),
		Short:    now.Before(w.shortUntil),
	}
}

// ready reports whether every service has a ready target of the new version.
func (w *TargetWatch) ready() bool {
	for _, s := range w.services {
		if s.ready == 0 {
			return false
		}
	}
	return true
}

// counts returns the ready targets of each service.
func (w *TargetWatch) counts() []int {
	var counts []int
	for _, s := range w.services {
		counts = append(counts, s.ready)
	}
	return counts
}

// lost reports whether a new version has been without targets for too long.
func (w *TargetWatch) lost(now time.Time) bool {
	for _, s := range w.services {
		if s.ready == 0 && now.Sub(s.lostAt) >= targetsLostAfter {
			return true
		}
	}
	return false
}

// cold is the largest fraction of cold targets among the services.
func (w *TargetWatch) cold() float64 {
	var cold float64
	for _, s := range w.services {
		if s.ready > 0 {
			cold = max(cold, min(1, float64(len(s.arrivals))/float64(s.ready)))
		}
	}
	return cold
}
