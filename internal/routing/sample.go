package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// placementCandidates bounds the number of targets that are compared for a
	// request, so that the cost of a choice does not grow with the number of
	// targets.
	placementCandidates = 16
	// sameDomainCandidates is the number of candidates from the caller's own
	// failure domain, if it has that many. The others come from all domains.
	sameDomainCandidates = 8
)

// sample returns the targets to compare for a request, without the tried ones.
// Up to placementCandidates targets are all compared.
func sample(random *rand.Rand, v *Version, domain string, tried []*Target) []*Target {
	drawn := make([]*Target, 0, placementCandidates)
	if len(v.Targets) > placementCandidates {
		drawn = drawTargets(drawn, random, v.domains[domain], sameDomainCandidates, tried)
	}
	return drawTargets(drawn, random, v.Targets, placementCandidates, tried)
}

// drawTargets appends random targets of the pool until drawn has limit targets
// or the pool is exhausted. Each target occurs once.
func drawTargets(drawn []*Target, random *rand.Rand, pool []*Target, limit int, tried []*Target) []*Target {
	if len(pool) == 0 {
		return drawn
	}
	if len(pool) <= limit {
		// The first of equal targets is chosen, so the order must be random.
		first := random.IntN(len(pool))
		for i := range pool {
			t := pool[(first+i)%len(pool)]
			if len(drawn) < limit && !contains(tried, t) && !slices.Contains(drawn, t) {
				drawn = append(drawn, t)
			}
		}
		return drawn
	}
	// With more targets than limit, at least half of the draws find a new
	// target unless most of a small pool is already drawn.
	for draws := 2 * limit; draws > 0 && len(drawn) < limit; draws-- {
		t := pool[random.IntN(len(pool))]
		if !contains(tried, t) && !slices.Contains(drawn, t) {
			drawn = append(drawn, t)
		}
	}
	return drawn
}

func contains(targets []*Target, t *Target) bool {
	return slices.ContainsFunc(targets, func(other *Target) bool { return other.Key() == t.Key() })
}

// hasUntried reports whether the version has a target that was not tried. It
// checks at most len(tried)+1 targets.
func hasUntried(v *Version, tried []*Target) bool {
	return slices.ContainsFunc(v.Targets, func(t *Target) bool { return !contains(tried, t) })
}

// withoutEjected removes the ejected targets from drawn, unless more than
// maxEjectedFraction of them are ejected.
func withoutEjected(now time.Time, drawn []*Target) []*Target {
	ejected := 0
	for _, t := range drawn {
		if t.Ejected(now) {
			ejected++
		}
	}
	if ejected == 0 || float64(ejected) > maxEjectedFraction*float64(len(drawn)) {
		return drawn
	}
	return slices.DeleteFunc(drawn, func(t *Target) bool { return t.Ejected(now) })
}

// byDomain groups targets by failure domain.
func byDomain(targets []*Target) map[string][]*Target {
	domains := map[string][]*Target{}
	for _, t := range targets {
		domains[t.Endpoint.Domain] = append(domains[t.Endpoint.Domain], t)
	}
	return domains
}
