package checker

import (
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/caller"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// Options describe the faults that a test injected and the limits to check. An
// attempt through a killed process may be cut; all other checks still apply to it.
type Options struct {
	// KilledListeners are the caller listeners of the killed daemons.
	KilledListeners []string
	// KilledVMs are the VMs of the killed targets.
	KilledVMs []string
	// ConnectedVMs are the VMs whose daemons are running and connected at the end.
	// Each daemon must have applied every accepted ticket.
	ConnectedVMs []string
	// ApplyLimit is the maximum time in which a daemon must apply an accepted ticket;
	// 0 disables the check. Outages extend it.
	ApplyLimit time.Duration
	Outages    []Outage
	// PlannedStops are the planned stops of daemons. DrainNoticeLimit is the maximum
	// time for which a draining target may receive new requests; 0 disables the check.
	PlannedStops     []PlannedStop
	DrainNoticeLimit time.Duration
	// BadVersions are the versions that must be taken back. No other version may be
	// taken back.
	BadVersions []BadVersion
}

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	id      string
	attempt string
}

// runIndex indexes the runs that the targets recorded: the number of starts by
// request ID, attempt and idempotency key, and the end entries by request ID.
type runIndex struct {
	startsByID      map[string]int
	startsByAttempt map[attemptKey]int
	startsByKey     map[string]int
	endsByID        map[string][]*target.Entry
}

// Check checks the records of a run and returns the report.
func Check(records *Records, options Options) *Report {
	report := &Report{Findings: []Finding{}}
	index := newRunIndex(records.Targets, report)
	tolerated := newToleratedCuts(options)
	for _, results := range records.Callers {
		for i := range results {
			checkResult(&results[i], index, tolerated, report)
		}
	}
	checkIdempotencyKeys(index, report)
	for _, entries := range records.Targets {
		checkRunsOpenAtStop(entries, report)
	}
	for _, events := range records.Events {
		checkRevisions(events, report)
	}
	checkTickets(records, options, report)
	checkVersions(records, options, report)
	checkCrashes(records.Targets, report)
	checkPlannedStops(records.Targets, options, report)
	return report
}

func newRunIndex(files [][]target.Entry, report *Report) *runIndex {
	index := &runIndex{
		startsByID: map[string]int{}, startsByAttempt: map[attemptKey]int{},
		startsByKey: map[string]int{}, endsByID: map[string][]*target.Entry{},
	}
	for _, entries := range files {
		for i := range entries {
			index.add(&entries[i], report)
		}
	}
	return index
}

func (r *runIndex) add(e *target.Entry, report *Report) {
	switch e.Phase {
	case target.PhaseRunStarted:
		report.Runs++
		r.startsByID[e.ID]++
		r.startsByAttempt[attemptKey{e.ID, e.Attempt}]++
		if e.Key != "" {
			r.startsByKey[e.Key]++
		}
	case target.PhaseRunEnded:
		r.endsByID[e.ID] = append(r.endsByID[e.ID], e)
	}
}

// toleratedCuts holds the listeners and VMs through which attempts may be cut.
type toleratedCuts struct {
	listeners map[string]bool
	vms       map[string]bool
}

func newToleratedCuts(o Options) *toleratedCuts {
	t := &toleratedCuts{listeners: map[string]bool{}, vms: map[string]bool{}}
	for _, listener := range o.KilledListeners {
		t.listeners[listener] = true
	}
	for _, vm := range o.KilledVMs {
		t.vms[vm] = true
	}
	return t
}

func (t *toleratedCuts) includes(a *caller.Attempt) bool {
	return t.listeners[a.Listener] || (a.VM != "" && t.vms[a.VM])
}

func checkResult(r *caller.Result, index *runIndex, tolerated *toleratedCuts, report *Report) {
	if r.Verdict == caller.Skipped {
		return
	}
	report.Requests++
	checkAnsweredRan(r, index, report)
	checkUploadRuns(r, index, report)
	checkRequestBodies(r, index, report)
	for i := range r.Attempts {
		checkAttempt(r, i, index, tolerated, report)
	}
}

// checkAnsweredRan checks that a target ran every answered request.
func checkAnsweredRan(r *caller.Result, index *runIndex, report *Report) {
	if r.Verdict == caller.Answered && index.startsByID[r.ID] == 0 {
		report.add(Lost, r.ID, "answered with status %d, but no target ran it", r.Status)
	}
}

// checkUploadRuns checks that each attempt of an upload ran at most once. Uploads are
// not idempotent and have no idempotency key. checkIdempotencyKeys checks the requests
// with a key.
func checkUploadRuns(r *caller.Result, index *runIndex, report *Report) {
	if r.Kind != caller.Upload {
		return
	}
	for i := range r.Attempts {
		attempt := strconv.Itoa(i + 1)
		if n := index.startsByAttempt[attemptKey{r.ID, attempt}]; n > 1 {
			report.add(Doubled, r.ID, "attempt %s ran %d times", attempt, n)
		}
	}
}

// checkRequestBodies compares the bodies that targets read with the body that the
// caller sent. It ignores runs without a status, which did not read the whole body.
func checkRequestBodies(r *caller.Result, index *runIndex, report *Report) {
	for _, e := range index.endsByID[r.ID] {
		if e.Status != 0 && (e.Bytes != r.Bytes || e.Digest != r.Digest) {
			report.add(Crossed, r.ID, "the target on %s read a different body of %d bytes; the caller sent %d bytes", e.VM, e.Bytes, r.Bytes)
		}
	}
}

// checkAttempt checks the verdict of the attempt with index i.
func checkAttempt(r *caller.Result, i int, index *runIndex, tolerated *toleratedCuts, report *Report) {
	a := &r.Attempts[i]
	number := strconv.Itoa(i + 1)
	switch a.Verdict {
	case caller.Wrong:
		report.add(Crossed, r.ID, "attempt %s: %s", number, a.Error)
	case caller.NotRun:
		if index.startsByAttempt[attemptKey{r.ID, number}] > 0 {
			report.add(FalseNotRun, r.ID, "attempt %s was reported as not run, but a target ran it", number)
		}
	case caller.Cut:
		if tolerated.includes(a) {
			report.Tolerated++
			return
		}
		report.add(Cut, r.ID, "attempt %s through %s: %s", number, a.Listener, a.Error)
	}
}

// checkIdempotencyKeys checks that each idempotency key ran at most once.
func checkIdempotencyKeys(index *runIndex, report *Report) {
	for key, n := range index.startsByKey {
		if n > 1 {
			report.add(Doubled, key, "idempotency key ran %d times", n)
		}
	}
}

// checkRunsOpenAtStop finds runs that were in progress when their target completed a
// planned stop. A process that crashed or was killed records no Stopped entry.
func checkRunsOpenAtStop(entries []target.Entry, report *Report) {
	openRuns := map[uint64]*target.Entry{}
	for i := range entries {
		e := &entries[i]
		switch e.Phase {
		case target.PhaseUp:
			openRuns = map[uint64]*target.Entry{}
		case target.PhaseRunStarted:
			openRuns[e.Run] = e
		case target.PhaseRunEnded:
			delete(openRuns, e.Run)
		case target.PhaseStopped:
			for _, run := range openRuns {
				report.add(Cut, run.ID, "target on %s stopped while it ran the request", run.VM)
			}
		}
	}
}

// checkRevisions checks that no daemon goes back to a lower revision. It expects events
// in the order in which they were recorded. A new process on the VM starts without a
// state, but must not serve before its revision is at least that of its predecessor.
func checkRevisions(events []timeline.Event, report *Report) {
	applied := map[string]uint64{}
	predecessor := map[string]uint64{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case timeline.DaemonStarted:
			predecessor[e.VM] = max(predecessor[e.VM], applied[e.VM])
			delete(applied, e.VM)
		case timeline.DaemonReady:
			if applied[e.VM] < predecessor[e.VM] {
				report.add(Reverted, e.VM, "serves revision %d after its predecessor applied %d", applied[e.VM], predecessor[e.VM])
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
