package move

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// targetsLostAfter is how long a new version may be without ready targets
// once it has traffic.
const targetsLostAfter = 10 * time.Second

// targetWatch follows the ready targets of the new versions.
type targetWatch struct {
	warmUp time.Duration
	// warm is true when the targets that are seen first are warm, because
	// they took traffic before a change of controller.
	warm     bool
	services map[string]*watchedService
}

type watchedService struct {
	ready int
	// arrivals holds when targets became ready that are not warm yet.
	arrivals []time.Time
	lostAt   time.Time
}

func newTargetWatch(warmUp time.Duration, warm bool) *targetWatch {
	return &targetWatch{warmUp: warmUp, warm: warm, services: map[string]*watchedService{}}
}

func (w *targetWatch) update(now time.Time, open *model.OpenTicket, counts map[string]TargetCount) {
	for _, m := range open.Ticket.Moves {
		s, ok := w.services[m.Service]
		if !ok {
			s = &watchedService{lostAt: now}
			if w.warm {
				s.ready = counts[m.Service].New
			}
			w.services[m.Service] = s
		}
		s.update(now, counts[m.Service].New, w.warmUp)
	}
}

func (s *watchedService) update(now time.Time, ready int, warmUp time.Duration) {
	for range ready - s.ready {
		s.arrivals = append(s.arrivals, now)
	}
	for len(s.arrivals) > 0 && now.Sub(s.arrivals[0]) >= warmUp {
		s.arrivals = s.arrivals[1:]
	}
	if s.ready > 0 && ready == 0 {
		s.lostAt = now
	}
	s.ready = ready
}

// ready reports whether every service has a ready target of the new version.
func (w *targetWatch) ready() bool {
	for _, s := range w.services {
		if s.ready == 0 {
			return false
		}
	}
	return true
}

// counts returns the ready targets of each service.
func (w *targetWatch) counts() []int {
	var counts []int
	for _, s := range w.services {
		counts = append(counts, s.ready)
	}
	return counts
}

// lost reports whether a new version has been without targets for too long.
func (w *targetWatch) lost(now time.Time) bool {
	for _, s := range w.services {
		if s.ready == 0 && now.Sub(s.lostAt) >= targetsLostAfter {
			return true
		}
	}
	return false
}

// cold is the largest fraction of cold targets among the services.
func (w *targetWatch) cold() float64 {
	var cold float64
	for _, s := range w.services {
		if s.ready > 0 {
			cold = max(cold, min(1, float64(len(s.arrivals))/float64(s.ready)))
		}
	}
	return cold
}
