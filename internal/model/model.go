// Package model holds the configuration that the system distributes: tickets,
// the durable log of records, and the state that results from them.
//
// Values of this package are immutable once published. State.Apply returns a
// new State and leaves its receiver alone, so that a proxy can swap the whole
// configuration with one pointer.
package model

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Limits of a ticket and of the names in it.
const (
	// TotalShare is the sum of the shares of a service, in percent.
	TotalShare = 100
	// MaxNameLength is the longest name, in bytes.
	MaxNameLength = 63
	// MaxTicketObjects bounds the services and routes of one ticket.
	MaxTicketObjects = 512
	// MaxTicketBytes bounds an encoded ticket, so that its record fits into
	// one item of the platform's table (400 KB).
	MaxTicketBytes = 256 << 10
	// OutcomesKept is how many recorded outcomes a state remembers.
	OutcomesKept = 256
)

// Class orders requests under load.
type Class string

// Classes of requests.
const (
	// Urgent requests go ahead of all others.
	Urgent Class = "urgent"
	// Normal is the default class.
	Normal Class = "normal"
	// Bulk requests, such as uploads, may hold only a part of a target's slots.
	Bulk Class = "bulk"
)

// Preference says what a move gives up last.
type Preference string

// Preferences of a move.
const (
	// OnTime reaches the new shares early and judges with the standard test.
	OnTime Preference = "on-time"
	// Careful proves longer and judges more strictly.
	Careful Preference = "careful"
)

// Service is a named group of targets with versions.
type Service struct {
	Name string
	// Versions lists the versions that may have targets, sorted.
	Versions []string
	// Shares gives each version's percentage of the traffic; it sums to TotalShare.
	Shares map[string]uint32
	// Proved lists the versions that took over traffic before, sorted.
	Proved []string
}

// Route sends matching requests to a service.
type Route struct {
	Name string
	// Host is the request's host without port; empty matches every host.
	Host string
	// PathPrefix starts with a slash. The longest match wins.
	PathPrefix string
	Service    string
	// Split divides the route's requests among several services by weight.
	// When it is set, Service names the first of them.
	Split []Weight
	// Version pins the route to a proved version; empty follows the shares.
	Version string
	Class   Class
	// Priority orders the requests of a class; the lowest goes first.
	Priority uint32
	// Idempotent requests may be repeated when their outcome is unknown.
	Idempotent bool
	// Once requests carry an idempotency key and run at most once.
	Once bool
	// Timeout bounds a request; zero means DefaultTimeout.
	Timeout time.Duration
	// Objective is the latency that callers want; zero means that they did not say.
	Objective time.Duration
	// Attempts is the most targets that one request is sent to; zero leaves
	// it to the daemon.
	Attempts uint32
}

// Weight is a service's part of a route.
type Weight struct {
	Service string
	Weight  uint32
}

// Services lists the services that the route leads to.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, part := range r.Split {
		names = append(names, part.Service)
	}
	return names
}

// DefaultTimeout bounds a request whose route names no timeout.
const DefaultTimeout = 30 * time.Second

// Move asks that a service's traffic follows the ticket's shares by a time.
type Move struct {
	Service string
	// Finish is the time by which all traffic follows the new shares.
	Finish time.Time
	Prefer Preference
}

// Ticket is an operator's numbered change. It holds the whole new state of
// whatever it touches.
type Ticket struct {
	Number         uint64
	Note           string
	Services       []Service
	RemoveServices []string
	Routes         []Route
	RemoveRoutes   []string
	Moves          []Move
	// Supersedes names an open ticket that this one replaces; zero means none.
	Supersedes uint64
}

// Result is how a ticket ended.
type Result string

// Results of a ticket.
const (
	Done       Result = "done"
	TakenBack  Result = "taken-back"
	Superseded Result = "superseded"
)

// Outcome is the recorded end of a ticket.
type Outcome struct {
	Ticket uint64
	Result Result
	Reason string
	At     time.Time
}

// Record is one entry of the durable log. Exactly one of Ticket and Outcome is set.
type Record struct {
	Revision uint64
	At       time.Time
	Ticket   *Ticket
	Outcome  *Outcome
}

// Digest identifies the content of an encoded ticket.
func Digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// Image is the state of the touched objects before a ticket. A nil value
// means that the object did not exist.
type Image struct {
	Services map[string]*Service
	Routes   map[string]*Route
}

// OpenTicket is an accepted ticket whose moves have not ended.
type OpenTicket struct {
	Ticket   *Ticket
	Accepted time.Time
	// Revision is the record that accepted the ticket.
	Revision uint64
	Before   Image
}

// Touches reports whether the open ticket changes the service.
func (o *OpenTicket) Touches(service string) bool {
	_, ok := o.Before.Services[service]
	return ok
}

// Finish is the earliest finish time of the ticket's moves.
func (o *OpenTicket) Finish() time.Time {
	var first time.Time
	for _, m := range o.Ticket.Moves {
		if first.IsZero() || m.Finish.Before(first) {
			first = m.Finish
		}
	}
	return first
}

// Careful reports whether any move of the ticket prefers care.
func (o *OpenTicket) Careful() bool {
	for _, m := range o.Ticket.Moves {
		if m.Prefer == Careful {
			return true
		}
	}
	return false
}

// NewService returns the ticket's service of the name, or nil.
func (o *OpenTicket) NewService(name string) *Service {
	for i := range o.Ticket.Services {
		if o.Ticket.Services[i].Name == name {
			return &o.Ticket.Services[i]
		}
	}
	return nil
}
