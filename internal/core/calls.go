package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// calls holds the callbacks of the platform calls in flight, and the timers.
type calls struct {
	next    uint64
	pending map[uint64]func(PlatformResult)
	timers  []timer
	// platformDown is set while the platform does not respond.
	platformDown bool
}

type timer struct {
	at  time.Time
	run func()
}

func (c *calls) init() { c.pending = map[uint64]func(PlatformResult){} }

// call starts a platform call; done runs in the Step that receives the result.
func (n *Node) call(call Call, done func(PlatformResult)) {
	n.calls.next++
	n.calls.pending[n.calls.next] = done
	n.effects = append(n.effects, PlatformCall{ID: n.calls.next, Call: call})
}

// after runs a function in the first Tick after the delay.
func (n *Node) after(delay time.Duration, run func()) {
	n.calls.timers = append(n.calls.timers, timer{at: n.now.Add(delay), run: run})
}

func (n *Node) runTimers() {
	due := n.calls.timers
	n.calls.timers = nil
	for _, t := range due {
		if t.at.After(n.now) {
			n.calls.timers = append(n.calls.timers, t)
			continue
		}
		t.run()
	}
}

func (n *Node) platformDone(e PlatformDone) {
	done, ok := n.calls.pending[e.ID]
	if !ok {
		return
	}
	delete(n.calls.pending, e.ID)
	n.updatePlatformState(e.Result.Err)
	done(e.Result)
}

// updatePlatformState records whether the platform responds, and emits an event
// when that changes.
func (n *Node) updatePlatformState(err error) {
	platformDown := unreachable(err)
	if platformDown == n.calls.platformDown {
		return
	}
	n.calls.platformDown = platformDown
	if platformDown {
		n.emit(timeline.PlatformDown, detail(err.Error()))
	} else {
		n.emit(timeline.PlatformUp, nil)
	}
}

// unreachable reports whether the error carries no information about the
// content of the table.
func unreachable(err error) bool {
	switch fault.KindOf(err) {
	case "", fault.NotFound, fault.ConditionFailed, fault.Throttled:
		return false
	}
	return true
}
