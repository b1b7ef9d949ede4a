package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// readiness keeps a daemon that starts without a state from serving an older
// one than it served before it stopped. Everything that was ever served is in
// the log, so a head that was read after the start is a lower bound. While the
// platform is down, the revision that the controller reports in answer to a
// probe sent after the start takes its place.
type readiness struct {
	done       bool
	floorKnown bool
	floor      uint64
	busy       bool
	next       time.Time
	nonce      uint64
}

func (n *Node) tickReadiness() {
	r := &n.ready
	if r.done || n.stopping {
		return
	}
	if !r.floorKnown && !n.now.Before(r.next) {
		r.next = n.now.Add(probeRetry)
		n.readHead()
		n.probeRoot()
	}
	n.checkReady()
}

func (n *Node) readHead() {
	r := &n.ready
	if r.busy {
		return
	}
	r.busy = true
	n.call(Call{Get: &headKey}, func(result PlatformResult) {
		r.busy = false
		if result.Err == nil || fault.Is(result.Err, fault.NotFound) {
			n.setFloor(result.Item.Rev)
		}
	})
}

func (n *Node) setFloor(revision uint64) {
	r := &n.ready
	if r.floorKnown {
		return
	}
	r.floorKnown = true
	r.floor = revision
	n.checkReady()
}

func (n *Node) checkReady() {
	r := &n.ready
	if r.done || !r.floorKnown || n.state.Revision < r.floor || !n.rooted() {
		return
	}
	r.done = true
	n.emit(timeline.DaemonReady, func(e *timeline.Event) { e.Revision = n.state.Revision })
	n.publishDue = true
}

// probeRoot asks the controller for its revision. All probes of a start have
// one nonce, since any answer after the start will do.
func (n *Node) probeRoot() {
	if !n.calls.down || n.tree.parent == nil {
		return
	}
	if n.ready.nonce == 0 {
		n.ready.nonce = n.cfg.Rand.Uint64()
	}
	n.sendUp(&wire.Frame{Body: &wire.Frame_RootProbe{RootProbe: &wire.RootProbe{Nonce: n.ready.nonce}}})
}
