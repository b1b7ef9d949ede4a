// Package admin implements the server and the client of the administration
// API. Every daemon serves the same API: JSON over HTTP, with typed errors in
// the response body.
package admin

import (
	"context"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// TicketStatus describes a ticket and how far it has been applied.
type TicketStatus struct {
	Number   uint64 `json:"number"`
	Note     string `json:"note,omitempty"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// State is "open", or the result: "done", "taken-back" or "superseded".
	State string `json:"state"`
	// Reason explains the result. For an open ticket it is the controller's
	// reason why the ticket's moves do not advance.
	Reason string `json:"reason,omitempty"`
	// InForce is true when every reachable daemon has applied the revision.
	InForce bool `json:"in_force"`
	// Applied is the number of daemons that have applied the revision; it is set
	// once the revision is in force. Members is the number of daemons that the
	// controller's latest statement counts; Unreachable names the daemons that
	// it leaves out.
	Applied     uint32   `json:"applied"`
	Members     uint32   `json:"members"`
	Unreachable []string `json:"unreachable,omitempty"`
	// Progress is the progress of the ticket's moves, in permille.
	Progress   uint32    `json:"progress_permille"`
	AcceptedAt time.Time `json:"accepted_at"`
	// EndedAt is set when the outcome is recorded; it is nil before.
	EndedAt *time.Time `json:"ended_at,omitempty"`
}

// MemberStatus describes one daemon of the mesh.
type MemberStatus struct {
	VM       string `json:"vm"`
	Domain   string `json:"domain"`
	Region   string `json:"region"`
	State    string `json:"state"`
	Service  string `json:"service,omitempty"`
	Version  string `json:"version,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// AdminAddress is the address of the daemon's administration API, or empty
	// when it is unknown.
	AdminAddress string `json:"admin_address,omitempty"`
}

// Status describes the daemon that responds and its view of the mesh.
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

// TimelineFilter selects timeline events. A zero field does not filter.
type TimelineFilter struct {
	Ticket  uint64
	VM      string
	Request string
}

// Backend is the part of a daemon that the API server calls. Its methods
// return errors with a fault.Kind.
type Backend interface {
	// Submit commits the ticket and returns once it is durable or refused. It
	// is idempotent: submitting the same ticket again returns the same result.
	Submit(ctx context.Context, t *model.Ticket) (TicketStatus, error)
	// Ticket returns the status of a ticket, or fault.NotFound.
	Ticket(ctx context.Context, number uint64) (TicketStatus, error)
	// Tickets returns up to limit tickets, the newest first.
	Tickets(ctx context.Context, limit int) ([]TicketStatus, error)
	// State returns the configuration that the daemon has applied.
	State() *model.State
	// Status describes the daemon and its view of the mesh.
	Status() Status
	// Timeline returns the events that this daemon recorded.
	Timeline(filter TimelineFilter) []timeline.Event
	// Ready returns nil when the daemon is ready, or fault.NotReady with the reason.
	Ready() error
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Details []string   `json:"details,omitempty"`
	// Expected is the next ticket number, for fault.OutOfOrder.
	Expected uint64 `json:"expected,omitempty"`
}
