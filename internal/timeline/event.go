// Package timeline records the events of a daemon and merges the events of
// several daemons in causal order. It opens no files or connections.
package timeline

import "time"

// Kind is the type of an event. Its text is part of the public API.
type Kind string

// Kinds of events.
const (
	DaemonStarted      Kind = "daemon-started"
	DaemonReady        Kind = "daemon-ready"
	DaemonStopping     Kind = "daemon-stopping"
	LeaseTaken         Kind = "lease-taken"
	LeaseLost          Kind = "lease-lost"
	TicketAccepted     Kind = "ticket-accepted"
	TicketRefused      Kind = "ticket-refused"
	RevisionApplied    Kind = "revision-applied"
	RevisionInForce    Kind = "revision-in-force"
	StepApplied        Kind = "step-applied"
	BrakeSet           Kind = "brake-set"
	OutcomeRecorded    Kind = "outcome-recorded"
	EndpointChanged    Kind = "endpoint-changed"
	ParentAttached     Kind = "parent-attached"
	ParentLost         Kind = "parent-lost"
	ChildAttached      Kind = "child-attached"
	ChildLost          Kind = "child-lost"
	PlatformDown       Kind = "platform-down"
	PlatformUp         Kind = "platform-up"
	TargetAnnounced    Kind = "target-announced"
	TargetDraining     Kind = "target-draining"
	TargetGone         Kind = "target-gone"
	TargetCrashed      Kind = "target-crashed"
	RequestQuarantined Kind = "request-quarantined"
	RequestShed        Kind = "request-shed"
	RequestRefused     Kind = "request-refused"
	RequestFailed      Kind = "request-failed"
	RequestRetried     Kind = "request-retried"
	FrameRefused       Kind = "frame-refused"
)

// Event is one entry of the time line.
type Event struct {
	// Clock is the Lamport timestamp of the event. A cause has a lower
	// timestamp than its effects on any daemon.
	Clock uint64 `json:"clock"`
	// At is the daemon's wall clock time. It is informational; only events
	// with the same Clock are ordered by it.
	At       time.Time `json:"at"`
	VM       string    `json:"vm"`
	Kind     Kind      `json:"kind"`
	Ticket   uint64    `json:"ticket,omitempty"`
	Revision uint64    `json:"revision,omitempty"`
	Epoch    uint64    `json:"epoch,omitempty"`
	Request  string    `json:"request,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}
