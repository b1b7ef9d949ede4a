package checker

import (
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/caller"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// Options name what a test killed on purpose. An attempt through it may be
// cut; every other promise still holds.
type Options struct {
	// KilledListeners are caller listeners of killed daemons.
	KilledListeners []string
	// KilledVMs are VMs of killed targets.
	KilledVMs []string
	// Alive are the VMs whose daemons run and are connected at the end. Each
	// must have applied every accepted ticket.
	Alive []string
	// InForce is how long a daemon may take to apply an accepted ticket; 0
	// does not check it. Disturbances put it off.
	InForce      time.Duration
	Disturbances []Disturbance
	// Departures are planned stops of daemons. LeaveLimit is how long a
	// leaving target may get new requests; 0 does not check it.
	Departures []Departure
	LeaveLimit time.Duration
	// Bad are the versions that must be taken back; no others may be.
	Bad []BadVersion
}

// attemptKey names one sending of a request.
type attemptKey struct {
	id      string
	attempt string
}

// runs indexes what the targets recorded.
type runs struct {
	byID      map[string]int
	byAttempt map[attemptKey]int
	byKey     map[string]int
	ended     map[string][]*target.Entry
}

// Check checks the records.
func Check(records *Records, options Options) *Report {
	report := &Report{Findings: []Finding{}}
	ran := indexRuns(records.Targets, report)
	tolerated := newTolerance(options)
	for _, results := range records.Callers {
		for i := range results {
			checkResult(&results[i], ran, tolerated, report)
		}
	}
	checkKeys(ran, report)
	for _, entries := range records.Targets {
		checkStops(entries, report)
	}
	for _, events := range records.Events {
		checkRevisions(events, report)
	}
	checkTickets(records, options, report)
	checkVersions(records, options, report)
	checkCrashes(records.Targets, report)
	checkDepartures(records.Targets, options, report)
	return report
}

func indexRuns(files [][]target.Entry, report *Report) *runs {
	ran := &runs{
		byID: map[string]int{}, byAttempt: map[attemptKey]int{},
		byKey: map[string]int{}, ended: map[string][]*target.Entry{},
	}
	for _, entries := range files {
		for i := range entries {
			ran.add(&entries[i], report)
		}
	}
	return ran
}

func (r *runs) add(e *target.Entry, report *Report) {
	switch e.Phase {
	case target.Started:
		report.Runs++
		r.byID[e.ID]++
		r.byAttempt[attemptKey{e.ID, e.Attempt}]++
		if e.Key != "" {
			r.byKey[e.Key]++
		}
	case target.Ended:
		r.ended[e.ID] = append(r.ended[e.ID], e)
	}
}

// tolerance holds the sets of Options.
type tolerance struct {
	listeners map[string]bool
	vms       map[string]bool
}

func newTolerance(o Options) *tolerance {
	t := &tolerance{listeners: map[string]bool{}, vms: map[string]bool{}}
	for _, listener := range o.KilledListeners {
		t.listeners[listener] = true
	}
	for _, vm := range o.KilledVMs {
		t.vms[vm] = true
	}
	return t
}

func (t *tolerance) allows(a *caller.Attempt) bool {
	return t.listeners[a.Listener] || (a.VM != "" && t.vms[a.VM])
}

func checkResult(r *caller.Result, ran *runs, tolerated *tolerance, report *Report) {
	if r.Verdict == caller.Skipped {
		return
	}
	report.Requests++
	checkLost(r, ran, report)
	checkUpload(r, ran, report)
	checkBodies(r, ran, report)
	for i := range r.Attempts {
		checkAttempt(r, i, ran, tolerated, report)
	}
}

func checkLost(r *caller.Result, ran *runs, report *Report) {
	if r.Verdict == caller.Answered && ran.byID[r.ID] == 0 {
		report.add(Lost, r.ID, "answered with status %d, but no target ran it", r.Status)
	}
}

// checkUpload checks requests without a key that are not idempotent: each
// attempt may run once. Requests with a key are checked by checkKeys.
func checkUpload(r *caller.Result, ran *runs, report *Report) {
	if r.Kind != caller.Upload {
		return
	}
	for i := range r.Attempts {
		attempt := strconv.Itoa(i + 1)
		if n := ran.byAttempt[attemptKey{r.ID, attempt}]; n > 1 {
			report.add(Doubled, r.ID, "attempt %s ran %d times", attempt, n)
		}
	}
}

// checkBodies compares what targets read with what the caller sent. A run
// without a status did not read its body to the end.
func checkBodies(r *caller.Result, ran *runs, report *Report) {
	for _, e := range ran.ended[r.ID] {
		if e.Status != 0 && (e.Bytes != r.Bytes || e.Digest != r.Digest) {
			report.add(Crossed, r.ID, "target on %s read another body of %d bytes; %d were sent", e.VM, e.Bytes, r.Bytes)
		}
	}
}

func checkAttempt(r *caller.Result, i int, ran *runs, tolerated *tolerance, report *Report) {
	a := &r.Attempts[i]
	number := strconv.Itoa(i + 1)
	switch a.Verdict {
	case caller.Wrong:
		report.add(Crossed, r.ID, "attempt %s: %s", number, a.Error)
	case caller.NotRun:
		if ran.byAttempt[attemptKey{r.ID, number}] > 0 {
			report.add(FalseNotRun, r.ID, "attempt %s was told not to have run, but a target ran it", number)
		}
	case caller.Cut:
		if tolerated.allows(a) {
			report.Tolerated++
			return
		}
		report.add(Cut, r.ID, "attempt %s through %s: %s", number, a.Listener, a.Error)
	}
}

func checkKeys(ran *runs, report *Report) {
	for key, n := range ran.byKey {
		if n > 1 {
			report.add(Doubled, key, "idempotency key ran %d times", n)
		}
	}
}

// checkStops finds runs that were still open when their target stopped as
// planned. A process that crashed or was killed has no such entry.
func checkStops(entries []target.Entry, report *Report) {
	open := map[uint64]*target.Entry{}
	for i := range entries {
		e := &entries[i]
		switch e.Phase {
		case target.Up:
			open = map[uint64]*target.Entry{}
		case target.Started:
			open[e.Run] = e
		case target.Ended:
			delete(open, e.Run)
		case target.Stopped:
			for _, run := range open {
				report.add(Cut, run.ID, "target on %s stopped while it ran the request", run.VM)
			}
		}
	}
}

// checkRevisions checks one daemon's events in the order of their recording.
// A new process of the VM starts without a state, but may not serve before it
// has one that is as new as its predecessor's.
func checkRevisions(events []timeline.Event, report *Report) {
	applied := map[string]uint64{}
	before := map[string]uint64{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case timeline.DaemonStarted:
			before[e.VM] = max(before[e.VM], applied[e.VM])
			delete(applied, e.VM)
		case timeline.DaemonReady:
			if applied[e.VM] < before[e.VM] {
				report.add(Reverted, e.VM, "serves revision %d after its predecessor applied %d", applied[e.VM], before[e.VM])
			}
		case timeline.RevisionApplied:
			report.Applied++
			if e.Revision < applied[e.VM] {
				report.add(Reverted, e.VM, "applied revision %d after %d", e.Revision, applied[e.VM])
			}
			applied[e.VM] = max(applied[e.VM], e.Revision)
		}
	}
}
