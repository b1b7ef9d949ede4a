package core

import (
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

func (n *Node) emit(kind timeline.Kind, set func(*timeline.Event)) {
	event := timeline.Event{Kind: kind}
	if set != nil {
		set(&event)
	}
	n.effects = append(n.effects, Emit{Event: event})
}

func detail(text string) func(*timeline.Event) {
	return func(e *timeline.Event) { e.Detail = text }
}

func (n *Node) send(link peer.LinkID, frame *wire.Frame) {
	n.effects = append(n.effects, SendFrame{Link: link, Frame: frame})
}

func (n *Node) sendBulk(link peer.LinkID, frame *wire.Frame) {
	n.effects = append(n.effects, SendFrame{Link: link, Frame: frame, Bulk: true})
}

// sendBatch sends endpoints. A comparison of tables is sent as bulk traffic,
// changes are not.
func (n *Node) sendBatch(id peer.LinkID, b *member.Batch) {
	if len(b.Entries) == 0 && len(b.ComparedDomains) == 0 && len(b.WantedDescriptions) == 0 {
		return
	}
	n.effects = append(n.effects, SendFrame{Link: id, Frame: wire.EndpointsFrame(b.Encode()), Bulk: b.Sync})
}

func (n *Node) sendToParent(frame *wire.Frame) {
	if p := n.tree.parent; p != nil {
		n.send(p.id, frame)
	}
}

func (n *Node) sendToChildren(frame *wire.Frame) {
	for _, id := range n.childIDs() {
		n.send(id, frame)
	}
}

func (n *Node) closeLink(id peer.LinkID) { n.effects = append(n.effects, CloseLink{Link: id}) }

func (n *Node) refuseLink(id peer.LinkID, reason string) {
	n.emit(timeline.FrameRefused, detail(reason))
	n.closeLink(id)
}
