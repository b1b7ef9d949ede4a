package routing

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/move"
)

// maxEjectedPart bounds the ejected part of a version's targets. When more
// refuse connections, the fault is more likely on this side, and all are used.
const maxEjectedPart = 0.5

// Choice is a chosen target with its service and its version.
type Choice struct {
	Service *Service
	Version *Version
	Target  *Target
}

// Chooser chooses versions and targets for one daemon. It is not safe for
// use by several goroutines, because its generator is not.
type Chooser struct {
	domain string
	// vm is the daemon's own VM.
	vm     string
	random *rand.Rand
	// draws chooses the versions of each route, by its name.
	draws map[string]*move.WeylSequence
	// parts chooses the services of each split route, by its name.
	parts map[string]*move.WeylSequence
}

// NewChooser returns a chooser for a daemon on the VM in the failure domain.
func NewChooser(domain, vm string, random *rand.Rand) *Chooser {
	return &Chooser{domain: domain, vm: vm, random: random, draws: map[string]*move.WeylSequence{}, parts: map[string]*move.WeylSequence{}}
}

// chooseService chooses the service of a request on the route. Of any run of
// requests, each service of a split route gets its part within a few.
func (c *Chooser) chooseService(r *Route) *Service {
	if len(r.Split) == 0 {
		return r.Service
	}
	var total uint64
	for _, part := range r.Split {
		total += uint64(part.Weight)
	}
	point := drawOf(c.parts, c.random, r.Name).Next() * float64(total)
	for _, part := range r.Split {
		point -= float64(part.Weight)
		if point < 0 {
			return part.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// drawOf returns the route's draw, which starts at a random position.
func drawOf(draws map[string]*move.WeylSequence, random *rand.Rand, route string) *move.WeylSequence {
	d, ok := draws[route]
	if !ok {
		d = move.NewWeylSequence(random.Uint64())
		draws[route] = d
	}
	return d
}

// First chooses for the first attempt of a request. It returns false when the
// service has no ready target that may take the request.
func (c *Chooser) First(now time.Time, r *Route) (Choice, bool) {
	service := c.chooseService(r)
	version := c.chooseVersion(r, service)
	if version == nil {
		return Choice{Service: service}, false
	}
	target := c.chooseTarget(now, version, nil)
	return Choice{Service: service, Version: version, Target: target}, target != nil
}

// Again chooses for a retry, leaving out the targets that were tried. When
// the version has none left, the retry goes to versions that are not new, so
// that retries do not add to the share of a new version.
func (c *Chooser) Again(now time.Time, r *Route, last *Version, tried []*Target) (Choice, bool) {
	return c.again(r, last, tried, func(v *Version) *Target { return c.chooseTarget(now, v, tried) })
}

func (c *Chooser) again(r *Route, last *Version, tried []*Target, choose func(*Version) *Target) (Choice, bool) {
	if untried(last, tried) {
		return Choice{Service: last.service, Version: last, Target: choose(last)}, true
	}
	if r.Version != "" {
		return Choice{}, false
	}
	for _, v := range last.service.Versions {
		if v.New || (v.Share <= 0 && !v.Spare) || !untried(v, tried) {
			continue
		}
		return Choice{Service: last.service, Version: v, Target: choose(v)}, true
	}
	return Choice{}, false
}

// chooseVersion draws a version by shares. The share of a version without
// targets falls to the other versions: to those that are not new first, then
// to spare ones, and to new ones last. It does not fall to a version that is
// being proved: a bad one would get all the traffic while the old version's
// targets restart.
func (c *Chooser) chooseVersion(r *Route, service *Service) *Version {
	if r.Version != "" {
		return usable(service.version(r.Version))
	}
	drawn := draw(c.point(r, service), service.Versions, func(*Version) bool { return true })
	if usable(drawn) != nil {
		return drawn
	}
	if v := draw(c.random.Float64(), service.Versions, func(v *Version) bool { return usable(v) != nil && !v.New }); v != nil {
		return v
	}
	for _, v := range service.Versions {
		if v.Spare && usable(v) != nil {
			return v
		}
	}
	return draw(c.random.Float64(), service.Versions, func(v *Version) bool { return usable(v) != nil && !v.Proving })
}

func usable(v *Version) *Version {
	if v == nil || len(v.Targets) == 0 {
		return nil
	}
	return v
}

// point returns the next point of the route's draw. Without a move there is no
// small share to keep to.
func (c *Chooser) point(r *Route, service *Service) float64 {
	if service.Ticket == 0 {
		return c.random.Float64()
	}
	return drawOf(c.draws, c.random, r.Name).Next()
}

// draw returns the version at the point of the unit interval that the allowed
// versions divide by their shares.
func draw(at float64, versions []*Version, allowed func(*Version) bool) *Version {
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
	targets := withoutEjected(now, drawInto(make([]*Target, 0, placementCandidates), c.random, v.Targets, placementCandidates, tried))
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
	return c.better(now, targets[i], targets[j])
}

// better returns the less busy of two targets. A cold target is passed over
// with a probability that falls while it warms up.
func (c *Chooser) better(now time.Time, a, b *Target) *Target {
	warmA, warmB := a.warmth(now), b.warmth(now)
	if warmB < warmA && c.random.Float64() >= warmB/warmA {
		return a
	}
	if warmA < warmB && c.random.Float64() >= warmA/warmB {
		return b
	}
	busyA, busyB := a.busyness(now), b.busyness(now)
	if busyA == busyB {
		return c.nearer(a, b)
	}
	if busyA < busyB {
		return a
	}
	return b
}

func (c *Chooser) nearer(a, b *Target) *Target {
	if b.Endpoint.Domain == c.domain && a.Endpoint.Domain != c.domain {
		return b
	}
	return a
}
