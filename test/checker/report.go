package checker

import "fmt"

// Kind names a broken promise.
type Kind string

// Kinds of findings.
const (
	// Lost is an answered request that no target ran.
	Lost Kind = "lost"
	// Doubled is a request that may not be repeated and ran more than once.
	Doubled Kind = "doubled"
	// Cut is a request whose connection ended before its answer, or that a
	// target still ran at its planned stop.
	Cut Kind = "cut"
	// Crossed is a request that got another one's answer, or a body that
	// reached its target changed.
	Crossed Kind = "crossed"
	// FalseNotRun is an attempt that a target ran although its caller was told "not run".
	FalseNotRun Kind = "false-not-run"
	// Reverted is a daemon that applied a lower revision than before.
	Reverted Kind = "reverted"
	// Conflict is a ticket number under which two tickets were accepted.
	Conflict Kind = "conflict"
	// Missing is an accepted ticket that a daemon did not apply.
	Missing Kind = "missing"
	// Late is an accepted ticket that a daemon applied too late.
	Late Kind = "late"
	// NotTakenBack is a bad version without a take-back.
	NotTakenBack Kind = "not-taken-back"
	// PartlyTakenBack is a bad version that a service still uses after its take-back.
	PartlyTakenBack Kind = "partly-taken-back"
	// Exposed is a bad version that ran too large a share of the requests.
	Exposed Kind = "exposed"
	// StillUsed is a bad version that got requests for too long after its
	// badness was evident.
	StillUsed Kind = "still-used"
	// Misjudged is a good version that was taken back.
	Misjudged Kind = "misjudged"
	// CrashSpread is a request that crashed too many targets.
	CrashSpread Kind = "crash-spread"
	// LateWork is a request that a target got after it had left.
	LateWork Kind = "late-work"
)

// Finding is one broken promise.
type Finding struct {
	Kind Kind `json:"kind"`
	// Subject is the request's id or key, or the daemon's VM.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Report is the result of a check. The numbers of what was checked show
// whether the records held anything.
type Report struct {
	Requests int       `json:"requests"`
	Runs     int       `json:"runs"`
	Applied  int       `json:"applied"`
	Tickets  int       `json:"tickets"`
	Crashes  int       `json:"crashes"`
	Findings []Finding `json:"findings"`
	// Tolerated counts cut attempts through a daemon or target that was killed.
	Tolerated int `json:"tolerated"`
	// Exposures holds what each bad version got.
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
