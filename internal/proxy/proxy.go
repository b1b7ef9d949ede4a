// Package proxy forwards HTTP requests. The outbound proxy forwards them from
// callers to the daemons on the targets' VMs; the inbound proxy forwards them
// from other daemons to the target on the same VM.
package proxy

import (
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Headers that daemons add to requests and responses.
const (
	// OutcomeHeader states whether the request ran; see Outcome.
	OutcomeHeader = "Magnoliamount-Outcome"
	// NoRetryHeader on a response prevents the daemons on its way to the caller
	// from retrying the request.
	NoRetryHeader = "Magnoliamount-No-Retry"
	// DeadlineHeader carries the time until the deadline in milliseconds.
	DeadlineHeader = "Magnoliamount-Deadline-Ms"
	// RequestHeader carries the request id. The first daemon generates it if the
	// caller sends none.
	RequestHeader = "Magnoliamount-Request"
	// ClockHeader carries the sender's Lamport clock.
	ClockHeader = "Magnoliamount-Clock"
	// LoadHeader carries the target's load: the number of requests in flight and
	// queued, divided by the number of slots.
	LoadHeader = "Magnoliamount-Load"
	// VersionHeader names the version that the outbound daemon chose.
	VersionHeader = "Magnoliamount-Version"
	// RouteHeader names the route that the outbound daemon matched.
	RouteHeader = "Magnoliamount-Route"
	// CrashHeader carries the fingerprint of a request that crashed a target.
	CrashHeader = "Magnoliamount-Crash"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
)

// Outcome is the value of OutcomeHeader.
type Outcome string

// Outcomes of a request.
const (
	// NotRun means that the request did not run: no byte of it reached a target,
	// or the target stated that it did not run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran.
	Ran Outcome = "ran"
)

// Observer receives reports about requests from the proxies.
type Observer interface {
	// Observe reports a finished request of a service with an open move.
	Observe(move.Observation)
	// RecordCrash reports that the target crashed while it ran a request.
	RecordCrash(fingerprint uint64)
	// Record reports a request that was not forwarded and answered normally, for
	// example one that was shed or quarantined or that crashed the target.
	Record(timeline.Event)
}
