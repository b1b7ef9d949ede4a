package core

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// syncState sends a child the records that it lacks if they are still kept,
// otherwise a snapshot.
func (n *Node) syncState(id peer.LinkID, c *childLink) {
	if c.sent >= n.state.Revision {
		return
	}
	first := slices.IndexFunc(n.recent, func(r *model.Record) bool { return r.Revision == c.sent+1 })
	if first >= 0 {
		n.sendRecordsTo(id, c, n.recent[first:])
		return
	}
	compressed, err := wire.EncodeState(n.state)
	if err != nil {
		n.refuseLink(id, err.Error())
		return
	}
	c.sent = n.state.Revision
	n.sendBulk(id, &wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{Revision: n.state.Revision, State: compressed}}})
}

func (n *Node) sendRecordsTo(id peer.LinkID, c *childLink, records []*model.Record) {
	out := &wire.Records{}
	for _, r := range records {
		if r.Revision > c.sent {
			out.Records = append(out.Records, wire.RecordToWire(r))
		}
	}
	if len(out.Records) == 0 {
		return
	}
	c.sent = records[len(records)-1].Revision
	n.send(id, &wire.Frame{Body: &wire.Frame_Records{Records: out}})
}

func (n *Node) sendRecords(records []*model.Record) {
	for _, id := range n.childIDs() {
		n.sendRecordsTo(id, n.tree.children[id], records)
	}
}

// recordsReceived applies records of the parent. A gap means that a snapshot is
// still in transit or was lost; the node then requests the missing records from
// the parent.
func (n *Node) recordsReceived(id peer.LinkID, in *wire.Records) {
	records := make([]*model.Record, 0, len(in.GetRecords()))
	for _, w := range in.GetRecords() {
		records = append(records, wire.RecordFromWire(w))
	}
	if len(records) > 0 && records[0].Revision > n.state.Revision+1 {
		n.requestResync(id)
		return
	}
	n.applyRecords(records)
	n.checkReady()
	n.ackWhenComplete()
}

func (n *Node) requestResync(id peer.LinkID) {
	p := n.tree.parent
	if p == nil || p.id != id || n.now.Before(p.nextResync) {
		return
	}
	p.nextResync = n.now.Add(resyncInterval)
	n.after(resyncInterval, func() {
		if n.tree.parent == p {
			n.sendHello(id, nil)
		}
	})
}

// resyncInterval is how long a child with a gap waits for the missing snapshot.
const resyncInterval = 300 * time.Millisecond
