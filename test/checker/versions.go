package checker

import (
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/target"
)

const (
	// maxCrashesPerRequest is the maximum number of targets that one request may crash.
	maxCrashesPerRequest = 3
	// inFlightStartLimit is the time after the take-back of a version within which
	// requests that were sent to it before the take-back may start at the target.
	inFlightStartLimit = 2 * time.Second
)

// BadVersion describes a version that a test made bad.
type BadVersion struct {
	// Ticket is the number of the ticket that moves the services to the version.
	Ticket   uint64
	Version  string
	Services []string
	// MaxShare is the maximum fraction of each service's requests that the version may
	// run between From and the take-back; 0 disables the check.
	MaxShare float64
	From     time.Time
	// UnprovedShare is the maximum of the same fraction until the version is proved or
	// taken back; 0 disables the check.
	UnprovedShare float64
	// StopLimit is the maximum time from the moment at which the version is evidently
	// bad to the start of its last request; 0 disables the check.
	StopLimit time.Duration
	// SlowThreshold is the duration from which a lookup counts as bad, like a failed
	// run; 0 counts failed runs only.
	SlowThreshold time.Duration
}

// PlannedStop is a planned stop of a daemon.
type PlannedStop struct {
	VM string
	// At is the time at which the stop begins.
	At time.Time
	// RestartedAt is the time at which the VM runs a daemon again; zero means never.
	RestartedAt time.Time
	// ExpectCompleteRuns requires that every run that ends on the VM during the stop is
	// complete. It is false if a fault that the test injects breaks requests to the VM.
	ExpectCompleteRuns bool
}

// checkVersions checks that each bad version was taken back for all its services, and
// that no other ticket was taken back.
func checkVersions(records *Records, options Options, report *Report) {
	badTickets := map[uint64]bool{}
	for i := range options.BadVersions {
		badTickets[options.BadVersions[i].Ticket] = true
		checkBadVersion(&options.BadVersions[i], records, report)
	}
	misjudged := map[uint64]bool{}
	for _, events := range records.Events {
		for i := range events {
			e := &events[i]
			if isTakeBack(e) && !badTickets[e.Ticket] && !misjudged[e.Ticket] {
				misjudged[e.Ticket] = true
				report.add(Misjudged, ticketName(e.Ticket), "the ticket was taken back although its version is good")
			}
		}
	}
}

func isTakeBack(e *timeline.Event) bool {
	return e.Kind == timeline.RevisionApplied && strings.HasPrefix(e.Detail, string(model.TakenBack))
}

func checkBadVersion(b *BadVersion, records *Records, report *Report) {
	first, last := takeBackTimes(b.Ticket, records.Events)
	if first.IsZero() {
		report.add(NotTakenBack, ticketName(b.Ticket), "no daemon took back the bad version %s", b.Version)
		return
	}
	for _, service := range b.Services {
		checkExposure(b, service, first, last, records.Targets, report)
	}
	checkUnprovedShareAndStop(b, first, records, report)
}

// takeBackTimes returns the times at which the first and the last daemon took the
// ticket back. They are zero if no daemon did.
func takeBackTimes(ticket uint64, files [][]timeline.Event) (first, last time.Time) {
	for _, events := range files {
		for i := range events {
			e := &events[i]
			if !isTakeBack(e) || e.Ticket != ticket {
				continue
			}
			if first.IsZero() || e.At.Before(first) {
				first = e.At
			}
			if e.At.After(last) {
				last = e.At
			}
		}
	}
	return first, last
}

// checkExposure checks that a service does not use the bad version after its take-back,
// and that the share of the version did not exceed MaxShare before it.
func checkExposure(b *BadVersion, service string, first, last time.Time, files [][]target.Entry, report *Report) {
	startsAfter := 0
	for _, entries := range files {
		for i := range entries {
			e := &entries[i]
			if e.Phase == target.PhaseRunStarted && e.Service == service && e.Version == b.Version && e.Start.After(last.Add(inFlightStartLimit)) {
				startsAfter++
			}
		}
	}
	if startsAfter > 0 {
		report.add(PartlyTakenBack, ticketName(b.Ticket), "%s of %s ran %d requests after the last daemon took it back", b.Version, service, startsAfter)
	}
	all, onBad := countRuns(b, service, first, files)
	if b.MaxShare > 0 && float64(onBad) > b.MaxShare*float64(all) {
		report.add(Exposed, ticketName(b.Ticket), "%s ran %d of the %d requests of %s", b.Version, onBad, all, service)
	}
}

// checkCrashes checks that no request crashed more than maxCrashesPerRequest targets.
func checkCrashes(files [][]target.Entry, report *Report) {
	crashes := map[string]int{}
	for _, entries := range files {
		for i := range entries {
			if entries[i].Phase == target.PhaseCrashed {
				report.Crashes++
				crashes[entries[i].Path]++
			}
		}
	}
	for path, n := range crashes {
		if n > maxCrashesPerRequest {
			report.add(CrashSpread, path, "the request crashed %d targets", n)
		}
	}
}

// checkPlannedStops finds runs that were incomplete during a planned stop, and requests
// that started on a draining target after DrainNoticeLimit, the time in which the
// other daemons must be notified of the stop.
func checkPlannedStops(files [][]target.Entry, options Options, report *Report) {
	for _, entries := range files {
		var drainStart time.Time
		for i := range entries {
			e := &entries[i]
			switch e.Phase {
			case target.PhaseWithdrawn:
				drainStart = e.Start
			case target.PhaseRunEnded:
				if incompleteDuringStop(e, options) {
					report.add(Cut, e.ID, "the run on %s was incomplete during the planned stop of its daemon", e.VM)
				}
			case target.PhaseRunStarted:
				if startedAfterDrainNotice(e, drainStart, options) {
					report.add(LateWork, e.ID, "the draining target on %s received the request", e.VM)
				}
			}
		}
	}
}

// incompleteDuringStop reports whether a run ended incomplete during a planned stop of
// its daemon. The caller's record does not show this as a cut, because another daemon
// responds to the caller with the outcome "unknown".
func incompleteDuringStop(e *target.Entry, options Options) bool {
	if e.Complete {
		return false
	}
	for _, d := range options.PlannedStops {
		restarted := !d.RestartedAt.IsZero() && e.End.After(d.RestartedAt)
		if d.ExpectCompleteRuns && d.VM == e.VM && !restarted && e.End.After(d.At) {
			return true
		}
	}
	return false
}

// startedAfterDrainNotice reports whether a request started more than DrainNoticeLimit
// after the target or its daemon began to stop. A zero drainStart means that the target
// is not draining.
func startedAfterDrainNotice(e *target.Entry, drainStart time.Time, options Options) bool {
	if options.DrainNoticeLimit == 0 {
		return false
	}
	if !drainStart.IsZero() && e.Start.After(drainStart.Add(options.DrainNoticeLimit)) {
		return true
	}
	for _, d := range options.PlannedStops {
		restarted := !d.RestartedAt.IsZero() && e.Start.After(d.RestartedAt)
		if d.VM == e.VM && !restarted && e.Start.After(d.At.Add(options.DrainNoticeLimit)) {
			return true
		}
	}
	return false
}
