package routing

import "math/rand/v2"

// Bounds of the number of targets in a sample.
const (
	PlacementCandidates  = placementCandidates
	SameDomainCandidates = sameDomainCandidates
)

// Sample returns the targets to compare for a request from the domain.
func Sample(random *rand.Rand, v *Version, domain string, tried []*Target) []*Target {
	return sample(random, v, domain, tried)
}
