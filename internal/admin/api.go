// Package admin is the administration API: JSON over HTTP, the same on every
// daemon, with typed errors in the body, and its client.
package admin

import (
	"context"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// TicketStatus is the system's statement about a ticket.
type TicketStatus struct {
	Number   uint64 `json:"number"`
	Note     string `json:"note,omitempty"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// State is "open", or the result: "done", "taken-back" or "superseded".
	State string `json:"state"`
	// Reason explains the result. For an open ticket the controller gives the
	// reason why its moves do not advance.
	Reason string `json:"reason,omitempty"`
	// InForce is true when every reachable daemon has applied the revision.
	InForce bool `json:"in_force"`
	// Applied counts the daemons that have applied the revision, once it is in
	// force. Members counts the daemons of the newest statement; Unreachable
	// names those that it does not count.
	Applied     uint32   `json:"applied"`
	Members     uint32   `json:"members"`
	Unreachable []string `json:"unreachable,omitempty"`
	// Progress of the ticket's moves, in permille.
	Progress   uint32    `json:"progress_permille"`
	AcceptedAt time.Time `json:"accepted_at"`
	// EndedAt is set once the outcome is recorded.
	EndedAt *time.Time `json:"ended_at,omitempty"`
}

// MemberStatus describes one daemon.
type MemberStatus struct {
	VM       string `json:"vm"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	State    string `json:"state"`
	Service  string `json:"service,omitempty"`
	Version  string `json:"version,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// AdminAddress is where the daemon's administration API listens, if known.
	AdminAddress string `json:"admin_address,omitempty"`
}

// Status describes the daemon that answers and what it knows of the mesh.
type Status struct {
	VM          string         `json:"vm"`
	Domain      string         `json:"domain"`
	Region      string         `json:"region"`
	Ready       bool           `json:"ready"`
	Reason      string         `json:"reason,omitempty"`
	Revision    uint64         `json:"revision"`
	LastTicket  uint64         `json:"last_ticket"`
	Controller  string         `json:"controller"`
	Epoch       uint64         `json:"epoch"`
	Parent      string         `json:"parent,omitempty"`
	Children    int            `json:"children"`
	PlatformUp  bool           `json:"platform_up"`
	OpenTickets []uint64       `json:"open_tickets,omitempty"`
	Members     []MemberStatus `json:"members,omitempty"`
}

// TimelineFilter selects events; zero fields select all.
type TimelineFilter struct {
	Ticket  uint64
	VM      string
	Request string
}

// Backend is what the API needs of the daemon. Failures have kinds of package fault.
type Backend interface {
	// Submit commits the ticket and returns once it is durable or refused.
	// The same ticket sent again is answered like the first time.
	Submit(ctx context.Context, t *model.Ticket) (TicketStatus, error)
	// Ticket returns the statement about a ticket, or fault.NotFound.
	Ticket(ctx context.Context, number uint64) (TicketStatus, error)
	// Tickets returns the newest tickets first.
	Tickets(ctx context.Context, limit int) ([]TicketStatus, error)
	// State returns the configuration that the daemon has applied.
	State() *model.State
	Status() Status
	// Timeline returns this daemon's own events.
	Timeline(filter TimelineFilter) []timeline.Event
	// Ready returns nil, or fault.NotReady with the reason.
	Ready() error
}

// ErrorBody is the JSON body of every failed call.
type ErrorBody struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Details []string   `json:"details,omitempty"`
	// Expected is the next ticket number, for fault.OutOfOrder.
	Expected uint64 `json:"expected,omitempty"`
}
