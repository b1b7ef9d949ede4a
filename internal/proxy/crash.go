package proxy

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// crashProbes is how often a new connection is tried after one died. The
	// listener of a dying process can outlive its connections for a moment.
	crashProbes = 3
	probePause  = 20 * time.Millisecond
)

// running holds the requests that the target runs at the moment.
type running struct {
	mu       sync.Mutex
	requests map[*run]struct{}
}

// run is one request that was forwarded to the target.
type run struct {
	address string
	// print computes the request's fingerprint.
	print func() uint64
	// crashed is the fingerprint once the target died with this request. It
	// is guarded by the mutex of running.
	crashed uint64
}

func newRunning() *running { return &running{requests: map[*run]struct{}{}} }

func (r *running) add(request *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[request] = struct{}{}
}

func (r *running) remove(request *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, request)
}

// connectionDied is called when the target's connection died with the request
// in flight. If the target is dead, it strikes every request that was in
// flight to it, once each, and returns the fingerprint of this one.
func (r *running) connectionDied(request *run, strike func(uint64)) uint64 {
	dead := refusesConnections(request.address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !dead {
		return request.crashed
	}
	for other := range r.requests {
		if other.address != request.address || other.crashed != 0 {
			continue
		}
		other.crashed = other.print()
		strike(other.crashed)
	}
	return request.crashed
}

func refusesConnections(address string) bool {
	for i := range crashProbes {
		if i > 0 {
			time.Sleep(probePause)
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
