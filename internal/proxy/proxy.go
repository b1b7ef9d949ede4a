// Package proxy forwards HTTP requests: outbound from callers to the daemons
// beside targets, and inbound from daemons to the target on the same VM.
package proxy

import (
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// Headers that daemons add to requests and responses.
const (
	// OutcomeHeader tells whether a request ran; see Outcome.
	OutcomeHeader = "Magnoliamount-Outcome"
	// NoRetryHeader on a response keeps daemons upstream from retrying.
	NoRetryHeader = "Magnoliamount-No-Retry"
	// DeadlineHeader carries the remaining time in milliseconds.
	DeadlineHeader = "Magnoliamount-Deadline-Ms"
	// RequestHeader carries the request id, made by the first daemon.
	RequestHeader = "Magnoliamount-Request"
	// ClockHeader carries the sender's Lamport clock.
	ClockHeader = "Magnoliamount-Clock"
	// LoadHeader carries the target's load: requests in flight and queued, over slots.
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
	// NotRun means that no byte of the request reached a target.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran.
	Ran Outcome = "ran"
)

// Observer receives what the proxies see.
type Observer interface {
	// Observe reports a finished request of a service with an open move.
	Observe(move.Observation)
	// Strike reports that the target died while it ran a request.
	Strike(fingerprint uint64)
	// Record reports what became of a request that was not forwarded as usual:
	// it was shed or quarantined, or it crashed the target.
	Record(timeline.Event)
}
