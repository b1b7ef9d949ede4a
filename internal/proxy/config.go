package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/once"
	"github.com/magnoliamount/magnoliamount/internal/quota"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// GCPercent is the value for debug.SetGCPercent that a daemon should use together
// with a memory limit. With Go's default of 100, the garbage collector runs on a
// daemon's small heap every few hundred requests, which increases the 99th
// percentile of latency.
const GCPercent = 400

// Clock is the daemon's Lamport clock.
type Clock interface {
	// Tick advances the clock and returns its value.
	Tick() uint64
	// Witness advances the clock past a value that another process sent.
	Witness(remote uint64)
}

// OutboundConfig configures an Outbound. Domain, Random and Observer are
// required.
type OutboundConfig struct {
	// Domain is the daemon's failure domain.
	Domain string
	// VM is the daemon's own VM, whose target is reached without the network link.
	VM string
	// Link, if set, is updated with the bytes that are transferred over the VM's
	// network link.
	Link *routing.LinkLoad
	// Random is the source of randomness for the choice of versions and targets.
	// The Outbound owns it.
	Random   *rand.Rand
	Observer Observer
	// Clock may be nil; then no clock is sent.
	Clock Clock
	// Metrics may be nil; then nothing is counted.
	Metrics *Metrics
	// RetryPercent is the retry budget of a service, in percent of its requests;
	// zero means routing.DefaultRetryPercent.
	RetryPercent int
	// Protocol names the headers that callers use; the zero value means
	// DefaultProtocol.
	Protocol Protocol
	// CallerService is the service of the target on the same VM, which sends
	// its calls through this proxy.
	CallerService string
	// ObservedAtTargets is true when the targets' daemons report the requests of
	// moves (see Inbound.SetMove) instead of this proxy.
	ObservedAtTargets bool
	// BufferBytes is the length up to which request and response bodies are
	// buffered completely before they are forwarded. Zero means that bodies are
	// streamed, except for short responses of known length.
	BufferBytes int
	// StopDeadline, if set, tells when the daemon ends.
	StopDeadline *StopDeadline
	// KnowledgeAge returns an upper bound of the age of the configuration that the last
	// Update has put in force: all configurations that the operators stored longer ago are
	// in force. Nil means that the configuration is always the newest one.
	KnowledgeAge func() time.Duration
	// MaxKnowledgeAge is the age up to which requests with API keys are sent to targets;
	// zero means at any age.
	MaxKnowledgeAge time.Duration
	// Quotas limits the requests of tenants; nil means no limits.
	Quotas Quotas
	// Now is the time source; nil means time.Now.
	Now func() time.Time
}

// Quotas lends a token for each request of a tenant that has a quota.
type Quotas interface {
	// Take takes a token for a request of the tenant. It waits for the answers of other
	// daemons, and returns quota.Canceled when ctx ends first.
	Take(ctx context.Context, tenant string) quota.Result
	// Valid reports whether a request may still be sent with the token.
	Valid(token quota.Token) bool
	// Return gives back the token of a request that was not sent.
	Return(tenant string, token quota.Token)
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
	// DrainNotice is how long Drain still accepts new requests; zero means
	// DefaultDrainNotice.
	DrainNotice time.Duration
	// Protocol names the headers that the target uses; the zero value means
	// DefaultProtocol.
	Protocol Protocol
	// BufferBytes is as in OutboundConfig.
	BufferBytes int
	// Link, if set, estimates how long bytes wait for the VM's network link. The
	// estimate is sent to other daemons and limits the admission of long bodies.
	Link *routing.LinkLoad
	// ServerCalls, if set, detects calls that other services make while they
	// serve a request. Such calls may wait for a slot until their deadline.
	ServerCalls *routing.ServerCallDetector
	// OnTargetLost, if set, is called when the target refuses connections or
	// another target process listens on its address.
	OnTargetLost func(instance string, err error)
	// OnColdUnknown, if set, is called when the target may have become cold, because a
	// connection to it broke.
	OnColdUnknown func()
	// StopDeadline, if set, tells when the daemon ends.
	StopDeadline *StopDeadline
	// Now is the time source; nil means time.Now.
	Now func() time.Time
}

func protocolOrDefault(p Protocol) Protocol {
	if p == (Protocol{}) {
		return DefaultProtocol()
	}
	return p
}

type noClock struct{}

func (noClock) Tick() uint64   { return 0 }
func (noClock) Witness(uint64) {}

func clockOrDefault(c Clock) Clock {
	if c == nil {
		return noClock{}
	}
	return c
}

func nowOrDefault(now func() time.Time) func() time.Time {
	if now == nil {
		return time.Now
	}
	return now
}
