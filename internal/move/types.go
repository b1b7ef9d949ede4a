// Package move implements progressive rollout ("move") of a service's traffic to
// new versions: the step schedule, the evidence that callers' daemons collect,
// the judge that compares the new version with the old one, and each daemon's
// own brake. It does no I/O and takes the current time as an argument.
package move

import "time"

// FullProgress is the progress, in permille, of a move whose traffic all goes to
// the new versions.
const FullProgress = 1000

// Step is one change of an open ticket's progress. A higher (Epoch, Number)
// replaces a lower one.
type Step struct {
	Ticket uint64
	Epoch  uint64
	Number uint32
	// Permille is the progress, from 0 to FullProgress.
	Permille uint32
	// Focus is the number of targets of each new version that receive its share;
	// zero means all.
	Focus uint32
}

// Newer reports whether s replaces other. Both must belong to the same ticket.
func (s Step) Newer(other Step) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.Number > other.Number
}

// SampleKey identifies the requests that a sample counts.
type SampleKey struct {
	Ticket  uint64
	Route   string
	Service string
	// New is true for the versions whose share grows with the ticket.
	New bool
}

// LatencyBuckets is the number of latency buckets of a sample. Bucket i counts the
// requests with a latency from BucketBound(i-1) to less than BucketBound(i).
const LatencyBuckets = 24

// Sample counts requests over an interval.
type Sample struct {
	Key      SampleKey
	Requests uint32
	Errors   uint32
	// AnsweredErrors counts the Errors that a target answered itself. The others are
	// requests without an answer, as when the target crashes or is overloaded.
	AnsweredErrors uint32
	Latency        [LatencyBuckets]uint32
}

// Observation is one finished request, as measured by the caller's daemon.
type Observation struct {
	Key     SampleKey
	Latency time.Duration
	// Failed is true for a server error or an unknown outcome. Requests that
	// were shed before they ran are not observed.
	Failed bool
	// Answered is true for a failure that the target answered itself. A failure that says
	// that the target had no time for the request is not one.
	Answered bool
	// CrashFingerprint identifies the request if the target crashed while running
	// it; zero means no crash.
	CrashFingerprint uint64
}
