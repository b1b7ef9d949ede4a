package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

const (
	// SlowStartDuration is how long the traffic of a cold target ramps up.
	SlowStartDuration = 10 * time.Second
	// minSlowStartFraction is the fraction of its normal traffic that a target
	// takes right after its start.
	minSlowStartFraction = 0.1
	// announcedColdFraction is the fraction of its normal traffic that a target
	// takes while it announces that it is cold. Such targets run at about half
	// of their speed.
	announcedColdFraction = 0.5
	// maxLoadReportAge bounds the age of a load report. Without this bound, a
	// target that reported a high load once would never be chosen, and so never
	// report again.
	maxLoadReportAge = time.Second
	// minEjection and maxEjection bound the duration of an ejection after
	// refused connections; the duration doubles with each refusal.
	minEjection = time.Second
	maxEjection = 10 * time.Second
	// brokenConnectionsToEject is the number of consecutive requests with a
	// broken connection after which the target is ejected. A single broken
	// connection can be an idle connection that the target closed.
	brokenConnectionsToEject = 2
	// maxLinkReportAge is the age at which a reported link wait is ignored. It
	// is longer than maxLoadReportAge, since no responses arrive over a full
	// link.
	maxLinkReportAge = 4 * time.Second
	// maxFullReportAge bounds the age of a report by which a target counts as
	// full. A slot becomes free every few milliseconds.
	maxFullReportAge = 100 * time.Millisecond
	// maxPaceReportAge bounds the age of a reported pace. After it, a target
	// that was slow gets requests again and can report that it has recovered.
	maxPaceReportAge = 3 * time.Second
	// defaultSlots is the number of slots of a target whose announcement has
	// none.
	defaultSlots = 10
)

// TargetKey identifies one run of a target.
type TargetKey struct {
	VM          string
	Incarnation uint64
	Address     string
}

// Target is an endpoint with the load that this daemon has measured or received
// in reports. It is safe for concurrent use.
type Target struct {
	Endpoint member.Endpoint
	counters *counters
}

type counters struct {
	inFlight       atomic.Int64
	load           atomic.Uint64
	loadReportedAt atomic.Int64
	// inFlightAtReport is the value of inFlight when load was reported.
	inFlightAtReport atomic.Int64
	// pace is the mean time that the target takes for a request, in
	// nanoseconds. failureRate is the fraction of its recent requests that
	// failed.
	pace        atomic.Int64
	kindPaces   kindPaces
	failureRate atomic.Uint64
	// coldUntil is until when the target is cold according to the daemon beside it, in
	// Unix nanoseconds; zero means that the daemon has not said.
	coldUntil atomic.Int64
	// linkWait is how long bytes wait for the link of the target's VM, in
	// nanoseconds.
	linkWait atomic.Int64
	// backlog is the work that the target's slots have to do, in nanoseconds, workPace
	// the pace of its machine, zero when the target does not tell it, and relativeWork
	// how long it takes for the same work as others.
	backlog                atomic.Int64
	workPace, relativeWork atomic.Uint64

	ejectedUntil atomic.Int64
	refusals     atomic.Int64
	// consecutiveBroken counts consecutive requests without a response.
	consecutiveBroken atomic.Int64
}

// Targets is a registry that keeps the counters of targets across
// configurations.
type Targets struct {
	mu    sync.Mutex
	byKey map[TargetKey]*counters
}

// NewTargets returns an empty registry.
func NewTargets() *Targets { return &Targets{byKey: map[TargetKey]*counters{}} }

func (t *Targets) get(e *member.Endpoint) *Target {
	target := &Target{Endpoint: *e}
	key := target.Key()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey[key] == nil {
		t.byKey[key] = &counters{}
	}
	target.counters = t.byKey[key]
	return target
}

// retain removes the targets that are not in keys.
func (t *Targets) retain(keys map[TargetKey]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.byKey {
		if !keys[key] {
			delete(t.byKey, key)
		}
	}
}

// Key returns the key of the target's run.
func (t *Target) Key() TargetKey { return KeyOf(&t.Endpoint) }

// KeyOf returns the key of the run of the endpoint's target.
func KeyOf(e *member.Endpoint) TargetKey {
	return TargetKey{VM: e.VM, Incarnation: e.Incarnation, Address: e.InboundAddress}
}

// Begin counts a request in flight to the target. End must follow.
func (t *Target) Begin() { t.counters.inFlight.Add(1) }

// End ends a request that Begin counted.
func (t *Target) End() { t.counters.inFlight.Add(-1) }

// ReportLoad records the load that the target reported: requests in flight and
// queued, divided by slots.
func (t *Target) ReportLoad(now time.Time, load float64) {
	t.counters.load.Store(math.Float64bits(load))
	t.counters.inFlightAtReport.Store(t.counters.inFlight.Load())
	t.counters.loadReportedAt.Store(now.UnixNano())
}

// ReportPace records the mean time that the target takes for a request, and the
// fraction of its recent requests that failed.
func (t *Target) ReportPace(pace time.Duration, failureRate float64) {
	t.counters.pace.Store(int64(pace))
	t.counters.failureRate.Store(math.Float64bits(failureRate))
}

// ReportLink records how long bytes wait for the link of the target's VM.
func (t *Target) ReportLink(wait time.Duration) { t.counters.linkWait.Store(int64(wait)) }

// ReportCold records how much longer the target is cold according to the daemon
// beside it; zero means that it is warm.
func (t *Target) ReportCold(now time.Time, remaining time.Duration) {
	t.counters.coldUntil.Store(now.Add(remaining).UnixNano())
}

// limitedCold reports whether the target is cold and takes a limited number of
// requests per second.
func (t *Target) limitedCold(now time.Time) bool {
	return t.Endpoint.Target.ColdPerSecond > 0 && t.warmUpFraction(now) < 1
}

// linkTime returns how long a request body takes to arrive over the link of the
// target's VM, including the wait.
func (t *Target) linkTime(now time.Time, bytes int64) time.Duration {
	weight := max(0, 1-float64(t.reportAge(now))/float64(maxLinkReportAge))
	return t.TransferTime(bytes) + time.Duration(weight*float64(t.counters.linkWait.Load()))
}

// TransferTime returns how long the link of the target's VM takes for the bytes
// when it is idle, or zero when the link rate is unknown.
func (t *Target) TransferTime(bytes int64) time.Duration {
	rate := t.Endpoint.Target.LinkRate
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// reportAge returns the time since the target reported its load.
func (t *Target) reportAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - t.counters.loadReportedAt.Load())
}

// currentPace returns the target's pace, or zero when no recent report has it.
func (t *Target) currentPace(now time.Time) time.Duration {
	if t.reportAge(now) >= maxPaceReportAge {
		return 0
	}
	return time.Duration(t.counters.pace.Load())
}

// ReportedLoad returns the load that the target reported last, and the age of
// the report.
func (t *Target) ReportedLoad(now time.Time) (load float64, age time.Duration) {
	return math.Float64frombits(t.counters.load.Load()), t.reportAge(now)
}

// MayHaveSlot reports whether the target may have a free slot: false only when it
// has recently reported that it has none.
func (t *Target) MayHaveSlot(now time.Time) bool {
	return t.reportAge(now) >= maxFullReportAge || t.occupancy(now) < 1
}

// occupancy estimates the fraction of the slots in use: the last reported load,
// adjusted by the requests that this daemon has sent since.
func (t *Target) occupancy(now time.Time) float64 {
	own := float64(t.counters.inFlight.Load())
	if t.reportAge(now) >= maxLoadReportAge {
		return own / t.slots()
	}
	since := own - float64(t.counters.inFlightAtReport.Load())
	return max(0, math.Float64frombits(t.counters.load.Load())+since/t.slots())
}

// ConnectionRefused ejects the target for some time after a refused connection.
func (t *Target) ConnectionRefused(now time.Time) {
	if t.Ejected(now) {
		return
	}
	refusals := t.counters.refusals.Add(1)
	ejection := maxEjection
	if refusals < 5 {
		ejection = min(maxEjection, minEjection<<(refusals-1))
	}
	t.counters.ejectedUntil.Store(now.Add(ejection).UnixNano())
}

// ConnectionBroken counts a request whose connection broke before any response.
// After brokenConnectionsToEject such requests in a row, the target is ejected
// as after a refused connection: a partitioned network can accept a connection
// that leads nowhere.
func (t *Target) ConnectionBroken(now time.Time) {
	if t.counters.consecutiveBroken.Add(1) >= brokenConnectionsToEject {
		t.ConnectionRefused(now)
	}
}

// Connected ends the target's ejection and resets its counts of refused and
// broken connections.
func (t *Target) Connected() {
	if t.counters.refusals.Load() == 0 && t.counters.consecutiveBroken.Load() == 0 {
		return
	}
	t.counters.consecutiveBroken.Store(0)
	t.counters.refusals.Store(0)
	t.counters.ejectedUntil.Store(0)
}

// Ejected reports whether the target is ejected.
func (t *Target) Ejected(now time.Time) bool {
	return now.UnixNano() < t.counters.ejectedUntil.Load()
}

// recentFailureRate returns the fraction of the target's recent requests that
// failed.
func (t *Target) recentFailureRate() float64 {
	return math.Float64frombits(t.counters.failureRate.Load())
}

func (t *Target) slots() float64 {
	if t.Endpoint.Target.Slots == 0 {
		return defaultSlots
	}
	return float64(t.Endpoint.Target.Slots)
}

// combinedLoad returns the fraction of the slots that the requests of this
// daemon use, plus the reported load.
func (t *Target) combinedLoad(now time.Time) float64 {
	busy := float64(t.counters.inFlight.Load()) / t.slots()
	if t.reportAge(now) < maxLoadReportAge {
		busy += math.Float64frombits(t.counters.load.Load())
	}
	return busy
}

// warmUpFraction returns the fraction of its normal traffic that the target may
// take.
func (t *Target) warmUpFraction(now time.Time) float64 {
	if until := t.counters.coldUntil.Load(); until != 0 {
		if now.UnixNano() < until {
			return announcedColdFraction
		}
		return 1
	}
	if warmAt := t.Endpoint.Target.WarmAt; !warmAt.IsZero() {
		if now.Before(warmAt) {
			return announcedColdFraction
		}
		return 1
	}
	started := t.Endpoint.Target.Started
	if started.IsZero() {
		return 1
	}
	age := now.Sub(started)
	return min(1, max(minSlowStartFraction, float64(age)/float64(SlowStartDuration)))
}
