// Package member knows the daemons of the mesh and their endpoints, and
// derives the relay tree from them. It does no I/O.
package member

import (
	"cmp"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// State is what an endpoint can do.
type State int

// States of an endpoint. A later state replaces an earlier one of the same
// incarnation and sequence.
const (
	Ready State = iota + 1
	Draining
	// Lost means that a relay lost the link to the daemon.
	Lost
	// Gone means that the daemon left.
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

// Target is what a target announces about itself. The zero value means that
// the VM has no target.
type Target struct {
	Service string
	Version string
	// Instance names this run of the target; empty when targets have no names.
	// It stays on the VM.
	Instance string
	// Address is where the daemon beside the target reaches it.
	Address     string
	Slots       uint32
	Connections uint32
	// LinkRate is what the VM's link carries, in bytes a second; zero means
	// that it is not known or does not matter.
	LinkRate uint64
	Started  time.Time
	// WarmAt is when the target works at its full speed; zero leaves it to an
	// estimate from Started.
	WarmAt time.Time
}

// Endpoint is a daemon and the target beside it.
type Endpoint struct {
	VM          string
	Incarnation uint64
	Sequence    uint64
	// Described is the sequence at which the daemon last changed the entry's
	// description: its addresses and its target.
	Described   uint64
	State       State
	Domain      string
	Region      string
	PeerAddress string
	// InboundAddress takes proxied requests for the target.
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

// LaterThan reports whether the daemon announced e after other. A relay that
// marks an endpoint lost changes the state only.
func (e *Endpoint) LaterThan(other *Endpoint) bool {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence)) > 0
}

// partial reports whether the entry came without its description.
func (e *Endpoint) partial() bool { return e.PeerAddress == "" }

// Short returns the entry without its description. Most news repeat a
// description that every receiver knows, and it is most of an entry's bytes.
func (e *Endpoint) Short() Endpoint {
	return Endpoint{
		VM: e.VM, Incarnation: e.Incarnation, Sequence: e.Sequence,
		Described: e.Described, State: e.State, Domain: e.Domain,
	}
}

// SameDescription reports whether e holds the description that other, an entry
// of the same VM, has or refers to.
func (e *Endpoint) SameDescription(other *Endpoint) bool {
	return !e.partial() && e.Incarnation == other.Incarnation && e.Described == other.Described
}

// ForTable returns the entry as it is sent to a daemon that does not know it.
// An endpoint that takes no new work needs no description.
func (e *Endpoint) ForTable() Endpoint {
	if e.State >= Draining {
		return e.Short()
	}
	return *e
}

// fill takes over from an earlier entry of the same start what a partial
// entry leaves out.
func (e *Endpoint) fill(known *Endpoint) {
	if !e.partial() || known.Incarnation != e.Incarnation {
		return
	}
	e.Described = known.Described
	e.Region = known.Region
	e.PeerAddress = known.PeerAddress
	e.InboundAddress = known.InboundAddress
	e.AdminAddress = known.AdminAddress
	e.Target = known.Target
}

// Serves reports whether the endpoint takes new work for the service.
func (e *Endpoint) Serves(service string) bool {
	return e.State == Ready && e.Target.Service == service
}

// ToWire encodes the endpoint for the platform's table. The target's own
// address stays on its VM.
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

// FromWire decodes an endpoint.
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
