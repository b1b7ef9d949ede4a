package checker

import (
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Acceptance is what an operator was told about a ticket.
type Acceptance struct {
	Number   uint64    `json:"number"`
	Revision uint64    `json:"revision"`
	Digest   string    `json:"digest"`
	At       time.Time `json:"at"`
}

// Disturbance is a time during which a test kept a daemon from the news, by
// killing, freezing or cutting it off. An empty VM means all daemons.
type Disturbance struct {
	VM   string
	From time.Time
	To   time.Time
}

// checkTickets compares what operators were told with what daemons applied.
func checkTickets(records *Records, options Options, report *Report) {
	digests := map[uint64]string{}
	for _, accepted := range records.Operators {
		for _, a := range accepted {
			report.Tickets++
			if other, known := digests[a.Number]; known && other != a.Digest {
				report.add(Conflict, ticketName(a.Number), "two operators were told that different tickets of the number are accepted")
			}
			digests[a.Number] = a.Digest
			checkAccepted(&a, records.Events, options, report)
		}
	}
}

func ticketName(number uint64) string { return "ticket " + strconv.FormatUint(number, 10) }

func checkAccepted(a *Acceptance, files [][]timeline.Event, options Options, report *Report) {
	for _, vm := range options.Alive {
		applied, started := appliedAt(files, vm, a)
		if applied.IsZero() {
			report.add(Missing, ticketName(a.Number), "%s did not apply revision %d", vm, a.Revision)
			continue
		}
		deadline := deadlineOf(vm, a.At, options)
		if options.InForce > 0 && started.Before(a.At) && applied.After(deadline) {
			report.add(Late, ticketName(a.Number), "%s applied revision %d after %s", vm, a.Revision, applied.Sub(a.At).Round(time.Millisecond))
		}
	}
}

// appliedAt returns when the last process of the VM first had the revision,
// and when that process started.
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

// deadlineOf is when the daemon must have applied what was accepted at a
// time. The limit counts from the end of a disturbance that came in between.
func deadlineOf(vm string, accepted time.Time, options Options) time.Time {
	deadline := accepted.Add(options.InForce)
	for _, d := range options.Disturbances {
		if d.VM != "" && d.VM != vm {
			continue
		}
		if d.From.Before(deadline) && d.To.After(accepted) && d.To.Add(options.InForce).After(deadline) {
			deadline = d.To.Add(options.InForce)
		}
	}
	return deadline
}
