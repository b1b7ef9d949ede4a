package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// calls holds what to do with the results of platform calls.
type calls struct {
	next    uint64
	waiting map[uint64]func(PlatformResult)
	timers  []timer
	// down is true while the platform does not answer.
	down bool
}

type timer struct {
	at  time.Time
	run func()
}

func (c *calls) init() { c.waiting = map[uint64]func(PlatformResult){} }

// call starts a platform call; done runs in the Step that gets the result.
func (n *Node) call(call Call, done func(PlatformResult)) {
	n.calls.next++
	n.calls.waiting[n.calls.next] = done
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
	done, ok := n.calls.waiting[e.ID]
	if !ok {
		return
	}
	delete(n.calls.waiting, e.ID)
	n.notePlatform(e.Result.Err)
	done(e.Result)
}

// notePlatform keeps track of whether the platform answers.
func (n *Node) notePlatform(err error) {
	down := unreachable(err)
	if down == n.calls.down {
		return
	}
	n.calls.down = down
	if down {
		n.emit(timeline.PlatformDown, detail(err.Error()))
	} else {
		n.emit(timeline.PlatformUp, nil)
	}
}

// unreachable reports whether the error says nothing about the table's content.
func unreachable(err error) bool {
	switch fault.KindOf(err) {
	case "", fault.NotFound, fault.ConditionFailed, fault.Throttled:
		return false
	}
	return true
}
