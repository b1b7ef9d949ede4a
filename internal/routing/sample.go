package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// placementCandidates bounds the targets that are compared for a request, so
	// that its cost does not grow with the number of targets.
	placementCandidates = 16
	// nearCandidates is how many of them are drawn from the caller's own failure
	// domain, as long as it has that many. The others come from all domains.
	nearCandidates = 8
)

// sample draws the targets that are compared for a request, without those that
// were tried. Up to placementCandidates targets are all compared.
func sample(random *rand.Rand, v *Version, domain string, tried []*Target) []*Target {
	drawn := make([]*Target, 0, placementCandidates)
	if len(v.Targets) > placementCandidates {
		drawn = drawInto(drawn, random, v.domains[domain], nearCandidates, tried)
	}
	return drawInto(drawn, random, v.Targets, placementCandidates, tried)
}

// drawInto adds random ones of the targets until there are limit, or until all
// of them are taken. Each target comes once.
func drawInto(drawn []*Target, random *rand.Rand, from []*Target, limit int, tried []*Target) []*Target {
	if len(from) == 0 {
		return drawn
	}
	if len(from) <= limit {
		// Of equal targets the first one is chosen, so the order is random.
		first := random.IntN(len(from))
		for i := range from {
			t := from[(first+i)%len(from)]
			if len(drawn) < limit && !contains(tried, t) && !slices.Contains(drawn, t) {
				drawn = append(drawn, t)
			}
		}
		return drawn
	}
	// Of more targets than limit, at least half of the draws find a new one
	// unless most of a small pool is taken already.
	for draws := 2 * limit; draws > 0 && len(drawn) < limit; draws-- {
		t := from[random.IntN(len(from))]
		if !contains(tried, t) && !slices.Contains(drawn, t) {
			drawn = append(drawn, t)
		}
	}
	return drawn
}

func contains(targets []*Target, t *Target) bool {
	return slices.ContainsFunc(targets, func(other *Target) bool { return other.Key() == t.Key() })
}

// untried reports whether the version has a target that was not tried. It looks
// at one target more than were tried at most.
func untried(v *Version, tried []*Target) bool {
	return slices.ContainsFunc(v.Targets, func(t *Target) bool { return !contains(tried, t) })
}

// withoutEjected leaves out the ejected ones of the drawn targets, unless most
// of them are ejected.
func withoutEjected(now time.Time, drawn []*Target) []*Target {
	ejected := 0
	for _, t := range drawn {
		if t.Ejected(now) {
			ejected++
		}
	}
	if ejected == 0 || float64(ejected) > maxEjectedPart*float64(len(drawn)) {
		return drawn
	}
	return slices.DeleteFunc(drawn, func(t *Target) bool { return t.Ejected(now) })
}

// byDomain divides targets by their failure domain.
func byDomain(targets []*Target) map[string][]*Target {
	domains := map[string][]*Target{}
	for _, t := range targets {
		domains[t.Endpoint.Domain] = append(domains[t.Endpoint.Domain], t)
	}
	return domains
}
