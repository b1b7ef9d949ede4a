package routing

import (
	"math"
	"sync"
)

// calledEvidence is the evidence from which a kind of request counts as called
// by servers: the chance that callers beside all targets would have sent the
// requests seen so far only beside those of some services is below e^-12, about
// one in 160,000.
const calledEvidence = 12

// Callers finds the kinds of requests that servers send while they run others.
// Clients are beside the targets of all services, in proportion to the VMs, and
// a server's calls come only from beside its own. A call that is refused because
// it would be a little late fails the whole request that it belongs to, whose
// work was done by then. It is safe for concurrent use.
type Callers struct {
	mu     sync.Mutex
	shares map[string]float64
	kinds  map[string]*callersOfKind
}

type callersOfKind struct {
	services map[string]bool
	// requests counts those since the last service was first seen.
	requests int
}

// NewCallers returns a Callers that knows no requests.
func NewCallers() *Callers { return &Callers{kinds: map[string]*callersOfKind{}} }

// SetShares sets the part of the VMs that runs targets of each service.
func (c *Callers) SetShares(shares map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares = shares
}

// Saw takes a request of the kind from beside a target of the service, and
// reports whether servers send the kind.
func (c *Callers) Saw(kind, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil {
		if len(c.kinds) >= maxKinds {
			return false
		}
		k = &callersOfKind{services: map[string]bool{}}
		c.kinds[kind] = k
	}
	if !k.services[service] {
		k.services[service] = true
		k.requests = 0
	}
	k.requests++
	share := 0.0
	for s := range k.services {
		share += c.shares[s]
	}
	return share > 0 && share < 1 && -math.Log(share)*float64(k.requests) > calledEvidence
}
