package routing

import (
	"math"
	"sync"
)

// serverCallEvidence is the evidence from which a kind of request counts as
// sent by servers. It is the negative natural logarithm of the chance that
// clients on all VMs send the observed requests only from VMs of the observed
// services: e^-12 is about one in 160,000.
const serverCallEvidence = 12

// ServerCallDetector detects the kinds of requests that servers send while they
// run other requests. Clients run on the VMs of all services, in proportion to
// the number of VMs, and the calls of a server come only from its own VMs. Such
// a call must not be shed for a small delay, since that fails the whole request
// it belongs to, whose work is done by then. It is safe for concurrent use.
type ServerCallDetector struct {
	mu       sync.Mutex
	vmShares map[string]float64
	kinds    map[string]*kindObservations
}

type kindObservations struct {
	services map[string]bool
	// requests counts the requests since the last new service was observed.
	requests int
}

// NewServerCallDetector returns a detector without observations.
func NewServerCallDetector() *ServerCallDetector {
	return &ServerCallDetector{kinds: map[string]*kindObservations{}}
}

// SetVMShares sets the fraction of the VMs that run targets of each service.
func (c *ServerCallDetector) SetVMShares(vmShares map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vmShares = vmShares
}

// Observe records a request of the kind from a VM with a target of the service,
// and reports whether servers send the kind.
func (c *ServerCallDetector) Observe(kind, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[kind]
	if k == nil {
		if len(c.kinds) >= maxKinds {
			return false
		}
		k = &kindObservations{services: map[string]bool{}}
		c.kinds[kind] = k
	}
	if !k.services[service] {
		k.services[service] = true
		k.requests = 0
	}
	k.requests++
	share := 0.0
	for s := range k.services {
		share += c.vmShares[s]
	}
	return share > 0 && share < 1 && -math.Log(share)*float64(k.requests) > serverCallEvidence
}
