package routing

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// Table routes requests. It is built once for each Config and is immutable,
// except for the counters of its targets.
type Table struct {
	revision uint64
	hosts    map[string][]*Route
	services map[string]*Service
}

// Route is a configured route with the services that it routes to.
type Route struct {
	*model.Route
	// Service receives the requests, unless the route is split.
	Service *Service
	// Split divides the requests among services; it is empty for most routes.
	Split []WeightedService
}

// WeightedService is a service of a split route with its weight.
type WeightedService struct {
	Service *Service
	Weight  uint32
}

// Service holds the versions of a service and their targets.
type Service struct {
	Name string
	// Ticket is the open ticket that moves the service; zero means none.
	Ticket   uint64
	Versions []*Version
}

// Version is a version of a service with the targets that take its traffic.
type Version struct {
	Name string
	// Share is the effective share in percent, after steps and brakes.
	Share float64
	// New is true for a version whose share the open ticket increases.
	New bool
	// Proving is true for a new version that may not get more than its share,
	// because the move has not yet proved it.
	Proving bool
	// Fallback is true for a proved version that may take the share of versions
	// without targets while its own share is zero, such as the old version at
	// the end of a move.
	Fallback bool
	// Targets holds the ready targets, limited to the focus for a new version.
	Targets []*Target
	// domains groups Targets by failure domain.
	domains map[string][]*Target
	service *Service
}

// NewTable builds the table of a configuration. The counters of targets are
// kept in the registry, so that they survive a change of configuration.
func NewTable(c *Config, targets *Targets) *Table {
	t := &Table{revision: c.State.Revision, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	ready := readyTargets(c.Endpoints, targets)
	for name := range c.State.Services {
		t.services[name] = newService(c, name, ready[name])
	}
	for _, route := range c.State.Routes {
		entry := &Route{Route: route, Service: t.services[route.Service], Split: t.split(route)}
		if entry.Service == nil && !route.LeftOut {
			continue
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], entry)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, longestPrefixFirst)
	}
	return t
}

func (t *Table) split(route *model.Route) []WeightedService {
	var parts []WeightedService
	for _, part := range route.Split {
		if service := t.services[part.Service]; service != nil && part.Weight > 0 {
			parts = append(parts, WeightedService{Service: service, Weight: part.Weight})
		}
	}
	return parts
}

// longestPrefixFirst orders a route before one that was left out with the same prefix.
func longestPrefixFirst(a, b *Route) int {
	byPrefix := cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	if byPrefix == 0 && a.LeftOut != b.LeftOut {
		if b.LeftOut {
			return -1
		}
		return 1
	}
	return cmp.Or(byPrefix, cmp.Compare(a.Name, b.Name))
}

func readyTargets(endpoints []member.Endpoint, targets *Targets) map[string][]*Target {
	ready := map[string][]*Target{}
	keys := make(map[TargetKey]bool, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		if e.Target.Service == "" || !e.Serves(e.Target.Service) {
			continue
		}
		target := targets.get(e)
		keys[target.Key()] = true
		ready[e.Target.Service] = append(ready[e.Target.Service], target)
	}
	targets.retain(keys)
	return ready
}

func newService(c *Config, name string, ready []*Target) *Service {
	service := &Service{Name: name}
	open := c.State.OpenMove(name)
	shares := c.State.EffectiveShares(name, func(ticket uint64) float64 { return progress(c, ticket) })
	gains := map[string]bool{}
	focus := 0
	if open != nil {
		service.Ticket = open.Ticket.Number
		gains = gainingVersions(open, name)
		focus = int(c.Steps[service.Ticket].Focus)
	}
	configured := c.State.Services[name]
	for _, version := range configured.Versions {
		v := &Version{service: service, Name: version, Share: shares[version], New: gains[version]}
		v.Proving = v.New && c.Steps[service.Ticket].Permille <= move.ProvingPermille && !slices.Contains(configured.Proved, version)
		v.Fallback = !v.New && slices.Contains(configured.Proved, version)
		v.Targets = targetsOfVersion(ready, version)
		if v.New {
			v.Targets = focusTargets(v.Targets, service.Ticket, focus)
		}
		v.domains = byDomain(v.Targets)
		service.Versions = append(service.Versions, v)
	}
	return service
}

// progress returns the progress of a ticket from 0 to 1. It is zero for a
// braked ticket, so that the old shares apply and a version without an old
// share gets no traffic.
func progress(c *Config, ticket uint64) float64 {
	if c.Braked[ticket] {
		return 0
	}
	return float64(min(c.Steps[ticket].Permille, move.FullProgress)) / move.FullProgress
}

func gainingVersions(open *model.OpenTicket, name string) map[string]bool {
	before := map[string]uint32{}
	if old := open.Before.Services[name]; old != nil {
		before = old.Shares
	}
	gains := map[string]bool{}
	for version, share := range open.NewService(name).Shares {
		gains[version] = share > before[version]
	}
	return gains
}

func targetsOfVersion(ready []*Target, version string) []*Target {
	var found []*Target
	for _, target := range ready {
		if target.Endpoint.Target.Version == version {
			found = append(found, target)
		}
	}
	return found
}

// focusTargets returns the first focus targets in rendezvous hash order. Every
// daemon computes the same order, so the same targets take the version's share.
func focusTargets(targets []*Target, ticket uint64, focus int) []*Target {
	if focus <= 0 || focus >= len(targets) {
		return targets
	}
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b *Target) int {
		return cmp.Or(
			cmp.Compare(rendezvousHash(ticket, b.Endpoint.VM), rendezvousHash(ticket, a.Endpoint.VM)),
			cmp.Compare(a.Endpoint.VM, b.Endpoint.VM),
		)
	})
	return ordered[:focus]
}

func rendezvousHash(ticket uint64, vm string) uint64 {
	key := binary.LittleEndian.AppendUint64(nil, ticket)
	return xxhash.Sum64(append(key, vm...))
}

// Match returns the route of a request, or nil. Routes of the request's host
// take precedence over routes without a host, and the longest path prefix wins.
// A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	host = model.NormalizeHost(host)
	if route := longestMatch(t.hosts[host], path); route != nil || host == "" {
		return route
	}
	return longestMatch(t.hosts[""], path)
}

// Revision returns the revision of the configuration that the table was built
// from.
func (t *Table) Revision() uint64 { return t.revision }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

func longestMatch(routes []*Route, path string) *Route {
	for _, route := range routes {
		if hasPathPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// hasPathPrefix matches whole path segments, so "/order" does not match "/orders".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// IsNewVersion reports whether the service's open ticket increases the share of
// the version with the name.
func (s *Service) IsNewVersion(name string) bool {
	v := s.version(name)
	return v != nil && v.New
}

func (s *Service) version(name string) *Version {
	for _, v := range s.Versions {
		if v.Name == name {
			return v
		}
	}
	return nil
}
