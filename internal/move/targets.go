package move

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

const (
	// noTargetsTimeout is how long a new version that has traffic may be without
	// ready targets.
	noTargetsTimeout = 10 * time.Second
	// shortageFraction is the fraction of the highest number of ready targets below
	// which the remaining targets are assumed to be overloaded.
	shortageFraction = 0.6
	// maxShortageTime bounds the total time of a move during which a shortage of
	// targets suspends judgement, because a version that keeps crashing is bad.
	maxShortageTime = 15 * time.Second
	// shortageAftermath is how long the effects of a shortage last after its end.
	shortageAftermath = 1500 * time.Millisecond
)

// TargetTracker tracks the ready targets of a ticket's new versions. It computes
// how many of them are cold and whether there is a shortage, and provides the Stage
// for a judge.
type TargetTracker struct {
	open   *model.OpenTicket
	warmUp time.Duration
	// initiallyWarm is true when the targets of the first update are warm, because
	// they received traffic before a change of controller.
	initiallyWarm bool
	hasTraffic    bool
	focus         uint32
	services      map[string]*serviceTargets
	targets       map[string]TargetCount
	updated       time.Time
	// shortageTotal is the total time of shortages so far, shortageUntil the time at
	// which the effects of the last one end.
	shortageTotal time.Duration
	shortageUntil time.Time
}

type serviceTargets struct {
	ready, maxReady int
	// coldSince holds, for each cold target, the time from which it could receive
	// traffic.
	coldSince []time.Time
	// withoutTraffic counts targets that became ready while Step.Focus was limited,
	// so that they may have received no traffic yet.
	withoutTraffic int
	emptySince     time.Time
}

// NewTargetTracker returns a tracker for the ticket. With warm, the targets of the
// first update are assumed to be warm.
func NewTargetTracker(open *model.OpenTicket, warm bool) *TargetTracker {
	return &TargetTracker{
		open:          open,
		warmUp:        newSchedule(open).warmUp(),
		initiallyWarm: warm,
		hasTraffic:    warm,
		services:      map[string]*serviceTargets{},
	}
}

// Update sets the number of ready targets by service and the step in force. The
// tracker retains the map.
func (w *TargetTracker) Update(now time.Time, counts map[string]TargetCount, step Step) {
	w.targets = counts
	for _, m := range w.open.Ticket.Moves {
		s, ok := w.services[m.Service]
		if !ok {
			s = &serviceTargets{emptySince: now}
			if w.initiallyWarm {
				s.ready = counts[m.Service].New
			}
			w.services[m.Service] = s
		}
		s.update(now, counts[m.Service].New, step.Focus)
		s.removeWarm(now, w.warmUp)
	}
	if step.Permille > 0 && !w.hasTraffic {
		w.startTraffic(now)
	}
	w.updateFocus(now, step.Focus)
	w.updateShortage(now)
}

func (s *serviceTargets) update(now time.Time, ready int, focus uint32) {
	// Targets that leave and come back, as those that go down and up, are counted once. The
	// last to arrive is taken for the one that leaves.
	left := min(max(0, s.ready-ready), len(s.coldSince))
	s.coldSince = s.coldSince[:len(s.coldSince)-left]
	s.withoutTraffic -= min(max(0, s.ready-ready), s.withoutTraffic)
	arrived := max(0, ready-s.ready)
	s.coldSince = append(s.coldSince, slices.Repeat([]time.Time{now}, arrived)...)
	if focus > 0 {
		s.withoutTraffic += arrived
	}
	if s.ready > 0 && ready == 0 {
		s.emptySince = now
	}
	s.ready = ready
	s.maxReady = max(s.maxReady, ready)
}

func (s *serviceTargets) removeWarm(now time.Time, warmUp time.Duration) {
	for len(s.coldSince) > 0 && now.Sub(s.coldSince[0]) >= warmUp {
		s.coldSince = s.coldSince[1:]
	}
}

// updateFocus restarts the warm-up of targets that may have received no traffic
// when the focus changes.
func (w *TargetTracker) updateFocus(now time.Time, focus uint32) {
	if focus == w.focus {
		return
	}
	w.focus = focus
	for _, s := range w.services {
		s.coldSince = append(s.coldSince, slices.Repeat([]time.Time{now}, s.withoutTraffic)...)
		if focus == 0 {
			s.withoutTraffic = 0
		}
	}
}

// startTraffic restarts the warm-up of all targets: without traffic, ready targets
// could not warm up.
func (w *TargetTracker) startTraffic(now time.Time) {
	w.hasTraffic = true
	for _, s := range w.services {
		s.coldSince = slices.Repeat([]time.Time{now}, s.ready)
	}
}

func (w *TargetTracker) updateShortage(now time.Time) {
	passed := now.Sub(w.updated)
	first := w.updated.IsZero()
	w.updated = now
	if first || !w.hasTraffic || w.shortageTotal >= maxShortageTime {
		return
	}
	for _, s := range w.services {
		if float64(s.ready) < shortageFraction*float64(s.maxReady) {
			w.shortageTotal += passed
			w.shortageUntil = now.Add(shortageAftermath)
			return
		}
	}
}

// Stage returns the stage at the time now and the given step.
func (w *TargetTracker) Stage(now time.Time, step Step) Stage {
	return Stage{
		Permille:       step.Permille,
		Focus:          step.Focus,
		Targets:        w.targets,
		ColdFraction:   w.coldFraction(),
		TargetShortage: now.Before(w.shortageUntil),
	}
}

// allReady reports whether every service has a ready target of the new version.
func (w *TargetTracker) allReady() bool {
	for _, s := range w.services {
		if s.ready == 0 {
			return false
		}
	}
	return true
}

// readyCounts returns the number of ready targets of the new version of each service.
func (w *TargetTracker) readyCounts() []int {
	var counts []int
	for _, s := range w.services {
		counts = append(counts, s.ready)
	}
	return counts
}

// withoutTargets reports whether the new version of a service has had no ready
// target for noTargetsTimeout.
func (w *TargetTracker) withoutTargets(now time.Time) bool {
	for _, s := range w.services {
		if s.ready == 0 && now.Sub(s.emptySince) >= noTargetsTimeout {
			return true
		}
	}
	return false
}

// coldFraction returns the highest fraction of cold targets among the services.
func (w *TargetTracker) coldFraction() float64 {
	var cold float64
	for _, s := range w.services {
		if s.ready > 0 {
			cold = max(cold, min(1, float64(len(s.coldSince))/float64(s.ready)))
		}
	}
	return cold
}
