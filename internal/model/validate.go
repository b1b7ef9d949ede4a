package model

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// findings collects all faults of a ticket, so that an operator gets them in one
// response.
type findings []string

func (f *findings) add(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

// Validate checks whether the ticket can be applied to the state. It fails with
// fault.OutOfOrder or fault.NumberTaken for a wrong number, fault.OpenMove for
// a conflict with an open ticket, fault.NotFound if the ticket to supersede is
// not open, and fault.Invalid, with every finding in Details, for anything else.
func (s *State) Validate(t *Ticket) error {
	if err := s.validateNumber(t); err != nil {
		return err
	}
	if err := s.validateOverlap(t); err != nil {
		return err
	}
	var f findings
	f.checkSize(t)
	f.checkServices(t)
	f.checkRoutes(t)
	f.checkMoves(t)
	if len(f) == 0 {
		f.checkAgainstState(s.withoutSuperseded(t), t)
	}
	if len(f) > 0 {
		return fault.WithDetails(fault.Invalid, fmt.Sprintf("ticket %d has %d faults: %s", t.Number, len(f), strings.Join(f, "; ")), f)
	}
	return nil
}

func (s *State) validateNumber(t *Ticket) error {
	switch next := s.LastTicket + 1; {
	case t.Number == 0:
		return fault.WithDetails(fault.Invalid, "a ticket's number starts at 1", []string{"number: starts at 1"})
	case t.Number < next:
		return fault.New(fault.NumberTaken, "ticket number %d is taken; the next one is %d", t.Number, next)
	case t.Number > next:
		err := &fault.Error{Kind: fault.OutOfOrder, Message: fmt.Sprintf("ticket number %d is too high; the next one is %d", t.Number, next), Expected: next}
		return err
	}
	return nil
}

// validateOverlap refuses a ticket that changes a service or route of an open
// ticket, or sends a route to such a service; of a split it checks only the
// first service. A ticket may supersede one open ticket if it covers all
// services and routes of that ticket.
func (s *State) validateOverlap(t *Ticket) error {
	services, routes := t.serviceNames(), t.routeNames()
	if t.Supersedes != 0 {
		open, ok := s.Open[t.Supersedes]
		if !ok {
			return fault.New(fault.NotFound, "ticket %d supersedes ticket %d, which is not open", t.Number, t.Supersedes)
		}
		for name := range open.Before.Services {
			if !slices.Contains(services, name) {
				return fault.New(fault.OpenMove, "ticket %d supersedes ticket %d but does not cover service %q", t.Number, t.Supersedes, name)
			}
		}
		for name := range open.Before.Routes {
			if !slices.Contains(routes, name) {
				return fault.New(fault.OpenMove, "ticket %d supersedes ticket %d but does not cover route %q", t.Number, t.Supersedes, name)
			}
		}
	}
	for number, open := range s.Open {
		if number == t.Supersedes {
			continue
		}
		for _, name := range services {
			if open.Changes(name) {
				return fault.New(fault.OpenMove, "service %q is being moved by open ticket %d", name, number)
			}
		}
		for _, name := range routes {
			if _, ok := open.Before.Routes[name]; ok {
				return fault.New(fault.OpenMove, "route %q is being changed by open ticket %d", name, number)
			}
		}
		for i := range t.Routes {
			if open.Changes(t.Routes[i].Service) {
				return fault.New(fault.OpenMove, "route %q points at service %q, which open ticket %d is moving", t.Routes[i].Name, t.Routes[i].Service, number)
			}
		}
	}
	return nil
}

// withoutSuperseded returns the state without the changes of the open ticket that
// t supersedes, or the receiver if t supersedes none.
func (s *State) withoutSuperseded(t *Ticket) *State {
	if t.Supersedes == 0 {
		return s
	}
	next := s.clone()
	next.restore(next.Open[t.Supersedes].Before)
	delete(next.Open, t.Supersedes)
	return next
}

func (f *findings) checkSize(t *Ticket) {
	objects := len(t.serviceNames()) + len(t.routeNames())
	if objects == 0 {
		f.add("the ticket changes nothing")
	}
	if objects > MaxTicketObjects {
		f.add("the ticket has %d services and routes; at most %d are allowed", objects, MaxTicketObjects)
	}
	f.checkDuplicates("service", t.serviceNames())
	f.checkDuplicates("route", t.routeNames())
}

func (f *findings) checkDuplicates(what string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			f.add("%s %q is named twice", what, name)
		}
		seen[name] = true
	}
}

func (f *findings) checkName(what, name string) {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		f.add("%s: name %q is not 1 to %d lower-case letters, digits, '.', '_' or '-'", what, name, MaxNameLength)
	}
}

func (f *findings) checkServices(t *Ticket) {
	for i := range t.Services {
		service := &t.Services[i]
		f.checkName("service", service.Name)
		if len(service.Versions) == 0 {
			f.add("service %q has no versions", service.Name)
		}
		f.checkDuplicates("version", service.Versions)
		for _, version := range service.Versions {
			f.checkName(fmt.Sprintf("service %q, version", service.Name), version)
		}
		// The sum has 64 bits, so that huge shares cannot overflow to TotalShare.
		var sum uint64
		for version, share := range service.Shares {
			sum += uint64(share)
			if !slices.Contains(service.Versions, version) {
				f.add("service %q gives a share to version %q, which it does not list", service.Name, version)
			}
		}
		if sum != TotalShare {
			f.add("service %q: shares sum to %d, not %d", service.Name, sum, TotalShare)
		}
	}
}

func (f *findings) checkRoutes(t *Ticket) {
	for i := range t.Routes {
		r := &t.Routes[i]
		f.checkName("route", r.Name)
		if !strings.HasPrefix(r.PathPrefix, "/") {
			f.add("route %q: path prefix %q does not start with '/'", r.Name, r.PathPrefix)
		}
		if r.Class != Urgent && r.Class != Normal && r.Class != Bulk {
			f.add("route %q: class %q is not urgent, normal or bulk", r.Name, r.Class)
		}
		if r.Timeout < 0 {
			f.add("route %q: timeout is negative", r.Name)
		}
		if r.Objective < 0 {
			f.add("route %q: objective is negative", r.Name)
		}
		if r.Once && r.Idempotent {
			f.add("route %q is both idempotent and once", r.Name)
		}
		f.checkSplit(r)
	}
}

// checkSplit refuses a split of a route that is pinned to a version, that does
// not start with the route's service, that lists a service twice, or whose
// weights sum to 0.
func (f *findings) checkSplit(r *Route) {
	if len(r.Split) == 0 {
		return
	}
	if r.Version != "" {
		f.add("route %q is pinned to a version and split among services", r.Name)
	}
	if r.Split[0].Service != r.Service {
		f.add("route %q: the split does not start with service %q", r.Name, r.Service)
	}
	var sum uint64
	for _, part := range r.Split {
		sum += uint64(part.Weight)
	}
	if sum == 0 {
		f.add("route %q: the weights sum to 0", r.Name)
	}
	f.checkDuplicates(fmt.Sprintf("route %q, service", r.Name), r.Services())
}

func (f *findings) checkMoves(t *Ticket) {
	var names []string
	for _, m := range t.Moves {
		names = append(names, m.Service)
		if !slices.ContainsFunc(t.Services, func(s Service) bool { return s.Name == m.Service }) {
			f.add("move of service %q, which the ticket does not hold", m.Service)
		}
		if m.Prefer != OnTime && m.Prefer != Careful {
			f.add("move of service %q: prefer %q is not on-time or careful", m.Service, m.Prefer)
		}
		if m.Finish.Before(time.Unix(0, 0)) {
			f.add("move of service %q has no finish time", m.Service)
		}
	}
	f.checkDuplicates("move of service", names)
}

// checkAgainstState checks the rules that depend on s, the state that the ticket
// is applied to.
func (f *findings) checkAgainstState(s *State, t *Ticket) {
	for _, name := range t.RemoveServices {
		if s.Services[name] == nil {
			f.add("service %q cannot be removed: it does not exist", name)
		}
	}
	for _, name := range t.RemoveRoutes {
		if s.Routes[name] == nil {
			f.add("route %q cannot be removed: it does not exist", name)
		}
	}
	for i := range t.Services {
		f.checkShares(s.Services[t.Services[i].Name], &t.Services[i], t)
	}
	f.checkReferences(s, t)
}

// checkShares refuses a share for an unproved version without a move, and a move
// of a new service, which has no old version to move from.
func (f *findings) checkShares(before, desired *Service, t *Ticket) {
	moving := hasMove(t, desired.Name)
	if before == nil {
		if moving {
			f.add("service %q is new, so there is nothing to move", desired.Name)
		}
		return
	}
	for version, share := range desired.Shares {
		if share > 0 && !moving && !slices.Contains(before.Proved, version) {
			f.add("version %q of service %q has not been proved; add a move", version, desired.Name)
		}
	}
}

// checkSameRequests refuses a route that matches the same requests as a route of another
// name, since only one of them would get any. The names decided which.
func (f *findings) checkSameRequests(after *State, t *Ticket) {
	for i := range t.Routes {
		r := &t.Routes[i]
		for name, other := range after.Routes {
			if name != r.Name && r.SameRequests(other) {
				f.add("route %q has the same host %q and path prefix %q as route %q", r.Name, r.Host, r.PathPrefix, name)
			}
		}
	}
}

// checkReferences checks every route against the services as they are after the
// ticket's moves. This covers the time of the moves too, since services then have
// the old and the new versions. A pinned version must be proved unless its
// service is new.
func (f *findings) checkReferences(s *State, t *Ticket) {
	after := s.clone()
	for _, name := range t.RemoveRoutes {
		delete(after.Routes, name)
	}
	for _, name := range t.RemoveServices {
		delete(after.Services, name)
	}
	for i := range t.Services {
		desired := &t.Services[i]
		after.Services[desired.Name] = finalService(s.Services[desired.Name], desired)
	}
	for i := range t.Routes {
		after.Routes[t.Routes[i].Name] = &t.Routes[i]
	}
	f.checkSameRequests(after, t)
	for _, r := range after.Routes {
		missing := false
		for _, name := range r.Services() {
			if after.Services[name] == nil {
				f.add("route %q points at service %q, which does not exist", r.Name, name)
				missing = true
			}
		}
		service := after.Services[r.Service]
		if missing || r.Version == "" {
			continue
		}
		if !slices.Contains(service.Versions, r.Version) {
			f.add("route %q points at version %q, which service %q does not have", r.Name, r.Version, r.Service)
			continue
		}
		before := s.Services[r.Service]
		if before != nil && !slices.Contains(before.Proved, r.Version) {
			f.add("route %q points at version %q of service %q, which has not been proved", r.Name, r.Version, r.Service)
		}
	}
	slices.Sort(*f)
}
