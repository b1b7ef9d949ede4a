package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/once"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// GCPercent is the value for debug.SetGCPercent that a daemon should use, with
// a memory limit. With Go's default of 100, a daemon's small heap is collected
// every few hundred requests, which shows in the 99th percentile of latency.
const GCPercent = 400

// Clock is the daemon's Lamport clock.
type Clock interface {
	// Tick advances the clock and returns its value.
	Tick() uint64
	// Saw moves the clock past a value that another process sent.
	Saw(remote uint64)
}

// OutboundConfig configures an Outbound. Domain, Random and Observer are
// required.
type OutboundConfig struct {
	// Domain is the daemon's failure domain.
	Domain string
	// VM is the daemon's own VM, whose target is reached without the link.
	VM string
	// Link, if set, learns what is sent over the VM's link.
	Link *routing.LinkLoad
	// Random drives the choice of versions and targets. The Outbound owns it.
	Random   *rand.Rand
	Observer Observer
	// Clock may be nil; then no clock is sent.
	Clock Clock
	// Metrics may be nil; then nothing is counted.
	Metrics *Metrics
	// RetryPercent is the retry budget; zero means routing.DefaultRetryPercent.
	RetryPercent int
	// Protocol is what callers use; the zero value means DefaultProtocol.
	Protocol Protocol
	// CallerService is the service of the target on the same VM, which sends
	// its calls through this proxy.
	CallerService string
	// ObservedAtTargets is true when the daemons beside the targets report the
	// requests of moves, with SetMove, and not this proxy.
	ObservedAtTargets bool
	// BufferBytes bounds the bodies and the answers that are read whole before
	// they are passed on. Zero means that bodies are passed on as they come.
	BufferBytes int
	// Now is the time source; nil means time.Now.
	Now func() time.Time
}

// InboundConfig configures an Inbound. Observer is required. Claimer is
// required for once routes, which are refused without it.
type InboundConfig struct {
	Claimer  once.Claimer
	Observer Observer
	// Clock may be nil; then no clock is sent.
	Clock Clock
	// Metrics may be nil; then nothing is counted.
	Metrics *Metrics
	// DrainNotice is how long Drain still lets new work in; zero means DefaultDrainNotice.
	DrainNotice time.Duration
	// Protocol is what the target uses; the zero value means DefaultProtocol.
	Protocol Protocol
	// BufferBytes is as in OutboundConfig.
	BufferBytes int
	// Link, if set, tells other daemons how long bytes wait for the VM's link.
	Link *routing.LinkLoad
	// Callers, if set, finds the calls of servers, which may wait until their
	// deadline.
	Callers *routing.ServerCallDetector
	// OnTargetLost, if set, is called when the target refuses connections or
	// another run of a target has its address.
	OnTargetLost func(instance string, err error)
	// Now is the time source; nil means time.Now.
	Now func() time.Time
}

func protocolOr(p Protocol) Protocol {
	if p == (Protocol{}) {
		return DefaultProtocol()
	}
	return p
}

type noClock struct{}

func (noClock) Tick() uint64 { return 0 }
func (noClock) Saw(uint64)   {}

func clockOr(c Clock) Clock {
	if c == nil {
		return noClock{}
	}
	return c
}

func nowOr(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
