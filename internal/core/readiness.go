package core

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// readiness prevents a daemon that starts without a state from serving an older
// state than before it stopped. Everything that was ever served is in the log,
// so the head of the log, read after the start, is a lower bound. While the
// platform is down, the revision in the controller's response to a root probe
// that was sent after the start takes its place.
type readiness struct {
	done             bool
	minRevisionKnown bool
	minRevision      uint64
	headReadInFlight bool
	nextAttempt      time.Time
	probeNonce       uint64
}

func (n *Node) tickReadiness() {
	r := &n.ready
	if r.done || n.stopping {
		return
	}
	if !r.minRevisionKnown && !n.now.Before(r.nextAttempt) {
		r.nextAttempt = n.now.Add(probeRetry)
		n.readHead()
		n.probeRoot()
	}
	n.checkReady()
}

func (n *Node) readHead() {
	r := &n.ready
	if r.headReadInFlight {
		return
	}
	r.headReadInFlight = true
	n.call(Call{Get: &headKey}, func(result PlatformResult) {
		r.headReadInFlight = false
		if result.Err == nil || fault.Is(result.Err, fault.NotFound) {
			n.setMinRevision(result.Item.Rev)
		}
	})
}

func (n *Node) setMinRevision(revision uint64) {
	r := &n.ready
	if r.minRevisionKnown {
		return
	}
	r.minRevisionKnown = true
	r.minRevision = revision
	n.checkReady()
}

func (n *Node) checkReady() {
	r := &n.ready
	if r.done || !r.minRevisionKnown || n.state.Revision < r.minRevision || !n.hasControllerPath() {
		return
	}
	r.done = true
	n.emit(timeline.DaemonReady, func(e *timeline.Event) { e.Revision = n.state.Revision })
	n.publishDue = true
}

// probeRoot requests the controller's revision. All probes of a start have the
// same nonce, since any response after the start is valid.
func (n *Node) probeRoot() {
	if !n.calls.platformDown || n.tree.parent == nil {
		return
	}
	if n.ready.probeNonce == 0 {
		n.ready.probeNonce = n.cfg.Rand.Uint64()
	}
	n.sendToParent(&wire.Frame{Body: &wire.Frame_RootProbe{RootProbe: &wire.RootProbe{Nonce: n.ready.probeNonce}}})
}
