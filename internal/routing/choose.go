package routing

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

// maxEjectedFraction bounds the fraction of a version's targets that is
// ejected. When more of them refuse connections, the fault is more likely at
// this daemon or its network, and all targets are used.
const maxEjectedFraction = 0.5

// Choice is a chosen target with its service and version.
type Choice struct {
	Service *Service
	Version *Version
	Target  *Target
}

// Chooser chooses versions and targets for one daemon. It is not safe for
// concurrent use, because its random generator is not.
type Chooser struct {
	domain string
	// vm is the VM of the daemon.
	vm     string
	random *rand.Rand
	// versionDraws holds the draw of versions for each route name.
	versionDraws map[string]*move.WeylSequence
	// splitDraws holds the draw of services for each split route's name.
	splitDraws map[string]*move.WeylSequence
}

// NewChooser returns a chooser for a daemon on the VM in the failure domain.
func NewChooser(domain, vm string, random *rand.Rand) *Chooser {
	return &Chooser{domain: domain, vm: vm, random: random, versionDraws: map[string]*move.WeylSequence{}, splitDraws: map[string]*move.WeylSequence{}}
}

// chooseService chooses the service of a request on the route. In any sequence
// of requests, the number of requests to each service of a split route is within
// a few requests of its weighted part.
func (c *Chooser) chooseService(r *Route) *Service {
	if len(r.Split) == 0 {
		return r.Service
	}
	var total uint64
	for _, part := range r.Split {
		total += uint64(part.Weight)
	}
	point := routeDraw(c.splitDraws, c.random, r.Name).Next() * float64(total)
	for _, part := range r.Split {
		point -= float64(part.Weight)
		if point < 0 {
			return part.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// routeDraw returns the draw of the route. A new draw starts at a random
// position.
func routeDraw(draws map[string]*move.WeylSequence, random *rand.Rand, route string) *move.WeylSequence {
	d, ok := draws[route]
	if !ok {
		d = move.NewWeylSequence(random.Uint64())
		draws[route] = d
	}
	return d
}

// ChooseFirst chooses the target of the first attempt of a request. It returns
// false when the service has no ready target that may take the request.
func (c *Chooser) ChooseFirst(now time.Time, r *Route) (Choice, bool) {
	service := c.chooseService(r)
	version := c.chooseVersion(r, service)
	if version == nil {
		return Choice{Service: service}, false
	}
	target := c.chooseTarget(now, version, nil)
	return Choice{Service: service, Version: version, Target: target}, target != nil
}

// ChooseRetry chooses the target of a retry among those that were not tried.
// When the version has none left, the retry goes to versions that are not new,
// so that retries do not add to the share of a new version.
func (c *Chooser) ChooseRetry(now time.Time, r *Route, last *Version, tried []*Target) (Choice, bool) {
	return c.chooseRetry(r, last, tried, func(v *Version) *Target { return c.chooseTarget(now, v, tried) })
}

func (c *Chooser) chooseRetry(r *Route, last *Version, tried []*Target, choose func(*Version) *Target) (Choice, bool) {
	if hasUntried(last, tried) {
		return Choice{Service: last.service, Version: last, Target: choose(last)}, true
	}
	if r.Version != "" {
		return Choice{}, false
	}
	for _, v := range last.service.Versions {
		if v.New || (v.Share <= 0 && !v.Fallback) || !hasUntried(v, tried) {
			continue
		}
		return Choice{Service: last.service, Version: v, Target: choose(v)}, true
	}
	return Choice{}, false
}

// chooseVersion draws a version by shares. The share of a version without
// targets goes to other versions: first to those that are not new, then to
// fallback versions, then to new ones. It does not go to a version that is
// still being proved, since a bad one would get all the traffic while the old
// version's targets restart.
func (c *Chooser) chooseVersion(r *Route, service *Service) *Version {
	if r.Version != "" {
		return usable(service.version(r.Version))
	}
	drawn := drawVersion(c.nextPoint(r, service), service.Versions, func(*Version) bool { return true })
	if usable(drawn) != nil {
		return drawn
	}
	if v := drawVersion(c.random.Float64(), service.Versions, func(v *Version) bool { return usable(v) != nil && !v.New }); v != nil {
		return v
	}
	for _, v := range service.Versions {
		if v.Fallback && usable(v) != nil {
			return v
		}
	}
	return drawVersion(c.random.Float64(), service.Versions, func(v *Version) bool { return usable(v) != nil && !v.Proving })
}

// usable returns v if it has targets, otherwise nil.
func usable(v *Version) *Version {
	if v == nil || len(v.Targets) == 0 {
		return nil
	}
	return v
}

// nextPoint returns the next point in [0, 1) at which a version is drawn.
// Without a move, there is no small share to keep exact, and the point is
// random.
func (c *Chooser) nextPoint(r *Route, service *Service) float64 {
	if service.Ticket == 0 {
		return c.random.Float64()
	}
	return routeDraw(c.versionDraws, c.random, r.Name).Next()
}

// drawVersion divides the unit interval among the allowed versions by their
// shares and returns the version at the point, or nil.
func drawVersion(at float64, versions []*Version, allowed func(*Version) bool) *Version {
	total := 0.0
	for _, v := range versions {
		if allowed(v) {
			total += v.Share
		}
	}
	if total <= 0 {
		return nil
	}
	point := at * total
	var last *Version
	for _, v := range versions {
		if !allowed(v) || v.Share <= 0 {
			continue
		}
		last = v
		point -= v.Share
		if point < 0 {
			break
		}
	}
	return last
}

// chooseTarget compares two random targets and returns the less busy one.
func (c *Chooser) chooseTarget(now time.Time, v *Version, tried []*Target) *Target {
	targets := withoutEjected(now, drawTargets(make([]*Target, 0, placementCandidates), c.random, v.Targets, placementCandidates, tried))
	switch len(targets) {
	case 0:
		return nil
	case 1:
		return targets[0]
	}
	i := c.random.IntN(len(targets))
	j := c.random.IntN(len(targets) - 1)
	if j >= i {
		j++
	}
	return c.lessBusy(now, targets[i], targets[j])
}

// lessBusy returns the less busy of two targets. It skips a cold target with a
// probability that falls during slow start.
func (c *Chooser) lessBusy(now time.Time, a, b *Target) *Target {
	warmA, warmB := a.warmUpFraction(now), b.warmUpFraction(now)
	if warmB < warmA && c.random.Float64() >= warmB/warmA {
		return a
	}
	if warmA < warmB && c.random.Float64() >= warmA/warmB {
		return b
	}
	busyA, busyB := a.combinedLoad(now), b.combinedLoad(now)
	if busyA == busyB {
		return c.nearer(a, b)
	}
	if busyA < busyB {
		return a
	}
	return b
}

// nearer returns b if only b is in the daemon's failure domain, otherwise a.
func (c *Chooser) nearer(a, b *Target) *Target {
	if b.Endpoint.Domain == c.domain && a.Endpoint.Domain != c.domain {
		return b
	}
	return a
}
