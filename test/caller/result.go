// Package caller is an open-loop load generator for caller listeners. It
// gives each request a unique id, checks each answer byte for byte, re-sends
// once-only requests of unknown outcome through another daemon, and records
// what it was told.
package caller

import "time"

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	// Get is an idempotent lookup.
	Get Kind = "get"
	// Once is a POST with an idempotency key that must run at most once.
	Once Kind = "once"
	// Upload is a POST of several MB, sent slowly.
	Upload Kind = "upload"
)

// Verdict is what a caller concludes from a request.
type Verdict string

// Verdicts of a request.
const (
	// Answered means a whole answer of the target to this request, of any status.
	Answered Verdict = "answered"
	// NotRun means that the daemon said so.
	NotRun Verdict = "not-run"
	// Unknown means that the daemon said so, or gave an error without an outcome.
	Unknown Verdict = "unknown"
	// Unreached means that no connection to the daemon was made, so nothing was sent.
	Unreached Verdict = "unreached"
	// Cut means that the connection ended before the answer was whole.
	Cut Verdict = "cut"
	// Wrong means that the answer was not the one to this request.
	Wrong Verdict = "wrong"
	// Skipped means that too many requests were in flight to send this one.
	Skipped Verdict = "skipped"
)

// Attempt is one sending of a request.
type Attempt struct {
	Listener string  `json:"listener"`
	Status   int     `json:"status,omitempty"`
	Outcome  string  `json:"outcome,omitempty"`
	Verdict  Verdict `json:"verdict"`
	VM       string  `json:"vm,omitempty"`
	Version  string  `json:"version,omitempty"`
	Error    string  `json:"error,omitempty"`
}

// Result is one line of a caller's record. Status, Outcome, Verdict and
// Version are those of the last attempt.
type Result struct {
	ID       string    `json:"id"`
	Kind     Kind      `json:"kind"`
	Path     string    `json:"path"`
	Start    time.Time `json:"start"`
	Attempts []Attempt `json:"attempts"`
	Status   int       `json:"status,omitempty"`
	Outcome  string    `json:"outcome,omitempty"`
	Verdict  Verdict   `json:"verdict"`
	Version  string    `json:"version,omitempty"`
	// LatencyMicros is the time from the planned start to the end of the last
	// attempt, in microseconds.
	LatencyMicros int64 `json:"latency_us"`
	// Whole and Own tell whether the answer was complete and to this request.
	Whole bool `json:"whole"`
	Own   bool `json:"own"`
	// Bytes and Digest describe the body that was sent.
	Bytes  int64  `json:"bytes,omitempty"`
	Digest string `json:"digest,omitempty"`
}
