// Package member keeps the membership table of the mesh, which holds the daemons
// and their endpoints, and derives the relay tree from it. It does no I/O.
package member

import (
	"cmp"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// State is the state of an endpoint.
type State int

// States of an endpoint. A later state replaces an earlier one of the same
// incarnation and sequence.
const (
	Ready State = iota + 1
	Draining
	// Lost means that a relay lost its connection to the daemon.
	Lost
	// Gone means that the daemon left the mesh.
	Gone
)

// String returns the state's name in the administration API.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Lost:
		return "lost"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Target describes a target as it announces itself. The zero value means that the
// VM has no target.
type Target struct {
	Service string
	Version string
	// Instance identifies this run of the target; empty if targets announce no
	// instance. It is not sent to other VMs.
	Instance string
	// Address is the address at which the daemon on the VM reaches the target.
	Address     string
	Slots       uint32
	Connections uint32
	// LinkRate is the capacity of the VM's link, in bytes per second; zero means
	// that it is unknown or irrelevant.
	LinkRate uint64
	Started  time.Time
	// WarmAt is when the target is no longer cold and works at full speed; zero
	// means that it is estimated from Started.
	WarmAt time.Time
	// ColdPerSecond is the number of requests per second that the target can take while
	// it is cold; zero means that there is no limit.
	ColdPerSecond float64
}

// Endpoint is a daemon and the target on its VM.
type Endpoint struct {
	VM          string
	Incarnation uint64
	Sequence    uint64
	// DescriptionSequence is the sequence at which the daemon last changed the
	// entry's description: its addresses and its target.
	DescriptionSequence uint64
	State               State
	Domain              string
	Region              string
	PeerAddress         string
	// InboundAddress accepts proxied requests for the target.
	InboundAddress string
	// AdminAddress serves the administration API.
	AdminAddress string
	Target       Target
}

// Newer reports whether e replaces other, an entry of the same VM.
func (e *Endpoint) Newer(other *Endpoint) bool {
	return cmp.Or(
		cmp.Compare(e.Incarnation, other.Incarnation),
		cmp.Compare(e.Sequence, other.Sequence),
		cmp.Compare(e.State, other.State),
	) > 0
}

// AnnouncedAfter reports whether the daemon announced e after other. Unlike Newer
// it ignores the state, which a relay changes when it marks an endpoint lost.
func (e *Endpoint) AnnouncedAfter(other *Endpoint) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence)) > 0
}

// partial reports whether the entry has no description.
func (e *Endpoint) partial() bool { return e.PeerAddress == "" }

// WithoutDescription returns a partial entry. Most updates do not change the
// description, which all receivers already hold and which accounts for most of an
// entry's bytes.
func (e *Endpoint) WithoutDescription() Endpoint {
	return Endpoint{
		VM: e.VM, Incarnation: e.Incarnation, Sequence: e.Sequence,
		DescriptionSequence: e.DescriptionSequence, State: e.State, Domain: e.Domain,
	}
}

// SameDescription reports whether e contains the description that other, an entry
// of the same VM, contains or refers to.
func (e *Endpoint) SameDescription(other *Endpoint) bool {
	return !e.partial() && e.Incarnation == other.Incarnation && e.DescriptionSequence == other.DescriptionSequence
}

// ForTransfer returns the entry as it is sent to a daemon that lacks it. An
// endpoint that accepts no new work needs no description.
func (e *Endpoint) ForTransfer() Endpoint {
	if e.State >= Draining {
		return e.WithoutDescription()
	}
	return *e
}

// fill copies to a partial entry the description of an earlier entry of the same
// incarnation.
func (e *Endpoint) fill(known *Endpoint) {
	if !e.partial() || known.Incarnation != e.Incarnation {
		return
	}
	e.DescriptionSequence = known.DescriptionSequence
	e.Region = known.Region
	e.PeerAddress = known.PeerAddress
	e.InboundAddress = known.InboundAddress
	e.AdminAddress = known.AdminAddress
	e.Target = known.Target
}

// Serves reports whether the endpoint accepts new work for the service.
func (e *Endpoint) Serves(service string) bool {
	return e.State == Ready && e.Target.Service == service
}

// ToWire converts the endpoint to its message for the platform's table. The
// message does not contain the target's own address, which is local to the VM.
func (e *Endpoint) ToWire() *wire.Endpoint {
	w := &wire.Endpoint{
		Vm: e.VM, Incarnation: e.Incarnation, Sequence: e.Sequence,
		State: wire.EndpointState(e.State), Domain: e.Domain, Region: e.Region,
		PeerAddress: e.PeerAddress, InboundAddress: e.InboundAddress,
		AdminAddress: e.AdminAddress, Service: e.Target.Service, Version: e.Target.Version,
		Slots: e.Target.Slots, Connections: e.Target.Connections,
	}
	if !e.Target.Started.IsZero() {
		w.StartedUnixMs = e.Target.Started.UnixMilli()
	}
	return w
}

// FromWire converts a message to an endpoint.
func FromWire(w *wire.Endpoint) Endpoint {
	e := Endpoint{
		VM: w.GetVm(), Incarnation: w.GetIncarnation(), Sequence: w.GetSequence(),
		State: State(w.GetState()), Domain: w.GetDomain(), Region: w.GetRegion(),
		PeerAddress: w.GetPeerAddress(), InboundAddress: w.GetInboundAddress(),
		AdminAddress: w.GetAdminAddress(),
		Target: Target{
			Service: w.GetService(), Version: w.GetVersion(),
			Slots: w.GetSlots(), Connections: w.GetConnections(),
		},
	}
	if ms := w.GetStartedUnixMs(); ms != 0 {
		e.Target.Started = time.UnixMilli(ms).UTC()
	}
	return e
}
