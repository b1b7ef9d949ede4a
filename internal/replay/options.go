// Package replay runs recorded moves through the planner, judge, collectors
// and brakes of the daemon, and reports how each move ended. It replays
// traces; it does not simulate processes or network links.
package replay

import "time"

// Options configures a replay. Zero and negative values mean the default, except
// for Seed.
type Options struct {
	// Seed is the seed of the random number generator for requests and delays.
	Seed uint64
	// Daemons is the number of caller-side daemons, 8 by default.
	Daemons int
	// EvidenceDelay is the delay of samples from a daemon to the controller, 300 ms
	// by default.
	EvidenceDelay time.Duration
	// StepDelay is the maximum delay of steps from the controller to a daemon, 200 ms
	// by default.
	StepDelay time.Duration
}

// Defaults of Options.
const (
	DefaultDaemons       = 8
	DefaultEvidenceDelay = 300 * time.Millisecond
	DefaultStepDelay     = 200 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Daemons <= 0 {
		o.Daemons = DefaultDaemons
	}
	if o.EvidenceDelay <= 0 {
		o.EvidenceDelay = DefaultEvidenceDelay
	}
	if o.StepDelay <= 0 {
		o.StepDelay = DefaultStepDelay
	}
	return o
}

// End is the final state of a replayed move.
type End string

// Final states of a move.
const (
	Done      End = "done"
	TakenBack End = "taken-back"
	// Open means that the move had not ended at the end of the replay.
	Open End = "open"
)

// Outcome is the result of one trace under one judge. Times are in
// milliseconds of the trace; -1 means never.
type Outcome struct {
	End    End    `json:"end"`
	Reason string `json:"reason,omitempty"`
	// EndMs is the time of the decision to finish the move or to take it back,
	// FullMs the time of the decision for full progress.
	EndMs  int64 `json:"end_ms"`
	FullMs int64 `json:"full_ms"`
	// RecordedMs is the earliest time after EndMs at which the platform is available
	// to record the outcome.
	RecordedMs int64 `json:"recorded_ms"`
	// Correct is true if the end matches the expected outcome: a good move was done
	// on time, or a bad one was taken back.
	Correct bool `json:"right"`
	// ShownMs is the time of the first response that is at least twice as likely
	// under the fault as without it.
	ShownMs int64 `json:"shown_ms"`
	// EvidentMs is the time at which an ideal observer detects the fault with an
	// error probability of 1e-4. The observer uses the true behaviour of both
	// versions and receives every response without delay.
	EvidentMs int64 `json:"evident_ms"`
	// StoppedMs is the time of the last request to the new version.
	StoppedMs int64 `json:"stopped_ms"`
	// MaxPermille is the highest progress of the move.
	MaxPermille uint32 `json:"max_permille"`
	// ProvedMs is the time at which the progress first exceeded the limit for
	// unproved versions.
	ProvedMs int64 `json:"proved_ms"`
	// UnprovedShare is the new version's fraction of a service's requests before
	// the version was proved, or zero for fewer than 1000 requests. With several
	// services it is the largest of their fractions.
	UnprovedShare float64 `json:"unproved_share"`
	// NewRequests and Requests count the requests to the new version and to both
	// versions from the acceptance of the ticket until the move is done. After a
	// move is taken back they count until the end of the replay.
	NewRequests int64 `json:"new_requests"`
	Requests    int64 `json:"requests"`
	// AfterShown and AfterEvident count the requests to the new version after ShownMs
	// and EvidentMs.
	AfterShown   int64 `json:"after_shown"`
	AfterEvident int64 `json:"after_evident"`
	// Brakes is the number of daemons that set their own brake.
	Brakes int `json:"brakes"`
}

// StopSeconds returns the time in seconds from EvidentMs to the last request to
// the new version, or zero if the fault was not evident by then. It returns false
// if the move was not taken back.
func (o *Outcome) StopSeconds() (float64, bool) {
	if o.EvidentMs < 0 || o.End != TakenBack {
		return 0, o.End == TakenBack
	}
	return max(0, float64(o.StoppedMs-o.EvidentMs)/1000), true
}

// Result is the result of one trace under both judges.
type Result struct {
	Trace string `json:"trace"`
	User  string `json:"user"`
	// StatedOutcome is the expected outcome of the trace.
	StatedOutcome string `json:"stated"`
	FinishMs      int64  `json:"finish_ms"`
	Seed          uint64 `json:"seed"`

	Sequential Outcome `json:"sequential"`
	Baseline   Outcome `json:"baseline"`
}
