// Package move decides how traffic goes over to new versions: the plan of a
// move, the evidence from callers' daemons, the judge that compares the new
// version with the old one, and each daemon's own brake. It does no I/O and
// takes the time as an argument.
package move

import "time"

// FullProgress is the progress of a move whose traffic has gone over wholly.
const FullProgress = 1000

// Step is one change of an open ticket's progress. A higher (Epoch, Number)
// replaces a lower one.
type Step struct {
	Ticket uint64
	Epoch  uint64
	Number uint32
	// Permille is the progress, of 0 to FullProgress.
	Permille uint32
	// Focus is how many targets of each new version take its share; zero means all.
	Focus uint32
}

// Newer reports whether s replaces other, a step of the same ticket.
func (s Step) Newer(other Step) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.Number > other.Number
}

// SampleKey names what a sample counts.
type SampleKey struct {
	Ticket  uint64
	Route   string
	Service string
	// New is true for the versions that gain traffic by the ticket.
	New bool
}

// LatencyBuckets is the number of latency buckets of a sample. Bucket i
// counts requests that took less than BucketBound(i).
const LatencyBuckets = 24

// Sample counts requests over an interval.
type Sample struct {
	Key      SampleKey
	Requests uint32
	Errors   uint32
	Latency  [LatencyBuckets]uint32
}

// Observation is one finished request, as the caller's daemon saw it.
type Observation struct {
	Key     SampleKey
	Latency time.Duration
	// Failed is true for a server error or an unknown outcome. Requests that
	// were shed before they ran are not observed.
	Failed bool
	// CrashFingerprint is set when the target died while it ran the request.
	CrashFingerprint uint64
}
