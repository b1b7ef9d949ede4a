package checker

import "fmt"

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Lost is an answered request that no target ran.
	Lost Kind = "lost"
	// Doubled is a request that must run at most once, but ran more than once.
	Doubled Kind = "doubled"
	// Cut is a request whose connection ended before the response was complete, or
	// whose run was interrupted by a planned stop.
	Cut Kind = "cut"
	// Crossed is a request that received a response that does not match it, or whose
	// body differs from the body that the target read.
	Crossed Kind = "crossed"
	// FalseNotRun is an attempt that a target ran although its outcome was "not run".
	FalseNotRun Kind = "false-not-run"
	// Reverted is a daemon that applied a lower revision than before, or that serves a
	// lower revision than its predecessor on the VM.
	Reverted Kind = "reverted"
	// Conflict is a ticket number under which two different tickets were accepted.
	Conflict Kind = "conflict"
	// Missing is an accepted ticket that a daemon did not apply.
	Missing Kind = "missing"
	// Late is an accepted ticket that a daemon applied too late.
	Late Kind = "late"
	// NotTakenBack is a bad version that no daemon took back.
	NotTakenBack Kind = "not-taken-back"
	// PartlyTakenBack is a bad version that a service still uses after its take-back.
	PartlyTakenBack Kind = "partly-taken-back"
	// Exposed is a bad version that received too large a share of the requests.
	Exposed Kind = "exposed"
	// StillUsed is a bad version that received requests for too long after it was
	// evidently bad.
	StillUsed Kind = "still-used"
	// Misjudged is a good version that was taken back.
	Misjudged Kind = "misjudged"
	// CrashSpread is a request that crashed too many targets.
	CrashSpread Kind = "crash-spread"
	// LateWork is a request that a draining target received after DrainNoticeLimit.
	LateWork Kind = "late-work"
)

// Finding is one violation of an invariant.
type Finding struct {
	Kind Kind `json:"kind"`
	// Subject is the request's ID, idempotency key or path, the daemon's VM, or the
	// ticket.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Report is the result of a check. The counts of checked items show whether the
// records contained any data.
type Report struct {
	Requests int       `json:"requests"`
	Runs     int       `json:"runs"`
	Applied  int       `json:"applied"`
	Tickets  int       `json:"tickets"`
	Crashes  int       `json:"crashes"`
	Findings []Finding `json:"findings"`
	// Tolerated counts the cut attempts through a killed daemon or target.
	Tolerated int `json:"tolerated"`
	// Exposures holds one entry per bad version that was taken back.
	Exposures []Exposure `json:"exposures"`
}

// Count returns the number of findings of the kind.
func (r *Report) Count(kind Kind) int {
	n := 0
	for _, f := range r.Findings {
		if f.Kind == kind {
			n++
		}
	}
	return n
}

func (r *Report) add(kind Kind, subject, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
