package sidecar

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

// Heartbeat is what the target on the VM says of itself.
type Heartbeat struct {
	// Instance names the run of the target, and Born is its start in
	// milliseconds of the target's own time of day.
	Instance string
	Born     int64
	// Sequence increases with each heartbeat of a run.
	Sequence uint64
	Service  string
	Version  string
	Slots    uint32
	Draining bool
	// Cold is how long the target still works slowly.
	Cold time.Duration
}

// run names one start of a target. An instance name may be used again.
type run struct {
	instance string
	born     int64
}

// maxRuns bounds the runs whose sequence numbers are remembered.
const maxRuns = 64

// localTarget follows the target on the VM through its heartbeats, which may
// come late or from an earlier run. It is not safe for concurrent use.
type localTarget struct {
	current Heartbeat
	state   member.State
	warmAt  time.Time
	started time.Time
	// incarnation counts the runs and recoveries of the target; it lets other
	// daemons forget what they know of an earlier one.
	incarnation uint64
	// seen holds the last sequence number of each run.
	seen map[run]uint64
}

func newLocalTarget(incarnation uint64) *localTarget {
	return &localTarget{incarnation: incarnation, seen: map[run]uint64{}}
}

// beat takes a heartbeat and reports whether it changed anything.
func (t *localTarget) beat(now time.Time, b Heartbeat) bool {
	name := run{b.Instance, b.Born}
	last, known := t.seen[name]
	if known && b.Sequence <= last {
		return false
	}
	if t.state != 0 && name != t.name() && b.Born < t.current.Born && t.state == member.Ready {
		// A heartbeat of an earlier run that was held up on its way.
		return false
	}
	if len(t.seen) >= maxRuns {
		clear(t.seen)
	}
	t.seen[name] = b.Sequence
	state := member.Ready
	if b.Draining {
		state = member.Draining
	}
	if t.current.Instance == b.Instance && t.current.Born == 0 {
		// The daemon resumed this run without knowing its start.
		t.current.Born = b.Born
	}
	same := name == t.name() && t.state == state && sameAnnouncement(t.current, b)
	if t.state == member.Gone && name == t.name() {
		// A heartbeat that crossed the farewell of the same run.
		return false
	}
	if name != t.name() || t.state != state && state == member.Ready {
		t.incarnation++
		t.started = now
	}
	t.current, t.state = b, state
	t.warmAt = now.Add(b.Cold)
	return !same
}

func sameAnnouncement(a, b Heartbeat) bool {
	return a.Service == b.Service && a.Version == b.Version && a.Slots == b.Slots
}

func (t *localTarget) name() run { return run{t.current.Instance, t.current.Born} }

// leave takes the farewell of a run and reports whether it was the current one.
func (t *localTarget) leave(instance string) bool {
	if t.state == 0 || t.current.Instance != instance || t.state == member.Gone {
		return false
	}
	t.state = member.Gone
	return true
}

// fail notes that the run does not answer. Its next heartbeat makes it ready again.
func (t *localTarget) fail(instance string) bool {
	if t.state != member.Ready || t.current.Instance != instance {
		return false
	}
	t.state = member.Lost
	return true
}

// resume takes over the run that an earlier start of this daemon knew, after
// the target has said that it is healthy. A heartbeat goes before it.
func (t *localTarget) resume(now time.Time, b Heartbeat) bool {
	if t.state != 0 {
		return false
	}
	t.current, t.state, t.started = b, member.Ready, now
	t.incarnation++
	return true
}

// target returns what the inbound proxy serves at the address.
func (t *localTarget) target(address string, connections uint32) member.Target {
	return member.Target{
		Service: t.current.Service, Version: t.current.Version, Instance: t.current.Instance, Address: address,
		Slots: t.current.Slots, Connections: connections, Started: t.started, WarmAt: t.warmAt,
	}
}
