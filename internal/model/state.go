package model

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// State is the configuration at a revision.
type State struct {
	Revision   uint64
	LastTicket uint64
	Services   map[string]*Service
	Routes     map[string]*Route
	// Open holds the accepted tickets whose moves are not finished, by number.
	Open map[uint64]*OpenTicket
	// Outcomes holds the newest MaxOutcomes recorded outcomes, by ticket number.
	Outcomes map[uint64]Outcome
}

// NewState returns the empty configuration at revision zero.
func NewState() *State {
	return &State{
		Services: map[string]*Service{},
		Routes:   map[string]*Route{},
		Open:     map[uint64]*OpenTicket{},
		Outcomes: map[uint64]Outcome{},
	}
}

// Apply returns the state after the record and does not change its receiver. It
// fails with fault.Stale for a revision that the state already has, with
// fault.OutOfOrder for a gap, and with the kinds of Validate for a ticket that
// breaks a rule. A record that fails has no effect.
func (s *State) Apply(r *Record) (*State, error) {
	if r.Revision <= s.Revision {
		return nil, fault.New(fault.Stale, "record %d is not newer than revision %d", r.Revision, s.Revision)
	}
	if r.Revision != s.Revision+1 {
		return nil, fault.New(fault.OutOfOrder, "record %d does not follow revision %d", r.Revision, s.Revision)
	}
	next := s.clone()
	next.Revision = r.Revision
	switch {
	case r.Ticket != nil:
		if err := s.Validate(r.Ticket); err != nil {
			return nil, err
		}
		next.applyTicket(r)
	case r.Outcome != nil:
		if err := next.applyOutcome(*r.Outcome); err != nil {
			return nil, err
		}
	default:
		return nil, fault.New(fault.Invalid, "record %d has neither a ticket nor an outcome", r.Revision)
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	return next, nil
}

func (s *State) clone() *State {
	return &State{
		Revision:   s.Revision,
		LastTicket: s.LastTicket,
		Services:   maps.Clone(s.Services),
		Routes:     maps.Clone(s.Routes),
		Open:       maps.Clone(s.Open),
		Outcomes:   maps.Clone(s.Outcomes),
	}
}

func (s *State) applyTicket(r *Record) {
	t := r.Ticket
	if t.Supersedes != 0 {
		s.restore(s.Open[t.Supersedes].Before)
		s.closeTicket(Outcome{Ticket: t.Supersedes, Result: Superseded, At: r.At})
	}
	s.LastTicket = t.Number
	open := &OpenTicket{Ticket: t, Accepted: r.At, Revision: r.Revision, Before: s.beforeImage(t)}
	for _, name := range t.RemoveRoutes {
		delete(s.Routes, name)
	}
	for _, name := range t.RemoveServices {
		delete(s.Services, name)
	}
	for i := range t.Services {
		s.applyService(open, &t.Services[i])
	}
	for i := range t.Routes {
		s.Routes[t.Routes[i].Name] = &t.Routes[i]
	}
	if len(t.Moves) == 0 {
		s.closeTicket(Outcome{Ticket: t.Number, Result: Done, At: r.At})
		return
	}
	s.Open[t.Number] = open
}

// applyService applies a service of the ticket. A service with a move keeps its
// old shares, and its old versions next to the new ones, until the move is done.
func (s *State) applyService(open *OpenTicket, desired *Service) {
	before := open.Before.Services[desired.Name]
	if before == nil || !hasMove(open.Ticket, desired.Name) {
		s.Services[desired.Name] = finalService(before, desired)
		return
	}
	s.Services[desired.Name] = &Service{
		Name:     desired.Name,
		Versions: union(before.Versions, desired.Versions),
		Shares:   before.Shares,
		Proved:   before.Proved,
	}
}

// finalService returns the service after its traffic has reached the desired
// shares. Versions with a share then count as proved.
func finalService(before, desired *Service) *Service {
	var proved []string
	if before != nil {
		proved = before.Proved
	}
	for version, share := range desired.Shares {
		if share > 0 {
			proved = union(proved, []string{version})
		}
	}
	listed := slices.DeleteFunc(slices.Clone(proved), func(v string) bool { return !slices.Contains(desired.Versions, v) })
	return &Service{Name: desired.Name, Versions: desired.Versions, Shares: desired.Shares, Proved: listed}
}

func (s *State) applyOutcome(o Outcome) error {
	open, ok := s.Open[o.Ticket]
	if !ok {
		return fault.New(fault.NotFound, "ticket %d is not open", o.Ticket)
	}
	switch o.Result {
	case Done:
		for i := range open.Ticket.Services {
			desired := &open.Ticket.Services[i]
			s.Services[desired.Name] = finalService(open.Before.Services[desired.Name], desired)
		}
	case TakenBack:
		s.restore(open.Before)
	default:
		return fault.New(fault.Invalid, "outcome %q cannot be recorded by itself", o.Result)
	}
	s.closeTicket(o)
	return nil
}

func (s *State) closeTicket(o Outcome) {
	delete(s.Open, o.Ticket)
	s.Outcomes[o.Ticket] = o
	if len(s.Outcomes) <= MaxOutcomes {
		return
	}
	oldest := o.Ticket
	for number := range s.Outcomes {
		oldest = min(oldest, number)
	}
	delete(s.Outcomes, oldest)
}

func (s *State) beforeImage(t *Ticket) Image {
	before := Image{Services: map[string]*Service{}, Routes: map[string]*Route{}}
	for _, name := range t.serviceNames() {
		before.Services[name] = s.Services[name]
	}
	for _, name := range t.routeNames() {
		before.Routes[name] = s.Routes[name]
	}
	return before
}

func (s *State) restore(before Image) {
	for name, service := range before.Services {
		if service == nil {
			delete(s.Services, name)
		} else {
			s.Services[name] = service
		}
	}
	for name, route := range before.Routes {
		if route == nil {
			delete(s.Routes, name)
		} else {
			s.Routes[name] = route
		}
	}
}

// Check fails with fault.Inconsistent when a route points at a service or a
// version that the state does not have.
func (s *State) Check() error {
	for _, r := range s.Routes {
		for _, name := range r.Services() {
			if s.Services[name] == nil {
				return fault.New(fault.Inconsistent, "route %q points at service %q, which does not exist", r.Name, name)
			}
		}
		service := s.Services[r.Service]
		if r.Version != "" && !slices.Contains(service.Versions, r.Version) {
			return fault.New(fault.Inconsistent, "route %q points at version %q, which service %q does not have", r.Name, r.Version, r.Service)
		}
	}
	return nil
}

// EffectiveShares returns the shares of a service by version, in percent. If an
// open ticket moves the service, progress returns the progress of that ticket as
// a fraction from 0 to 1. The result is nil if the service does not exist.
func (s *State) EffectiveShares(name string, progress func(ticket uint64) float64) map[string]float64 {
	service, ok := s.Services[name]
	if !ok {
		return nil
	}
	shares := make(map[string]float64, len(service.Versions))
	for version, share := range service.Shares {
		shares[version] = float64(share)
	}
	open := s.OpenMove(name)
	if open == nil {
		return shares
	}
	fraction := progress(open.Ticket.Number)
	for version := range shares {
		shares[version] *= 1 - fraction
	}
	for version, share := range open.NewService(name).Shares {
		shares[version] += float64(share) * fraction
	}
	return shares
}

// OpenMove returns the open ticket that moves the service, or nil.
func (s *State) OpenMove(service string) *OpenTicket {
	for _, open := range s.Open {
		if hasMove(open.Ticket, service) {
			return open
		}
	}
	return nil
}

func hasMove(t *Ticket, service string) bool {
	return slices.ContainsFunc(t.Moves, func(m Move) bool { return m.Service == service })
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

func (t *Ticket) serviceNames() []string {
	names := slices.Clone(t.RemoveServices)
	for i := range t.Services {
		names = append(names, t.Services[i].Name)
	}
	return names
}

func (t *Ticket) routeNames() []string {
	names := slices.Clone(t.RemoveRoutes)
	for i := range t.Routes {
		names = append(names, t.Routes[i].Name)
	}
	return names
}
