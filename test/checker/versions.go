package checker

import (
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/target"
)

const (
	// maxCrashes is the number of targets that one request may crash.
	maxCrashes = 3
	// settleTime is how long a request that was sent to a version before its
	// take-back may take to start at the target.
	settleTime = 2 * time.Second
)

// BadVersion is a version that a test made bad.
type BadVersion struct {
	// Ticket moves the services to the version.
	Ticket   uint64
	Version  string
	Services []string
	// MaxShare bounds the fraction of each service's requests that the
	// version runs between From and the take-back; 0 does not check it.
	MaxShare float64
	From     time.Time
	// UnprovedShare bounds the same fraction until the version is proved or
	// taken back; 0 does not check it.
	UnprovedShare float64
	// StopLimit bounds the time from evident badness to the last request of
	// the version; 0 does not check it.
	StopLimit time.Duration
	// Slow is the duration from which a lookup counts as bad, like a failed
	// run does; 0 counts failed runs only.
	Slow time.Duration
}

// Departure is the begin of a planned stop.
type Departure struct {
	VM string
	At time.Time
	// Until is when the VM came back; the zero time means never.
	Until time.Time
	// Whole expects that every run on the VM during the stop ends whole. It is
	// false where a fault of the test breaks requests to the VM.
	Whole bool
}

// checkVersions checks that each bad version was taken back as a whole, and
// that no other ticket was.
func checkVersions(records *Records, options Options, report *Report) {
	bad := map[uint64]bool{}
	for i := range options.Bad {
		bad[options.Bad[i].Ticket] = true
		checkBad(&options.Bad[i], records, report)
	}
	misjudged := map[uint64]bool{}
	for _, events := range records.Events {
		for i := range events {
			e := &events[i]
			if takenBack(e) && !bad[e.Ticket] && !misjudged[e.Ticket] {
				misjudged[e.Ticket] = true
				report.add(Misjudged, ticketName(e.Ticket), "the ticket was taken back although its version is good")
			}
		}
	}
}

func takenBack(e *timeline.Event) bool {
	return e.Kind == timeline.RevisionApplied && strings.HasPrefix(e.Detail, string(model.TakenBack))
}

func checkBad(b *BadVersion, records *Records, report *Report) {
	first, last := takeBackTimes(b.Ticket, records.Events)
	if first.IsZero() {
		report.add(NotTakenBack, ticketName(b.Ticket), "no daemon took back the bad version %s", b.Version)
		return
	}
	for _, service := range b.Services {
		checkExposure(b, service, first, last, records.Targets, report)
	}
	checkStopped(b, first, records, report)
}

// takeBackTimes returns when the first and the last daemon took the ticket back.
func takeBackTimes(ticket uint64, files [][]timeline.Event) (first, last time.Time) {
	for _, events := range files {
		for i := range events {
			e := &events[i]
			if !takenBack(e) || e.Ticket != ticket {
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

func checkExposure(b *BadVersion, service string, first, last time.Time, files [][]target.Entry, report *Report) {
	after := 0
	for _, entries := range files {
		for i := range entries {
			e := &entries[i]
			if e.Phase == target.Started && e.Service == service && e.Version == b.Version && e.Start.After(last.Add(settleTime)) {
				after++
			}
		}
	}
	if after > 0 {
		report.add(PartlyTakenBack, ticketName(b.Ticket), "%s of %s ran %d requests after the last daemon took it back", b.Version, service, after)
	}
	all, ofBad := countRuns(b, service, first, files)
	if b.MaxShare > 0 && float64(ofBad) > b.MaxShare*float64(all) {
		report.add(Exposed, ticketName(b.Ticket), "%s ran %d of the %d requests of %s", b.Version, ofBad, all, service)
	}
}

// checkCrashes counts the targets that each request crashed.
func checkCrashes(files [][]target.Entry, report *Report) {
	crashes := map[string]int{}
	for _, entries := range files {
		for i := range entries {
			if entries[i].Phase == target.Crashed {
				report.Crashes++
				crashes[entries[i].Path]++
			}
		}
	}
	for path, n := range crashes {
		if n > maxCrashes {
			report.add(CrashSpread, path, "the request crashed %d targets", n)
		}
	}
}

// checkDepartures finds requests that started on a leaving target after the
// time in which the others must learn of it.
func checkDepartures(files [][]target.Entry, options Options, report *Report) {
	for _, entries := range files {
		var left time.Time
		for i := range entries {
			e := &entries[i]
			switch e.Phase {
			case target.Leaving:
				left = e.Start
			case target.Ended:
				if brokenByStop(e, options) {
					report.add(Cut, e.ID, "the run on %s broke during the planned stop of its daemon", e.VM)
				}
			case target.Started:
				if lateWork(e, left, options) {
					report.add(LateWork, e.ID, "the leaving target on %s got the request", e.VM)
				}
			}
		}
	}
}

// brokenByStop reports whether a run broke while its daemon stopped as planned.
// Its caller gets "unknown" from another daemon then and sees no cut.
func brokenByStop(e *target.Entry, options Options) bool {
	if e.Whole {
		return false
	}
	for _, d := range options.Departures {
		back := !d.Until.IsZero() && e.End.After(d.Until)
		if d.Whole && d.VM == e.VM && !back && e.End.After(d.At) {
			return true
		}
	}
	return false
}

func lateWork(e *target.Entry, left time.Time, options Options) bool {
	if options.LeaveLimit == 0 {
		return false
	}
	if !left.IsZero() && e.Start.After(left.Add(options.LeaveLimit)) {
		return true
	}
	for _, d := range options.Departures {
		back := !d.Until.IsZero() && e.Start.After(d.Until)
		if d.VM == e.VM && !back && e.Start.After(d.At.Add(options.LeaveLimit)) {
			return true
		}
	}
	return false
}
