package proxy

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// crashProbeAttempts is how often a new connection is tried after one
	// broke. The listener of a dying process can outlive its connections for a
	// short time.
	crashProbeAttempts = 3
	crashProbeInterval = 20 * time.Millisecond
)

// runningRequests holds the requests that the target is currently running.
type runningRequests struct {
	mu       sync.Mutex
	requests map[*runningRequest]struct{}
}

// runningRequest is one request that was forwarded to the target.
type runningRequest struct {
	address string
	// fingerprint computes the fingerprint of the request.
	fingerprint func() uint64
	// crashFingerprint is the fingerprint of the request once the target has
	// crashed while running it, or else zero. It is guarded by
	// runningRequests.mu.
	crashFingerprint uint64
}

func newRunningRequests() *runningRequests {
	return &runningRequests{requests: map[*runningRequest]struct{}{}}
}

func (r *runningRequests) add(request *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[request] = struct{}{}
}

func (r *runningRequests) remove(request *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, request)
}

// handleBrokenConnection is called when the target's connection broke while the
// request was in flight. If the target refuses connections, it has crashed;
// then countCrash is called once for each request in flight to it, and the
// fingerprint of this request is returned.
func (r *runningRequests) handleBrokenConnection(request *runningRequest, countCrash func(uint64)) uint64 {
	crashed := refusesConnections(request.address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !crashed {
		return request.crashFingerprint
	}
	for other := range r.requests {
		if other.address != request.address || other.crashFingerprint != 0 {
			continue
		}
		other.crashFingerprint = other.fingerprint()
		countCrash(other.crashFingerprint)
	}
	return request.crashFingerprint
}

func refusesConnections(address string) bool {
	for i := range crashProbeAttempts {
		if i > 0 {
			time.Sleep(crashProbeInterval)
		}
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err == nil {
			_ = conn.Close()
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
	}
	return false
}
