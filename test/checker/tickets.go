package checker

import (
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Acceptance is the confirmation of an accepted ticket that an operator received.
type Acceptance struct {
	Number   uint64    `json:"number"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	At       time.Time `json:"at"`
}

// Outage is a period in which a daemon could not receive updates, because the test
// killed it, froze it or cut its links. An empty VM means all daemons.
type Outage struct {
	VM   string
	From time.Time
	To   time.Time
}

// checkTickets compares the tickets that were reported to operators as accepted with
// the revisions that the daemons applied.
func checkTickets(records *Records, options Options, report *Report) {
	digests := map[uint64]string{}
	for _, accepted := range records.Operators {
		for _, a := range accepted {
			report.Tickets++
			if other, exists := digests[a.Number]; exists && other != a.Digest {
				report.add(Conflict, ticketName(a.Number), "different tickets with this number were reported as accepted")
			}
			digests[a.Number] = a.Digest
			checkAcceptedTicket(&a, records.Events, options, report)
		}
	}
}

func ticketName(number uint64) string { return "ticket " + strconv.FormatUint(number, 10) }

func checkAcceptedTicket(a *Acceptance, files [][]timeline.Event, options Options, report *Report) {
	for _, vm := range options.ConnectedVMs {
		applied, started := appliedAt(files, vm, a)
		if applied.IsZero() {
			report.add(Missing, ticketName(a.Number), "%s did not apply revision %d", vm, a.Revision)
			continue
		}
		deadline := applyDeadline(vm, a.At, options)
		if options.ApplyLimit > 0 && started.Before(a.At) && applied.After(deadline) {
			report.add(Late, ticketName(a.Number), "%s applied revision %d after %s", vm, a.Revision, applied.Sub(a.At).Round(time.Millisecond))
		}
	}
}

// appliedAt returns the time at which the last daemon process on the VM first applied
// the revision or a later one, and the time at which that process started. The times
// are zero if the events do not contain them.
func appliedAt(files [][]timeline.Event, vm string, a *Acceptance) (applied, started time.Time) {
	for _, events := range files {
		for i := range events {
			e := &events[i]
			switch {
			case e.VM != vm:
			case e.Kind == timeline.DaemonStarted:
				started = e.At
				applied = time.Time{}
			case e.Kind == timeline.RevisionApplied && e.Revision >= a.Revision && applied.IsZero():
				applied = e.At
			}
		}
	}
	return applied, started
}

// applyDeadline returns the time by which the daemon must have applied a ticket that
// was accepted at the given time. If an outage overlaps, the limit counts from its end.
func applyDeadline(vm string, accepted time.Time, options Options) time.Time {
	deadline := accepted.Add(options.ApplyLimit)
	for _, d := range options.Outages {
		if d.VM != "" && d.VM != vm {
			continue
		}
		if d.From.Before(deadline) && d.To.After(accepted) && d.To.Add(options.ApplyLimit).After(deadline) {
			deadline = d.To.Add(options.ApplyLimit)
		}
	}
	return deadline
}
