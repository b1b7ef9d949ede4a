// Package ticketfile reads and writes tickets as JSON files. Reading is
// strict: unknown fields, duplicate keys, trailing data and oversized files
// are rejected, and every error is listed with its JSON path. The package does
// no I/O.
package ticketfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// File is the JSON form of a ticket.
type File struct {
	Number         uint64    `json:"number"`
	Note           string    `json:"note,omitempty"`
	Services       []Service `json:"services,omitempty"`
	RemoveServices []string  `json:"remove_services,omitempty"`
	Routes         []Route   `json:"routes,omitempty"`
	RemoveRoutes   []string  `json:"remove_routes,omitempty"`
	Moves          []Move    `json:"moves,omitempty"`
	Supersedes     uint64    `json:"supersedes,omitempty"`
}

// Service is the JSON form of a service.
type Service struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
	// Shares maps each version to its percentage of the service's traffic.
	Shares map[string]uint32 `json:"shares"`
}

// Route is the JSON form of a route.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	Version    string `json:"version,omitempty"`
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Once       bool   `json:"once,omitempty"`
	// Timeout is a duration with a unit, such as "5s".
	Timeout string `json:"timeout,omitempty"`
	// Split, Priority, Objective and Attempts are optional, as in model.Route.
	Split     []Weight `json:"split,omitempty"`
	Priority  uint32   `json:"priority,omitempty"`
	Objective string   `json:"objective,omitempty"`
	Attempts  uint32   `json:"attempts,omitempty"`
}

// Weight is the JSON form of a service's weight in the traffic split of a route.
type Weight struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Move is the JSON form of a move.
type Move struct {
	Service string `json:"service"`
	// Finish is a time in RFC 3339. Files may also give a duration after the
	// ticket's acceptance, such as "+90s".
	Finish string `json:"finish"`
	Prefer string `json:"prefer"`
}

// FromTicket returns the JSON form of a ticket.
func FromTicket(t *model.Ticket) File {
	f := File{
		Number: t.Number, Note: t.Note, Supersedes: t.Supersedes,
		RemoveServices: t.RemoveServices, RemoveRoutes: t.RemoveRoutes,
	}
	for i := range t.Services {
		f.Services = append(f.Services, FromService(&t.Services[i]))
	}
	for i := range t.Routes {
		f.Routes = append(f.Routes, FromRoute(&t.Routes[i]))
	}
	for _, m := range t.Moves {
		f.Moves = append(f.Moves, Move{Service: m.Service, Finish: formatTime(m.Finish), Prefer: string(m.Prefer)})
	}
	return f
}

// FromService returns the JSON form of a service.
func FromService(s *model.Service) Service {
	return Service{Name: s.Name, Versions: s.Versions, Shares: s.Shares}
}

// FromRoute returns the JSON form of a route.
func FromRoute(r *model.Route) Route {
	f := Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix,
		Service: r.Service, Version: r.Version, Class: string(r.Class),
		Idempotent: r.Idempotent, Once: r.Once, Priority: r.Priority, Attempts: r.Attempts,
	}
	if r.Timeout != 0 {
		f.Timeout = r.Timeout.String()
	}
	if r.Objective != 0 {
		f.Objective = r.Objective.String()
	}
	for _, part := range r.Split {
		f.Split = append(f.Split, Weight(part))
	}
	return f
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

// Encode returns the ticket as indented JSON for reading by people. Decode
// turns it back into a ticket with the same digest.
func Encode(t *model.Ticket) ([]byte, error) { return encode(t, "  ") }

// Compact returns the ticket as JSON without indentation for sending. It fails
// with fault.Invalid when the result is larger than Decode allows. That can
// happen for a ticket that Decode accepted, because the JSON states defaults
// that the original file may leave out.
func Compact(t *model.Ticket) ([]byte, error) {
	encoded, err := encode(t, "")
	if err != nil {
		return nil, err
	}
	if len(encoded) > model.MaxTicketBytes {
		return nil, invalid(fmt.Sprintf("$: the ticket has %d bytes when it is sent; at most %d are allowed", len(encoded), model.MaxTicketBytes))
	}
	return encoded, nil
}

// encode returns the ticket as JSON. It does not escape '<', '>' and '&',
// because escapes of six bytes each could make a valid ticket too large.
func encode(t *model.Ticket, indent string) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", indent)
	if err := encoder.Encode(FromTicket(t)); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode ticket %d", t.Number)
	}
	return buffer.Bytes(), nil
}

// Digest returns the digest of the ticket's wire encoding, which identifies the
// content of the ticket.
func Digest(t *model.Ticket) (string, error) {
	encoded, err := wire.EncodeTicket(t)
	if err != nil {
		return "", err
	}
	return model.Digest(encoded), nil
}
