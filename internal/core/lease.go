package core

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

var (
	leaseKey = platform.Key{Partition: "lease", Sort: "controller"}
	epochKey = platform.Key{Partition: "epoch", Sort: "controller"}
)

// lease is the node's state of the controller lease. Every renewal increments
// the Rev of the lease item. A candidate takes the lease over after it has
// observed the same Rev for LeaseTakeover on its own clock, so clocks of
// different VMs are never compared.
type lease struct {
	// acquired is set from the acquisition of the lease until the node releases
	// it or detects that another node has taken it over.
	acquired bool
	// caughtUp is set once the node has read the whole log since it acquired
	// the lease.
	caughtUp bool
	rev      uint64
	epoch    uint64
	// callInFlight is set while a platform call for the lease is in flight.
	callInFlight bool
	nextTry      time.Time
	// renewed is when the last successful write of the lease was started.
	renewed time.Time
	// observedRev is the Rev that a candidate has read, and observedSince when
	// it first read it. They are valid while observed is set.
	observedRev   uint64
	observedSince time.Time
	observed      bool
}

func (n *Node) tickLease() {
	l := &n.lease
	if l.callInFlight || n.stopping || n.now.Before(l.nextTry) {
		return
	}
	if l.acquired {
		n.renewLease()
		return
	}
	if n.isCandidate() {
		n.watchLease()
	} else {
		l.observed = false
	}
}

// isCandidate reports whether this node reads the lease. To limit the reads, no
// node reads it while it has a path to the controller. Without a path, the two
// first-ranked members of each failure domain read it, and more as time passes,
// since the first ones may have failed. The controller's children also read it
// while the controller cannot reach the platform: a child that can reach it
// takes the lease over, and in a full outage no node can.
func (n *Node) isCandidate() bool {
	if n.hasControllerPath() {
		return n.tree.parent != nil && n.tree.parent.platformDown
	}
	if !n.announce.loaded {
		return false
	}
	withoutPath := n.now.Sub(n.tree.pathLostAt)
	candidates := 2 << min(int(withoutPath/candidateWindow), 16)
	return member.Rank(n.reachableMembers(), n.cfg.Domain, n.cfg.VM) < candidates
}

func (n *Node) watchLease() {
	l := &n.lease
	l.callInFlight = true
	l.nextTry = n.now.Add(n.cfg.Timings.LeaseRenew)
	n.call(Call{Get: &leaseKey}, func(r PlatformResult) {
		l.callInFlight = false
		switch {
		case fault.Is(r.Err, fault.NotFound):
			n.acquireLease(0, platform.IfAbsent)
		case r.Err == nil:
			n.leaseObserved(r.Item)
		}
	})
}

func (n *Node) leaseObserved(item platform.Item) {
	l := &n.lease
	holder := decodeController(item.Body)
	if !l.observed || l.observedRev != item.Rev {
		l.observed = true
		l.observedRev = item.Rev
		l.observedSince = n.now
	}
	if holder.vm != "" {
		n.updateController(holder)
	}
	expired := n.now.Sub(l.observedSince) >= n.cfg.Timings.LeaseTakeover
	ownLease := holder.vm == n.cfg.VM
	if holder.vm == "" || ownLease || expired {
		n.acquireLease(item.Rev, platform.IfRev)
	}
}

// acquireLease takes the lease and increments the epoch in one transaction. It
// reads the epoch item first, because the transaction is conditional on its
// value.
func (n *Node) acquireLease(rev uint64, condition platform.Condition) {
	l := &n.lease
	l.callInFlight = true
	n.call(Call{Get: &epochKey}, func(r PlatformResult) {
		epochCondition := platform.IfRev
		if fault.Is(r.Err, fault.NotFound) {
			epochCondition = platform.IfAbsent
		} else if r.Err != nil {
			l.callInFlight = false
			return
		}
		epoch := r.Item.Rev + 1
		writes := []platform.Write{
			{Op: platform.Put, Condition: condition, WantRev: rev, Item: platform.Item{Key: leaseKey, Rev: rev + 1, Body: n.encodeController(epoch)}},
			{Op: platform.Put, Condition: epochCondition, WantRev: r.Item.Rev, Item: platform.Item{Key: epochKey, Rev: epoch}},
		}
		started := n.now
		n.call(Call{Transact: writes}, func(r PlatformResult) {
			l.callInFlight = false
			if r.Err != nil {
				// If only the response was lost, the next read finds this VM as
				// the holder, and the node acquires the lease once more.
				l.observed = false
				return
			}
			n.leaseAcquired(rev+1, epoch, started)
		})
	})
}

func (n *Node) leaseAcquired(rev, epoch uint64, started time.Time) {
	l := &n.lease
	l.acquired = true
	l.caughtUp = false
	l.rev = rev
	l.epoch = epoch
	l.renewed = started
	l.nextTry = started.Add(n.cfg.Timings.LeaseRenew)
	n.probeResponder.confirmMembers(n.members.All())
	n.emit(timeline.LeaseTaken, func(e *timeline.Event) { e.Epoch = epoch })
	n.updateController(controllerInfo{vm: n.cfg.VM, epoch: epoch, address: n.cfg.PeerAddress})
	n.pollLog()
}

func (n *Node) renewLease() {
	l := &n.lease
	l.callInFlight = true
	l.nextTry = n.now.Add(n.cfg.Timings.LeaseRenew)
	started := n.now
	write := platform.Write{Op: platform.Put, Condition: platform.IfRev, WantRev: l.rev, Item: platform.Item{Key: leaseKey, Rev: l.rev + 1, Body: n.encodeController(l.epoch)}}
	n.call(Call{Transact: []platform.Write{write}}, func(r PlatformResult) {
		l.callInFlight = false
		switch {
		case r.Err == nil:
			l.rev++
			l.renewed = started
			n.probeResponder.confirmMembers(n.members.All())
		case fault.Is(r.Err, fault.ConditionFailed), fault.Is(r.Err, fault.UnknownOutcome):
			n.verifyLease()
		}
	})
}

// verifyLease reads the lease after a renewal whose outcome is unknown or whose
// condition failed. A lost response to an earlier renewal also makes the
// condition fail.
func (n *Node) verifyLease() {
	l := &n.lease
	l.callInFlight = true
	n.call(Call{Get: &leaseKey}, func(r PlatformResult) {
		l.callInFlight = false
		if r.Err != nil {
			return
		}
		holder := decodeController(r.Item.Body)
		if holder.vm == n.cfg.VM && holder.epoch == l.epoch {
			l.rev = r.Item.Rev
			return
		}
		n.loseLease()
		if holder.vm != "" {
			n.updateController(holder)
		}
	})
}

func (n *Node) loseLease() {
	l := &n.lease
	if !l.acquired {
		return
	}
	l.acquired = false
	l.caughtUp = false
	l.observed = false
	n.moves.init()
	n.emit(timeline.LeaseLost, func(e *timeline.Event) { e.Epoch = l.epoch })
	n.tree.setPathLost(n.now)
	n.sendWelcomes()
}

// releaseLease gives the lease up, so that another daemon can take it at once.
func (n *Node) releaseLease() {
	l := &n.lease
	if !l.acquired {
		return
	}
	write := platform.Write{Op: platform.Put, Condition: platform.IfRev, WantRev: l.rev, Item: platform.Item{Key: leaseKey, Rev: l.rev + 1}}
	n.call(Call{Transact: []platform.Write{write}}, func(PlatformResult) {})
	n.loseLease()
}

func (n *Node) encodeController(epoch uint64) []byte {
	encoded, err := proto.Marshal(&wire.Controller{Vm: n.cfg.VM, Epoch: epoch, PeerAddress: n.cfg.PeerAddress})
	if err != nil {
		return nil
	}
	return encoded
}

func decodeController(body []byte) controllerInfo {
	var c wire.Controller
	if err := proto.Unmarshal(body, &c); err != nil {
		return controllerInfo{}
	}
	return controllerInfo{vm: c.GetVm(), epoch: c.GetEpoch(), address: c.GetPeerAddress()}
}

// controllerInfo identifies a controller by its VM, epoch and peer address.
type controllerInfo struct {
	vm      string
	epoch   uint64
	address string
}

// updateController replaces the controller that the node follows if c has a
// higher epoch.
func (n *Node) updateController(c controllerInfo) {
	if c.epoch <= n.controller.epoch {
		return
	}
	n.controller = c
	if n.lease.acquired && c.vm != n.cfg.VM {
		n.loseLease()
	}
	if n.tree.parent != nil && !n.lease.acquired {
		n.sendToParent(n.controllerFrame())
		n.tree.nextDial = n.now
	}
	if !n.hasControllerPath() {
		delete(n.tree.suspects, c.vm)
		n.resetBackoff()
	}
	n.sendWelcomes()
}

func (n *Node) controllerFrame() *wire.Frame {
	c := n.controller
	return &wire.Frame{Body: &wire.Frame_Controller{Controller: &wire.Controller{Vm: c.vm, Epoch: c.epoch, PeerAddress: c.address}}}
}
