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

// lease is the node's part in the controller lease. The lease item's Rev
// rises with every renewal; a candidate that sees the same Rev for
// LeaseTakeover on its own clock takes the lease over, so no two clocks are
// compared.
type lease struct {
	held     bool
	caughtUp bool
	rev      uint64
	epoch    uint64
	// busy is true while a lease call is under way.
	busy    bool
	nextTry time.Time
	renewed time.Time
	// seenRev and seenSince are what a candidate watches.
	seenRev   uint64
	seenSince time.Time
	seen      bool
}

func (n *Node) tickLease() {
	l := &n.lease
	if l.busy || n.stopping || n.now.Before(l.nextTry) {
		return
	}
	if l.held {
		n.renewLease()
		return
	}
	if n.isCandidate() {
		n.watchLease()
	} else {
		l.seen = false
	}
}

// isCandidate limits the readers of the lease: nobody reads it while there is
// a path to the controller, then two members of each failure domain do, and
// more as time goes by, since the first ones may be dead. The controller's own
// children read it as well while the controller cannot reach the platform;
// one that can then takes over, and in an outage nobody can.
func (n *Node) isCandidate() bool {
	if n.rooted() {
		return n.tree.parent != nil && n.tree.parent.platformDown
	}
	if !n.announce.loaded {
		return false
	}
	without := n.now.Sub(n.tree.unrootedSince)
	allowed := 2 << min(int(without/candidateWindow), 16)
	return member.Rank(n.reachableMembers(), n.cfg.Domain, n.cfg.VM) < allowed
}

func (n *Node) watchLease() {
	l := &n.lease
	l.busy = true
	l.nextTry = n.now.Add(n.cfg.Timings.LeaseRenew)
	n.call(Call{Get: &leaseKey}, func(r PlatformResult) {
		l.busy = false
		switch {
		case fault.Is(r.Err, fault.NotFound):
			n.takeLease(0, platform.IfAbsent)
		case r.Err == nil:
			n.leaseSeen(r.Item)
		}
	})
}

func (n *Node) leaseSeen(item platform.Item) {
	l := &n.lease
	holder := decodeController(item.Body)
	if !l.seen || l.seenRev != item.Rev {
		l.seen = true
		l.seenRev = item.Rev
		l.seenSince = n.now
	}
	if holder.vm != "" {
		n.learnController(holder)
	}
	expired := n.now.Sub(l.seenSince) >= n.cfg.Timings.LeaseTakeover
	own := holder.vm == n.cfg.VM
	if holder.vm == "" || own || expired {
		n.takeLease(item.Rev, platform.IfRev)
	}
}

// takeLease takes the lease and the next epoch in one transaction. A reader
// of the epoch item comes first, since its value guards the transaction.
func (n *Node) takeLease(rev uint64, condition platform.Condition) {
	l := &n.lease
	l.busy = true
	n.call(Call{Get: &epochKey}, func(r PlatformResult) {
		epochCondition := platform.IfRev
		if fault.Is(r.Err, fault.NotFound) {
			epochCondition = platform.IfAbsent
		} else if r.Err != nil {
			l.busy = false
			return
		}
		epoch := r.Item.Rev + 1
		writes := []platform.Write{
			{Op: platform.Put, Condition: condition, WantRev: rev, Item: platform.Item{Key: leaseKey, Rev: rev + 1, Body: n.encodeSelf(epoch)}},
			{Op: platform.Put, Condition: epochCondition, WantRev: r.Item.Rev, Item: platform.Item{Key: epochKey, Rev: epoch}},
		}
		started := n.now
		n.call(Call{Transact: writes}, func(r PlatformResult) {
			l.busy = false
			if r.Err != nil {
				// After a lost answer the next read finds this VM as the
				// holder, and the lease is taken once more.
				l.seen = false
				return
			}
			n.leaseTaken(rev+1, epoch, started)
		})
	})
}

func (n *Node) leaseTaken(rev, epoch uint64, started time.Time) {
	l := &n.lease
	l.held = true
	l.caughtUp = false
	l.rev = rev
	l.epoch = epoch
	l.renewed = started
	l.nextTry = started.Add(n.cfg.Timings.LeaseRenew)
	n.proofs.settle(n.members.All())
	n.emit(timeline.LeaseTaken, func(e *timeline.Event) { e.Epoch = epoch })
	n.learnController(controllerInfo{vm: n.cfg.VM, epoch: epoch, address: n.cfg.PeerAddress})
	n.pollLog()
}

func (n *Node) renewLease() {
	l := &n.lease
	l.busy = true
	l.nextTry = n.now.Add(n.cfg.Timings.LeaseRenew)
	started := n.now
	write := platform.Write{Op: platform.Put, Condition: platform.IfRev, WantRev: l.rev, Item: platform.Item{Key: leaseKey, Rev: l.rev + 1, Body: n.encodeSelf(l.epoch)}}
	n.call(Call{Transact: []platform.Write{write}}, func(r PlatformResult) {
		l.busy = false
		switch {
		case r.Err == nil:
			l.rev++
			l.renewed = started
			n.proofs.settle(n.members.All())
		case fault.Is(r.Err, fault.ConditionFailed), fault.Is(r.Err, fault.UnknownOutcome):
			n.verifyLease()
		}
	})
}

// verifyLease reads the lease after a renewal whose outcome is not known or
// whose condition failed, which also happens after a lost answer.
func (n *Node) verifyLease() {
	l := &n.lease
	l.busy = true
	n.call(Call{Get: &leaseKey}, func(r PlatformResult) {
		l.busy = false
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
			n.learnController(holder)
		}
	})
}

func (n *Node) loseLease() {
	l := &n.lease
	if !l.held {
		return
	}
	l.held = false
	l.caughtUp = false
	l.seen = false
	n.moves.init()
	n.emit(timeline.LeaseLost, func(e *timeline.Event) { e.Epoch = l.epoch })
	n.tree.rootLost(n.now)
	n.sendWelcomes()
}

// releaseLease lets another daemon take the lease at once.
func (n *Node) releaseLease() {
	l := &n.lease
	if !l.held {
		return
	}
	write := platform.Write{Op: platform.Put, Condition: platform.IfRev, WantRev: l.rev, Item: platform.Item{Key: leaseKey, Rev: l.rev + 1}}
	n.call(Call{Transact: []platform.Write{write}}, func(PlatformResult) {})
	n.loseLease()
}

func (n *Node) encodeSelf(epoch uint64) []byte {
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

// controllerInfo is the newest controller that the node knows.
type controllerInfo struct {
	vm      string
	epoch   uint64
	address string
}

// learnController takes over news of a controller with a higher epoch.
func (n *Node) learnController(c controllerInfo) {
	if c.epoch <= n.controller.epoch {
		return
	}
	n.controller = c
	if n.lease.held && c.vm != n.cfg.VM {
		n.loseLease()
	}
	if n.tree.parent != nil && !n.lease.held {
		n.sendUp(n.controllerFrame())
		n.tree.nextDial = n.now
	}
	if !n.rooted() {
		delete(n.tree.suspects, c.vm)
		n.dialSoon()
	}
	n.sendWelcomes()
}

func (n *Node) controllerFrame() *wire.Frame {
	c := n.controller
	return &wire.Frame{Body: &wire.Frame_Controller{Controller: &wire.Controller{Vm: c.vm, Epoch: c.epoch, PeerAddress: c.address}}}
}
