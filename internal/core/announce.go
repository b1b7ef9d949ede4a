package core

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

const memberPartition = "member"

// announcement is the state of the daemon's entry in the platform's table and
// of the other daemons' entries that it read there. The entries only serve to
// find a parent: an entry may belong to a daemon that has failed, so it is
// never passed to the proxies.
type announcement struct {
	loaded   bool
	reading  bool
	writing  bool
	entries  map[string]member.Endpoint
	nextRead time.Time
	// nextWrite is when the daemon writes its own entry again.
	nextWrite time.Time
	readDelay time.Duration
}

func memberKey(vm string) platform.Key {
	return platform.Key{Partition: memberPartition, Sort: vm}
}

func (n *Node) tickAnnouncement() {
	a := &n.announce
	if n.stopping {
		return
	}
	if !a.writing && !n.now.Before(a.nextWrite) {
		n.writeAnnouncement()
	}
	if n.hasControllerPath() {
		a.readDelay = 0
		return
	}
	if !a.reading && !n.now.Before(a.nextRead) {
		n.readAnnouncements()
	}
}

// writeAnnouncement writes the daemon's entry with the incarnation as its Rev,
// so that a delayed delete for an earlier start cannot remove it.
func (n *Node) writeAnnouncement() {
	a := &n.announce
	self := n.self
	self.Target = member.Target{}
	self.State = member.Ready
	body, err := proto.Marshal(self.ToWire())
	if err != nil {
		return
	}
	a.writing = true
	put := platform.Write{Op: platform.Put, Item: platform.Item{Key: memberKey(n.cfg.VM), Rev: n.self.Incarnation, Body: body}}
	n.call(Call{Transact: []platform.Write{put}}, func(r PlatformResult) {
		a.writing = false
		a.nextWrite = n.now.Add(n.cfg.Timings.Announce + n.jitter(n.cfg.Timings.Announce/4))
		if r.Err != nil {
			a.nextWrite = n.now.Add(callRetry + n.jitter(callRetry))
		}
	})
}

// readAnnouncements reads all entries. While there is no path to the
// controller, it is repeated with exponential backoff, since a new daemon may
// have read before the others wrote.
func (n *Node) readAnnouncements() {
	a := &n.announce
	a.reading = true
	a.readDelay = min(max(2*a.readDelay, callRetry), backoffMax)
	a.nextRead = n.now.Add(a.readDelay + n.jitter(a.readDelay))
	entries := map[string]member.Endpoint{}
	n.readMemberPage("", entries)
}

const memberPageSize = 250

func (n *Node) readMemberPage(after string, entries map[string]member.Endpoint) {
	a := &n.announce
	query := &QueryCall{Partition: memberPartition, After: after, Limit: memberPageSize}
	n.call(Call{Query: query}, func(r PlatformResult) {
		if r.Err != nil {
			a.reading = false
			return
		}
		for _, item := range r.Items {
			var w wire.Endpoint
			if proto.Unmarshal(item.Body, &w) == nil {
				entries[w.GetVm()] = member.FromWire(&w)
			}
			after = item.Key.Sort
		}
		if len(r.Items) == memberPageSize {
			n.readMemberPage(after, entries)
			return
		}
		a.reading = false
		a.loaded = true
		a.entries = entries
	})
}

// removeAnnouncement deletes the daemon's own entry at a planned stop.
func (n *Node) removeAnnouncement() { n.deleteAnnouncement(n.cfg.VM, n.self.Incarnation) }

// deleteAnnouncement deletes the entry of one start of a daemon that left. It
// retries while the platform is unreachable.
func (n *Node) deleteAnnouncement(vm string, incarnation uint64) {
	remove := platform.Write{Op: platform.Delete, Condition: platform.IfRev, WantRev: incarnation, Item: platform.Item{Key: memberKey(vm)}}
	n.call(Call{Transact: []platform.Write{remove}}, func(r PlatformResult) {
		if unreachable(r.Err) && !n.stopping {
			n.after(backoffMax, func() { n.deleteAnnouncement(vm, incarnation) })
		}
	})
}

func (n *Node) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.cfg.Rand.Int64N(int64(limit)))
}

// reachableMembers returns the members that this node may attach to, without
// those that could not be reached recently: the members of the endpoint table
// and, while the node has no path to the controller, those that only the
// platform's table contains.
func (n *Node) reachableMembers() []member.Endpoint {
	members := n.members.Live()
	if !n.hasControllerPath() {
		for vm, e := range n.announce.entries {
			if _, known := n.members.Get(vm); !known {
				members = append(members, e)
			}
		}
	}
	return n.withoutSuspects(members)
}

func (n *Node) withoutSuspects(members []member.Endpoint) []member.Endpoint {
	var reachable []member.Endpoint
	for _, e := range members {
		if !n.tree.suspected(e.VM, n.now) {
			reachable = append(reachable, e)
		}
	}
	return reachable
}
