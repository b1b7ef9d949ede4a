package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

const (
	// SlowStart is how long a cold target's part of the traffic rises.
	SlowStart = 10 * time.Second
	// coldest is the part that a target takes right after its start.
	coldest = 0.1
	// statedCold is the part that a target takes while it says itself that it
	// is cold. Such targets work at about half of their speed.
	statedCold = 0.5
	// loadFreshness bounds the age of a load report. A target that looked busy
	// once would otherwise never be chosen, and so never report again.
	loadFreshness = time.Second
	// ejectFirst and ejectMax bound how long a target that refuses
	// connections is left out; the time doubles with each refusal.
	ejectFirst = time.Second
	ejectMax   = 10 * time.Second
	// breaksToEject is how many requests in a row may break before the target
	// is left out. One broken connection can be the end of an idle one.
	breaksToEject = 2
	// linkFreshness is the age at which a reported wait for a link counts no
	// more. It is longer than loadFreshness, since no answers come over a link
	// that is full.
	linkFreshness = 4 * time.Second
	// fullFreshness bounds the age of a report by which a target is taken to be
	// full. A slot becomes free every few milliseconds.
	fullFreshness = 100 * time.Millisecond
	// paceFreshness bounds the age of a reported pace. A target that was slow
	// once gets requests again after it, and so can show that it recovered.
	paceFreshness = 3 * time.Second
	// defaultSlots stands in for an announcement without slots.
	defaultSlots = 10
)

// TargetKey names one run of a target.
type TargetKey struct {
	VM          string
	Incarnation uint64
	Address     string
}

// Target is an endpoint with what this daemon knows of its load. Its methods
// may be called at the same time.
type Target struct {
	Endpoint member.Endpoint
	counters *counters
}

type counters struct {
	inFlight atomic.Int64
	load     atomic.Uint64
	loadAt   atomic.Int64
	// reportedWith is inFlight when load was reported.
	reportedWith atomic.Int64
	// pace is the mean time in which the target runs a request, in nanoseconds,
	// and failures the part of its recent requests that failed.
	pace     atomic.Int64
	failures atomic.Uint64
	// linkWait is how long bytes wait for the link of the target's VM, in
	// nanoseconds.
	linkWait     atomic.Int64
	ejectedUntil atomic.Int64
	refusals     atomic.Int64
	// broken counts the requests in a row that got no answer.
	broken atomic.Int64
}

// Targets keeps the counters of targets across configurations.
type Targets struct {
	mu    sync.Mutex
	known map[TargetKey]*counters
}

// NewTargets returns an empty registry.
func NewTargets() *Targets { return &Targets{known: map[TargetKey]*counters{}} }

func (t *Targets) get(e *member.Endpoint) *Target {
	target := &Target{Endpoint: *e}
	key := target.Key()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known[key] == nil {
		t.known[key] = &counters{}
	}
	target.counters = t.known[key]
	return target
}

// keep forgets the targets that are not in the current configuration.
func (t *Targets) keep(keys map[TargetKey]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.known {
		if !keys[key] {
			delete(t.known, key)
		}
	}
}

// Key names the target's run.
func (t *Target) Key() TargetKey { return KeyOf(&t.Endpoint) }

// KeyOf names the run of the endpoint's target.
func KeyOf(e *member.Endpoint) TargetKey {
	return TargetKey{VM: e.VM, Incarnation: e.Incarnation, Address: e.InboundAddress}
}

// Begin counts a request in flight to the target.
func (t *Target) Begin() { t.counters.inFlight.Add(1) }

// End ends a request that Begin counted.
func (t *Target) End() { t.counters.inFlight.Add(-1) }

// Report records the load that the target reported: requests in flight and
// queued, over slots.
func (t *Target) Report(now time.Time, load float64) {
	t.counters.load.Store(math.Float64bits(load))
	t.counters.reportedWith.Store(t.counters.inFlight.Load())
	t.counters.loadAt.Store(now.UnixNano())
}

// ReportPace records the mean time in which the target runs a request, and the
// part of its recent requests that failed.
func (t *Target) ReportPace(pace time.Duration, failures float64) {
	t.counters.pace.Store(int64(pace))
	t.counters.failures.Store(math.Float64bits(failures))
}

// ReportLink records how long bytes wait for the link of the target's VM.
func (t *Target) ReportLink(wait time.Duration) { t.counters.linkWait.Store(int64(wait)) }

// linkTime is how long the body of a request takes to come over the link of
// the target's VM.
func (t *Target) linkTime(now time.Time, bytes int64) time.Duration {
	left := max(0, 1-float64(t.reportAge(now))/float64(linkFreshness))
	return t.Transfer(bytes) + time.Duration(left*float64(t.counters.linkWait.Load()))
}

// Transfer is how long the link of the target's VM takes for the bytes when
// nothing else uses it.
func (t *Target) Transfer(bytes int64) time.Duration {
	rate := t.Endpoint.Target.LinkRate
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// reportAge is how long ago the target reported its load.
func (t *Target) reportAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.counters.loadAt.Load())
}

// paceOf returns the target's pace, or zero when it is not known.
func (t *Target) paceOf(now time.Time) time.Duration {
	if t.reportAge(now) >= paceFreshness {
		return 0
	}
	return time.Duration(t.counters.pace.Load())
}

// Known returns the load that the target reported last, and how old that is.
func (t *Target) Known(now time.Time) (load float64, age time.Duration) {
	return math.Float64frombits(t.counters.load.Load()), t.reportAge(now)
}

// Full reports whether the target has said lately that all of its slots are
// taken.
func (t *Target) Full(now time.Time) bool {
	return t.reportAge(now) < fullFreshness && t.occupancy(now) >= 1
}

// occupancy estimates the occupied part of the slots: what was reported last,
// with what this daemon has sent since.
func (t *Target) occupancy(now time.Time) float64 {
	own := float64(t.counters.inFlight.Load())
	if t.reportAge(now) >= loadFreshness {
		return own / t.slots()
	}
	since := own - float64(t.counters.reportedWith.Load())
	return max(0, math.Float64frombits(t.counters.load.Load())+since/t.slots())
}

// Refused leaves the target out for a while after a refused connection.
func (t *Target) Refused(now time.Time) {
	if t.Ejected(now) {
		return
	}
	refusals := t.counters.refusals.Add(1)
	pause := ejectMax
	if refusals < 5 {
		pause = min(ejectMax, ejectFirst<<(refusals-1))
	}
	t.counters.ejectedUntil.Store(now.Add(pause).UnixNano())
}

// Broken counts a request whose connection broke before any answer. After
// breaksToEject of them in a row the target is left out as if it refused
// connections: a network can accept a connection that leads nowhere.
func (t *Target) Broken(now time.Time) {
	if t.counters.broken.Add(1) >= breaksToEject {
		t.Refused(now)
	}
}

// Connected ends the target's ejection.
func (t *Target) Connected() {
	if t.counters.refusals.Load() == 0 && t.counters.broken.Load() == 0 {
		return
	}
	t.counters.broken.Store(0)
	t.counters.refusals.Store(0)
	t.counters.ejectedUntil.Store(0)
}

// Ejected reports whether the target is left out.
func (t *Target) Ejected(now time.Time) bool {
	return now.UnixNano() < t.counters.ejectedUntil.Load()
}

// failing is the part of the target's recent requests that failed.
func (t *Target) failing() float64 { return math.Float64frombits(t.counters.failures.Load()) }

func (t *Target) slots() float64 {
	if t.Endpoint.Target.Slots == 0 {
		return defaultSlots
	}
	return float64(t.Endpoint.Target.Slots)
}

// busyness is the target's occupied part, by its own in-flight requests of
// this daemon and by the reported load.
func (t *Target) busyness(now time.Time) float64 {
	busy := float64(t.counters.inFlight.Load()) / t.slots()
	if t.reportAge(now) < loadFreshness {
		busy += math.Float64frombits(t.counters.load.Load())
	}
	return busy
}

// warmth is the part of its normal traffic that the target may take.
func (t *Target) warmth(now time.Time) float64 {
	if warm := t.Endpoint.Target.WarmAt; !warm.IsZero() {
		if now.Before(warm) {
			return statedCold
		}
		return 1
	}
	started := t.Endpoint.Target.Started
	if started.IsZero() {
		return 1
	}
	age := now.Sub(started)
	return min(1, max(coldest, float64(age)/float64(SlowStart)))
}
