// Package replay runs recorded moves through the planner, judge, collectors
// and brakes of the daemon, and reports how each move ended. It replays
// traces; it does not simulate processes or links.
package replay

import "time"

// Options of a replay. The zero value of a field means its default.
type Options struct {
	// Seed of the generator that draws requests.
	Seed uint64
	// Daemons is the number of caller-side daemons, 8 by default.
	Daemons int
	// EvidenceDelay is the time from a daemon's drain to the controller, 300 ms by default.
	EvidenceDelay time.Duration
	// StepDelay is the longest time from the controller to a daemon, 200 ms by default.
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

// End is how a replayed move ended.
type End string

// Ends of a move.
const (
	Done      End = "done"
	TakenBack End = "taken-back"
	// Open means that the move had not ended when the replay gave up.
	Open End = "open"
)

// Outcome is the result of one trace under one judge. Times are in
// milliseconds of the trace; -1 means never.
type Outcome struct {
	End    End    `json:"end"`
	Reason string `json:"reason,omitempty"`
	// EndMs is when the decision was made, FullMs when full progress was decided.
	EndMs  int64 `json:"end_ms"`
	FullMs int64 `json:"full_ms"`
	// RecordedMs is when the platform could record the outcome.
	RecordedMs int64 `json:"recorded_ms"`
	// Right is true for a good move that was done on time and for a bad one
	// that was taken back.
	Right bool `json:"right"`
	// ShownMs is when the first response came that is at least twice as
	// likely under the fault.
	ShownMs int64 `json:"shown_ms"`
	// EvidentMs is when an ideal observer, who knows both versions' true
	// behaviour and sees every response at once, is certain at 1e-4.
	EvidentMs int64 `json:"evident_ms"`
	// StoppedMs is when the last request went to the new version.
	StoppedMs int64 `json:"stopped_ms"`
	// MaxPermille is the highest progress.
	MaxPermille uint32 `json:"max_permille"`
	// ProvedMs is when the move first went beyond the proving share.
	ProvedMs int64 `json:"proved_ms"`
	// UnprovedShare is the new version's part of a service's requests before it was
	// proved, zero when there were fewer than 1000. With several services it is
	// the largest of theirs.
	UnprovedShare float64 `json:"unproved_share"`
	// NewRequests and Requests count from acceptance to the end of the move.
	NewRequests int64 `json:"new_requests"`
	Requests    int64 `json:"requests"`
	// AfterShown and AfterEvident count requests to the bad version after these times.
	AfterShown   int64 `json:"after_shown"`
	AfterEvident int64 `json:"after_evident"`
	// Brakes counts daemons that set their own brake.
	Brakes int `json:"brakes"`
}

// StopSeconds is the time from first evident badness until no traffic, and
// false when the fault was not evident or traffic did not stop.
func (o *Outcome) StopSeconds() (float64, bool) {
	if o.EvidentMs < 0 || o.End != TakenBack {
		return 0, o.End == TakenBack
	}
	return max(0, float64(o.StoppedMs-o.EvidentMs)/1000), true
}

// Result is the result of one trace.
type Result struct {
	Trace    string `json:"trace"`
	User     string `json:"user"`
	Stated   string `json:"stated"`
	FinishMs int64  `json:"finish_ms"`
	Seed     uint64 `json:"seed"`

	Sequential Outcome `json:"sequential"`
	Baseline   Outcome `json:"baseline"`
}
