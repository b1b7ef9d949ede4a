package checker

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/target"
)

const (
	// badRate and goodRate are the fractions of bad runs of a bad and of a good
	// version that the observer of evidentAt assumes.
	badRate  = 0.5
	goodRate = 0.001
)

// Exposure is what a bad version got.
type Exposure struct {
	Ticket uint64
	// All and Bad count the runs of the ticket's services, and those of them on
	// the bad version, from BadVersion.From until the version was proved or taken back.
	All, Bad int
	// Proved reports whether the version went beyond the proving share.
	Proved bool
	// Evident reports whether the badness showed. StopSeconds is the time from
	// then until the last run on the version started.
	Evident     bool
	StopSeconds float64
}

// checkStopped checks the share of a bad version that is not proved, and the
// time for which it is used after its badness was evident.
func checkStopped(b *BadVersion, first time.Time, records *Records, report *Report) {
	e := Exposure{Ticket: b.Ticket}
	proved := provedAt(b.Ticket, records.Events)
	e.Proved = !proved.IsZero() && proved.Before(first)
	until := first
	if e.Proved {
		until = proved
	}
	for _, service := range b.Services {
		all, ofBad := countRuns(b, service, until, records.Targets)
		e.All += all
		e.Bad += ofBad
		if b.UnprovedShare > 0 && float64(ofBad) > b.UnprovedShare*float64(all) {
			report.add(Exposed, ticketName(b.Ticket), "%s ran %d of the %d requests of %s before it was proved", b.Version, ofBad, all, service)
		}
	}
	evident := evidentAt(b, records.Targets)
	if e.Evident = !evident.IsZero(); e.Evident {
		e.StopSeconds = lastStart(b, records.Targets).Sub(evident).Seconds()
	}
	if b.StopLimit > 0 && e.Evident && e.StopSeconds > b.StopLimit.Seconds() {
		report.add(StillUsed, ticketName(b.Ticket), "%s got requests for %.1f s after it was evidently bad", b.Version, e.StopSeconds)
	}
	report.Exposures = append(report.Exposures, e)
}

// provedAt returns when the first daemon applied a step of the ticket beyond
// the proving share, or the zero time.
func provedAt(ticket uint64, files [][]timeline.Event) time.Time {
	var first time.Time
	for _, events := range files {
		for i := range events {
			e := &events[i]
			if e.Kind != timeline.StepApplied || e.Ticket != ticket || permilleOf(e.Detail) <= move.ProvingPermille {
				continue
			}
			if first.IsZero() || e.At.Before(first) {
				first = e.At
			}
		}
	}
	return first
}

// permilleOf reads the progress from the detail of a step's event, such as "2.5%".
func permilleOf(detail string) float64 {
	percent, err := strconv.ParseFloat(strings.TrimSuffix(detail, "%"), 64)
	if err != nil {
		return 0
	}
	return 10 * percent
}

func countRuns(b *BadVersion, service string, until time.Time, files [][]target.Entry) (all, ofBad int) {
	for _, entries := range files {
		for i := range entries {
			e := &entries[i]
			if e.Phase != target.Started || e.Service != service || e.Start.Before(b.From) || e.Start.After(until) {
				continue
			}
			all++
			if e.Version == b.Version {
				ofBad++
			}
		}
	}
	return all, ofBad
}

// evidentAt returns when an observer who sees the end of every run is certain
// that the version is bad on a route, with the judge's bound on false alarms,
// or the zero time. The sum of a route restarts at zero, because it is not known
// here when the fault begins; that makes badness evident earlier than for the
// observer of the replay report.
func evidentAt(b *BadVersion, files [][]target.Entry) time.Time {
	certain := -math.Log(move.FalseAlarmBound)
	sums := map[string]float64{}
	for _, e := range endedRuns(b, files) {
		ratio := math.Log((1 - badRate) / (1 - goodRate))
		if b.isBad(e) {
			ratio = math.Log(badRate / goodRate)
		}
		route := e.Service + " " + routeOf(e.Path)
		sums[route] = max(0, sums[route]+ratio)
		if sums[route] >= certain {
			return e.End
		}
	}
	return time.Time{}
}

// endedRuns returns the runs of the version that were answered, in the order of their ends.
func endedRuns(b *BadVersion, files [][]target.Entry) []*target.Entry {
	var ended []*target.Entry
	for _, entries := range files {
		for i := range entries {
			e := &entries[i]
			if e.Phase == target.Ended && e.Status != 0 && b.uses(e) {
				ended = append(ended, e)
			}
		}
	}
	slices.SortFunc(ended, func(x, y *target.Entry) int { return x.End.Compare(y.End) })
	return ended
}

func lastStart(b *BadVersion, files [][]target.Entry) time.Time {
	var last time.Time
	for _, entries := range files {
		for i := range entries {
			if e := &entries[i]; e.Phase == target.Started && b.uses(e) && e.Start.After(last) {
				last = e.Start
			}
		}
	}
	return last
}

// uses reports whether the entry is of the version, after From.
func (b *BadVersion) uses(e *target.Entry) bool {
	return e.Version == b.Version && slices.Contains(b.Services, e.Service) && !e.Start.Before(b.From)
}

func (b *BadVersion) isBad(e *target.Entry) bool {
	slow := b.Slow > 0 && e.Method == http.MethodGet && e.End.Sub(e.Start) >= b.Slow
	return slow || e.Status >= http.StatusInternalServerError
}

// routeOf returns the first segment of a path, which tells the routes of the
// scenarios apart.
func routeOf(path string) string {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment
}
