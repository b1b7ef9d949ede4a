package sidecar

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

// Heartbeat is a state report of the target on the VM.
type Heartbeat struct {
	// Instance is the name of the target's run. StartUnixMS is its start in Unix
	// milliseconds of the target's own clock, or zero when it is not known: the record of
	// an earlier start of the daemon does not tell it.
	Instance    string
	StartUnixMS int64
	// Sequence increases with each heartbeat of a run.
	Sequence uint64
	Service  string
	Version  string
	Slots    uint32
	Draining bool
	// ColdRemaining is how long the target will still run slowly after its start.
	ColdRemaining time.Duration
}

// targetRun identifies one run of a target. Instance names may be reused.
type targetRun struct {
	instance    string
	startUnixMS int64
}

// maxTrackedRuns bounds the number of runs whose sequence numbers are kept.
const maxTrackedRuns = 64

// localTarget holds the state of the target on the VM, as reported by its
// heartbeats, which may arrive late or come from an earlier run. It is not safe
// for concurrent use.
type localTarget struct {
	current Heartbeat
	state   member.State
	warmAt  time.Time
	started time.Time
	// incarnation counts the runs and recoveries of the target. A higher one makes
	// other daemons discard their state about an earlier one.
	incarnation uint64
	// accepted counts the accepted heartbeats.
	accepted uint64
	// lastSequences holds the last sequence number of each run.
	lastSequences map[targetRun]uint64
}

// newLocalTarget returns a target without a state that continues from the
// incarnation.
func newLocalTarget(incarnation uint64) *localTarget {
	return &localTarget{incarnation: incarnation, lastSequences: map[targetRun]uint64{}}
}

// applyHeartbeat applies a heartbeat and reports whether the state or the
// announcement changed.
func (t *localTarget) applyHeartbeat(now time.Time, b Heartbeat) bool {
	heartbeatRun := targetRun{b.Instance, b.StartUnixMS}
	lastSequence, known := t.lastSequences[heartbeatRun]
	if known && b.Sequence <= lastSequence {
		return false
	}
	if t.state != 0 && heartbeatRun != t.currentRun() && b.StartUnixMS < t.current.StartUnixMS && t.state == member.Ready {
		// The heartbeat is a delayed one of an earlier run.
		return false
	}
	if len(t.lastSequences) >= maxTrackedRuns {
		clear(t.lastSequences)
	}
	t.lastSequences[heartbeatRun] = b.Sequence
	state := member.Ready
	if b.Draining {
		state = member.Draining
	}
	if t.current.Instance == b.Instance && t.current.StartUnixMS == 0 {
		// The daemon resumed this run, whose start time was not published.
		t.current.StartUnixMS = b.StartUnixMS
	}
	unchanged := heartbeatRun == t.currentRun() && t.state == state && sameAnnouncement(t.current, b)
	if t.state == member.Gone && heartbeatRun == t.currentRun() {
		// The heartbeat was sent before the leave notice of the same run.
		return false
	}
	if heartbeatRun != t.currentRun() || t.state != state && state == member.Ready {
		t.incarnation++
		t.started = now
	}
	t.current, t.state = b, state
	t.accepted++
	t.warmAt = now.Add(b.ColdRemaining)
	return !unchanged
}

// sameAnnouncement reports whether two heartbeats announce the same service,
// version and slots.
func sameAnnouncement(a, b Heartbeat) bool {
	return a.Service == b.Service && a.Version == b.Version && a.Slots == b.Slots
}

// currentRun returns the run of the last applied heartbeat.
func (t *localTarget) currentRun() targetRun {
	return targetRun{t.current.Instance, t.current.StartUnixMS}
}

// markGone applies the leave notice of a run and reports whether it changed the
// state.
func (t *localTarget) markGone(instance string) bool {
	if t.state == 0 || t.current.Instance != instance || t.state == member.Gone {
		return false
	}
	t.state = member.Gone
	return true
}

// markLost records that the run does not respond and reports whether that
// changed the state. Its next heartbeat makes it ready again.
func (t *localTarget) markLost(instance string) bool {
	if t.state != member.Ready || t.current.Instance != instance {
		return false
	}
	t.state = member.Lost
	return true
}

// resume restores the run that an earlier start of this daemon published, after
// a health check has succeeded. It does nothing and returns false when a
// heartbeat has already been applied.
func (t *localTarget) resume(now time.Time, b Heartbeat) bool {
	if t.state != 0 {
		return false
	}
	t.current, t.state, t.started = b, member.Ready, now
	t.incarnation++
	return true
}

// target returns the description of the target for the inbound proxy, which
// forwards requests to the address.
func (t *localTarget) target(address string, connections uint32) member.Target {
	return member.Target{
		Service: t.current.Service, Version: t.current.Version, Instance: t.current.Instance, Address: address,
		Slots: t.current.Slots, Connections: connections, Started: t.started, WarmAt: t.warmAt,
	}
}
