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
	// assumedBadFailureRate and assumedGoodFailureRate are the fractions of bad runs
	// that evidentAt assumes for a bad and for a good version.
	assumedBadFailureRate  = 0.5
	assumedGoodFailureRate = 0.001
)

// Exposure describes the traffic that a bad version received.
type Exposure struct {
	Ticket uint64
	// All counts the runs of the ticket's services, and Bad those of them on the bad
	// version, from BadVersion.From until the version was proved or taken back.
	All, Bad int
	// Proved reports whether the version was proved before its take-back: a daemon
	// applied a step above move.ProvingPermille.
	Proved bool
	// Evident reports whether the version became evidently bad, as defined by evidentAt.
	// StopSeconds is the time from then to the start of the last run on the version.
	Evident     bool
	StopSeconds float64
}

// checkUnprovedShareAndStop checks the share of a bad version until it was proved, and
// the time for which it received requests after it was evidently bad. It appends the
// version's exposure to the report.
func checkUnprovedShareAndStop(b *BadVersion, first time.Time, records *Records, report *Report) {
	e := Exposure{Ticket: b.Ticket}
	proved := provedAt(b.Ticket, records.Events)
	e.Proved = !proved.IsZero() && proved.Before(first)
	until := first
	if e.Proved {
		until = proved
	}
	for _, service := range b.Services {
		all, onBad := countRuns(b, service, until, records.Targets)
		e.All += all
		e.Bad += onBad
		if b.UnprovedShare > 0 && float64(onBad) > b.UnprovedShare*float64(all) {
			report.add(Exposed, ticketName(b.Ticket), "%s ran %d of the %d requests of %s before it was proved", b.Version, onBad, all, service)
		}
	}
	evident := evidentAt(b, records.Targets)
	if e.Evident = !evident.IsZero(); e.Evident {
		e.StopSeconds = lastStartTime(b, records.Targets).Sub(evident).Seconds()
	}
	if b.StopLimit > 0 && e.Evident && e.StopSeconds > b.StopLimit.Seconds() {
		report.add(StillUsed, ticketName(b.Ticket), "%s received requests for %.1f s after it was evidently bad", b.Version, e.StopSeconds)
	}
	report.Exposures = append(report.Exposures, e)
}

// provedAt returns the time at which the first daemon applied a step of the ticket
// above move.ProvingPermille, or the zero time.
func provedAt(ticket uint64, files [][]timeline.Event) time.Time {
	var first time.Time
	for _, events := range files {
		for i := range events {
			e := &events[i]
			if e.Kind != timeline.StepApplied || e.Ticket != ticket || parsePermille(e.Detail) <= move.ProvingPermille {
				continue
			}
			if first.IsZero() || e.At.Before(first) {
				first = e.At
			}
		}
	}
	return first
}

// parsePermille parses the progress in the detail of a step event, such as "2.5%", and
// returns it in permille. It returns 0 if the detail is not a percentage.
func parsePermille(detail string) float64 {
	percent, err := strconv.ParseFloat(strings.TrimSuffix(detail, "%"), 64)
	if err != nil {
		return 0
	}
	return 10 * percent
}

// countRuns counts the runs of a service that started from b.From until the given time,
// and those of them on the bad version.
func countRuns(b *BadVersion, service string, until time.Time, files [][]target.Entry) (all, onBad int) {
	for _, entries := range files {
		for i := range entries {
			e := &entries[i]
			if e.Phase != target.PhaseRunStarted || e.Service != service || e.Start.Before(b.From) || e.Start.After(until) {
				continue
			}
			all++
			if e.Version == b.Version {
				onBad++
			}
		}
	}
	return all, onBad
}

// evidentAt returns the time at which a version is evidently bad: the time at which a
// sequential likelihood ratio test over the ends of all runs of a route concludes, with
// the judge's bound on false alarms, that the version is bad on that route. It returns
// the zero time if the test does not conclude this for any route. The sum of a route
// does not fall below zero, because the start of the fault is not known here. The
// version therefore becomes evidently bad earlier than in the replay report.
func evidentAt(b *BadVersion, files [][]target.Entry) time.Time {
	threshold := -math.Log(move.FalseAlarmBound)
	sums := map[string]float64{}
	for _, e := range endedRuns(b, files) {
		logRatio := math.Log((1 - assumedBadFailureRate) / (1 - assumedGoodFailureRate))
		if b.isBadRun(e) {
			logRatio = math.Log(assumedBadFailureRate / assumedGoodFailureRate)
		}
		route := e.Service + " " + firstPathSegment(e.Path)
		sums[route] = max(0, sums[route]+logRatio)
		if sums[route] >= threshold {
			return e.End
		}
	}
	return time.Time{}
}

// endedRuns returns the end entries with a status of the version's runs, ordered by the
// time of their end.
func endedRuns(b *BadVersion, files [][]target.Entry) []*target.Entry {
	var ended []*target.Entry
	for _, entries := range files {
		for i := range entries {
			e := &entries[i]
			if e.Phase == target.PhaseRunEnded && e.Status != 0 && b.matches(e) {
				ended = append(ended, e)
			}
		}
	}
	slices.SortFunc(ended, func(x, y *target.Entry) int { return x.End.Compare(y.End) })
	return ended
}

func lastStartTime(b *BadVersion, files [][]target.Entry) time.Time {
	var last time.Time
	for _, entries := range files {
		for i := range entries {
			if e := &entries[i]; e.Phase == target.PhaseRunStarted && b.matches(e) && e.Start.After(last) {
				last = e.Start
			}
		}
	}
	return last
}

// matches reports whether the entry belongs to the version and one of its services and
// its run started at or after From.
func (b *BadVersion) matches(e *target.Entry) bool {
	return e.Version == b.Version && slices.Contains(b.Services, e.Service) && !e.Start.Before(b.From)
}

// isBadRun reports whether a run failed with a 5xx status or was a slow lookup.
func (b *BadVersion) isBadRun(e *target.Entry) bool {
	slow := b.SlowThreshold > 0 && e.Method == http.MethodGet && e.End.Sub(e.Start) >= b.SlowThreshold
	return slow || e.Status >= http.StatusInternalServerError
}

// firstPathSegment returns the first segment of a path. It is different for each route
// of the test scenarios.
func firstPathSegment(path string) string {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment
}
