// Package core implements the decisions of a daemon as a deterministic state
// machine: acceptance of tickets, the controller lease, distribution over the
// relay tree, acknowledgements and moves. It does no I/O, starts no goroutine
// and has no clock: Node.Step takes the time and an event and returns effects
// for the daemon to carry out.
package core

import (
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// Events.
type (
	// Tick is sent every TickInterval.
	Tick struct{}
	// LinkUp reports a link that can carry frames.
	LinkUp struct{ Link peer.LinkID }
	// LinkDown reports a link that was closed, or a dial that failed.
	LinkDown struct {
		Link peer.LinkID
		Err  error
	}
	// FrameReceived is a frame from another daemon.
	FrameReceived struct {
		Link  peer.LinkID
		Frame *wire.Frame
	}
	// PlatformDone is the result of a PlatformCall.
	PlatformDone struct {
		ID     uint64
		Result PlatformResult
	}
	// Submit requests the acceptance of a ticket; a Reply with the ID follows.
	Submit struct {
		ID     uint64
		Ticket *model.Ticket
	}
	// TargetChanged reports the target on this VM.
	TargetChanged struct {
		Target member.Target
		State  member.State
	}
	// SamplesTaken holds the samples of this daemon since the previous
	// SamplesTaken.
	SamplesTaken struct{ Samples []move.Sample }
	// CrashReported reports that a request crashed the target on this VM.
	CrashReported struct{ Fingerprint uint64 }
	// Stop starts the planned stop of the daemon.
	Stop struct{}
	// Leave ends the planned stop, once no request is in flight.
	Leave struct{}
)

func (Tick) isEvent()          {}
func (LinkUp) isEvent()        {}
func (LinkDown) isEvent()      {}
func (FrameReceived) isEvent() {}
func (PlatformDone) isEvent()  {}
func (Submit) isEvent()        {}
func (TargetChanged) isEvent() {}
func (SamplesTaken) isEvent()  {}
func (CrashReported) isEvent() {}
func (Stop) isEvent()          {}
func (Leave) isEvent()         {}

// Effect is an action that the daemon has to carry out.
type Effect interface{ isEffect() }

// Effects.
type (
	// SendFrame queues a frame on a link.
	SendFrame struct {
		Link  peer.LinkID
		Frame *wire.Frame
		Bulk  bool
	}
	// Dial opens a link; LinkUp or LinkDown follows.
	Dial struct {
		Link    peer.LinkID
		Address string
	}
	// CloseLink closes a link.
	CloseLink struct{ Link peer.LinkID }
	// PlatformCall starts a call to the platform; PlatformDone follows.
	PlatformCall struct {
		ID   uint64
		Call Call
	}
	// Publish passes a new configuration to the proxies.
	Publish struct{ Config *routing.Config }
	// PublishCrashCounts passes the crash counts by request fingerprint to the
	// proxies.
	PublishCrashCounts struct{ Counts map[uint64]uint32 }
	// Emit adds an event to the time line.
	Emit struct{ Event timeline.Event }
	// Reply answers a Submit.
	Reply struct {
		ID       uint64
		Accepted Accepted
		Err      error
	}
)

func (SendFrame) isEffect()          {}
func (Dial) isEffect()               {}
func (CloseLink) isEffect()          {}
func (PlatformCall) isEffect()       {}
func (Publish) isEffect()            {}
func (PublishCrashCounts) isEffect() {}
func (Emit) isEffect()               {}
func (Reply) isEffect()              {}

// Accepted is the revision of the record that accepted a ticket, and the digest
// of the ticket.
type Accepted struct {
	Revision uint64
	Digest   string
}

// Call is a call to the platform. Exactly one field is set.
type Call struct {
	Get       *platform.Key
	Query     *QueryCall
	Transact  []platform.Write
	PutObject *ObjectCall
	GetObject string
}

// QueryCall reads the items of a partition after a sort key.
type QueryCall struct {
	Partition string
	After     string
	Limit     int
}

// ObjectCall writes an object.
type ObjectCall struct {
	Name string
	Body []byte
}

// PlatformResult is the result of a Call.
type PlatformResult struct {
	Item  platform.Item
	Items []platform.Item
	Body  []byte
	Err   error
}
