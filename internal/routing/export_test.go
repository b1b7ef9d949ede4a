package routing

import "math/rand/v2"

// Bounds of a sample, for tests.
const (
	PlacementCandidates = placementCandidates
	NearCandidates      = nearCandidates
)

// Sample draws the targets that are compared for a request of the domain.
func Sample(random *rand.Rand, v *Version, domain string, tried []*Target) []*Target {
	return sample(random, v, domain, tried)
}
