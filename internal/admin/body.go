package admin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
)

// StateBody is the JSON form of the configuration that a daemon has applied.
// Its lists are sorted by name or number.
type StateBody struct {
	Revision   uint64             `json:"revision"`
	LastTicket uint64             `json:"last_ticket"`
	Services   []ServiceBody      `json:"services"`
	Routes     []ticketfile.Route `json:"routes"`
	Open       []OpenTicketBody   `json:"open"`
	Outcomes   []RecordedOutcome  `json:"outcomes"`
}

// ServiceBody is a service of the applied configuration. Proved lists the
// versions that have taken over traffic before.
type ServiceBody struct {
	ticketfile.Service
	Proved []string `json:"proved"`
}

// OpenTicketBody is an accepted ticket with moves that are still in progress.
type OpenTicketBody struct {
	Revision   uint64          `json:"revision"`
	AcceptedAt time.Time       `json:"accepted_at"`
	Ticket     ticketfile.File `json:"ticket"`
}

// RecordedOutcome is the recorded outcome of a ticket.
type RecordedOutcome struct {
	Ticket uint64    `json:"ticket"`
	Result string    `json:"result"`
	Reason string    `json:"reason,omitempty"`
	At     time.Time `json:"at"`
}

// CheckResult is the response to a dry run of a ticket that passed every check.
type CheckResult struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Revision is the revision of the state that the ticket was checked against.
	Revision uint64 `json:"revision"`
}

// Health is the body of /healthz and of a successful /readyz response.
type Health struct {
	Status string `json:"status"`
}

func newStateBody(s *model.State) StateBody {
	body := StateBody{
		Revision: s.Revision, LastTicket: s.LastTicket,
		Services: []ServiceBody{}, Routes: []ticketfile.Route{},
		Open: []OpenTicketBody{}, Outcomes: []RecordedOutcome{},
	}
	for _, service := range valuesByKey(s.Services) {
		body.Services = append(body.Services, ServiceBody{Service: ticketfile.FromService(service), Proved: service.Proved})
	}
	for _, route := range valuesByKey(s.Routes) {
		body.Routes = append(body.Routes, ticketfile.FromRoute(route))
	}
	for _, open := range valuesByKey(s.Open) {
		body.Open = append(body.Open, OpenTicketBody{
			Revision: open.Revision, AcceptedAt: open.Accepted, Ticket: ticketfile.FromTicket(open.Ticket),
		})
	}
	for _, o := range valuesByKey(s.Outcomes) {
		body.Outcomes = append(body.Outcomes, RecordedOutcome{Ticket: o.Ticket, Result: string(o.Result), Reason: o.Reason, At: o.At})
	}
	return body
}

// valuesByKey returns the values of m in the order of their keys.
func valuesByKey[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}
