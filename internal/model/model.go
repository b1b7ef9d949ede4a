// Package model holds the configuration that the system distributes: tickets,
// the durable log of records, and the state that results from them.
//
// Values of this package are immutable once published. State.Apply returns a
// new State and does not change its receiver, so that a proxy can replace the
// whole configuration with one pointer swap.
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
	// MaxTicketObjects limits the number of services and routes in one ticket.
	MaxTicketObjects = 512
	// MaxTicketBytes limits the size of an encoded ticket, in bytes, so that its
	// record fits into one item of the platform's table (400 KB).
	MaxTicketBytes = 256 << 10
	// MaxOutcomes is the number of recorded outcomes that a state retains.
	MaxOutcomes = 256
)

// Class is the class of a request; it decides the order of admission under load.
type Class string

// Classes of requests.
const (
	// Urgent requests are admitted before all others.
	Urgent Class = "urgent"
	// Normal is the default class.
	Normal Class = "normal"
	// Bulk requests, such as uploads, may use only a part of a target's slots.
	Bulk Class = "bulk"
)

// Preference selects whether a move favors its finish time or a longer test of
// the new version.
type Preference string

// Preferences of a move.
const (
	// OnTime reaches the new shares early and compares the versions with the
	// standard test.
	OnTime Preference = "on-time"
	// Careful tests the new version for longer and with a stricter threshold.
	Careful Preference = "careful"
)

// Service is a named group of targets with versions.
type Service struct {
	Name string
	// Versions lists the versions that may have targets, sorted.
	Versions []string
	// Shares maps each version to its percentage of the traffic; the values sum
	// to TotalShare.
	Shares map[string]uint32
	// Proved lists the versions that had a share after an earlier ticket was done,
	// sorted.
	Proved []string
}

// Route sends matching requests to a service.
type Route struct {
	// Name identifies the route in all that is kept by route.
	Name string
	// Label is the operators' name of the route if Name is another one. It is only for
	// people, and several routes may have the same.
	Label string
	// Host is the request's host without port; an empty Host matches every host.
	Host string
	// PathPrefix starts with a slash. The longest match wins.
	PathPrefix string
	Service    string
	// Split distributes the route's requests over several services by weight.
	// When it is set, Service is the first of them.
	Split []Weight
	// Version pins the route to a proved version; when it is empty, the shares
	// of the service select the version.
	Version string
	Class   Class
	// Priority orders the requests of a class; the lowest value goes first.
	Priority uint32
	// Idempotent requests may be retried when their outcome is unknown.
	Idempotent bool
	// Once requests carry an idempotency key and run at most once.
	Once bool
	// Timeout limits the duration of a request; zero means DefaultTimeout.
	Timeout time.Duration
	// Objective is the latency objective of the callers; zero means none.
	Objective time.Duration
	// Attempts is the maximum number of targets that one request is sent to;
	// zero means the daemon's own limit.
	Attempts uint32
	// Public requests need no API key where the configuration has tenants.
	Public bool
	// LongResponses is true when the responses of the route are large.
	LongResponses bool
	// LeftOut routes are invalid and have no service. Their requests are refused.
	LeftOut bool
}

// Weight is the relative weight of a service in a route's split.
type Weight struct {
	Service string
	Weight  uint32
}

// Services returns the names of the services that the route sends requests to.
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

// DefaultTimeout is the timeout of a request whose route sets none.
const DefaultTimeout = 30 * time.Second

// Move requests a progressive rollout of a service's traffic to the ticket's
// shares by a time.
type Move struct {
	Service string
	// Finish is the time by which all traffic follows the new shares.
	Finish time.Time
	Prefer Preference
}

// Ticket is an operator's numbered change. It holds the complete new state of
// every service and route that it changes.
type Ticket struct {
	Number         uint64
	Note           string
	Services       []Service
	RemoveServices []string
	Routes         []Route
	RemoveRoutes   []string
	Moves          []Move
	// Supersedes is the number of an open ticket that this one replaces; zero
	// means none.
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

// Digest returns the SHA-256 hash of an encoded ticket in hexadecimal.
func Digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// Image holds the services and routes that a ticket changes, as they were before
// it. A nil value means that the object did not exist.
type Image struct {
	Services map[string]*Service
	Routes   map[string]*Route
}

// OpenTicket is an accepted ticket whose moves are not finished.
type OpenTicket struct {
	Ticket   *Ticket
	Accepted time.Time
	// Revision is the revision of the record that accepted the ticket.
	Revision uint64
	Before   Image
}

// Changes reports whether the open ticket changes the service.
func (o *OpenTicket) Changes(service string) bool {
	_, ok := o.Before.Services[service]
	return ok
}

// Finish returns the earliest finish time of the ticket's moves.
func (o *OpenTicket) Finish() time.Time {
	var first time.Time
	for _, m := range o.Ticket.Moves {
		if first.IsZero() || m.Finish.Before(first) {
			first = m.Finish
		}
	}
	return first
}

// Careful reports whether any move of the ticket has the preference Careful.
func (o *OpenTicket) Careful() bool {
	for _, m := range o.Ticket.Moves {
		if m.Prefer == Careful {
			return true
		}
	}
	return false
}

// NewService returns the service with this name in the ticket, or nil.
func (o *OpenTicket) NewService(name string) *Service {
	for i := range o.Ticket.Services {
		if o.Ticket.Services[i].Name == name {
			return &o.Ticket.Services[i]
		}
	}
	return nil
}
