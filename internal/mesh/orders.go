package mesh

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// maxEarlierOrders bounds the earlier orders of a service that are remembered.
const maxEarlierOrders = 16

// knownOrder is the newest order of a service. After a restore of the store the
// row of the same order has a later version than its revision.
type knownOrder struct {
	Order
	// row is the newest version of the order's row.
	row uint64
	// repeated is true when an earlier order of the same era had the same content.
	repeated bool
	earlier  []Order
}

// sameContent reports whether both orders ask for the same move.
func (o Order) sameContent(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Within == other.Within
}

// SetOrder stores an order unless the service already has this one or a newer
// one, and reports whether it did. In a later era, a row with the content of the
// newest order is the same order, written again, and a row that equals one of an
// earlier order comes from the backup.
func (n *Node) SetOrder(o Order) bool {
	known, ok := n.orders[o.Service]
	if known.row >= o.Revision {
		return false
	}
	if ok && rows.Era(o.Revision) > rows.Era(known.row) {
		if known.sameContent(o) {
			known.row = o.Revision
			n.orders[o.Service] = known
			n.identifyOrder(o.Service)
			return false
		}
		if n.moves[o.Service].isNewerThan(o) {
			return false
		}
		if slices.ContainsFunc(known.earlier, func(e Order) bool {
			return e.sameContent(o) && rows.Counter(e.Revision) == rows.Counter(o.Revision)
		}) {
			return false
		}
	}
	next := knownOrder{Order: o, row: o.Revision}
	if ok {
		last := known.Order
		last.Revision = known.row
		next.earlier = append(known.earlier, last)
		next.earlier = next.earlier[max(0, len(next.earlier)-maxEarlierOrders):]
	}
	next.repeated = slices.ContainsFunc(next.earlier, func(e Order) bool {
		return e.sameContent(o) && rows.Era(e.Revision) == rows.Era(o.Revision)
	})
	n.orders[o.Service] = next
	n.identifyOrder(o.Service)
	n.routingChanged = true
	return true
}

// identifyOrder gives the service's order the revision under which the record of
// its move refers to it, so that an order that was written again after a restore
// does not start another move.
func (n *Node) identifyOrder(service string) {
	o, ok := n.orders[service]
	m := n.moves[service]
	if !ok || m == nil || m.record == nil || m.record.Order == o.Revision {
		return
	}
	r := m.record
	switch {
	case r.Order == o.row:
	case !o.repeated && rows.Era(r.Order) < rows.Era(o.row) && r.isFor(o.Order):
	default:
		return
	}
	o.Revision = r.Order
	n.orders[service] = o
	n.routingChanged = true
}

// isFor reports whether the move is the one that the order asks for. The times of
// the record are rounded down to milliseconds.
func (r *moveRecord) isFor(o Order) bool {
	within := time.Duration(r.FinishMS-r.AcceptedMS) * time.Millisecond
	return r.To == o.Version && (within-o.Within).Abs() <= time.Millisecond
}

// isNewerThan reports whether the move has replaced the move of the order, so that
// the order comes from the backup: the record in the backup refers to it, and the
// newest known record to a later one.
func (m *serviceMove) isNewerThan(o Order) bool {
	if m == nil || m.record == nil || m.storedRecord == nil || m.storedRecord.Order >= m.record.Order {
		return false
	}
	return rows.Counter(m.storedRecord.Order) == rows.Counter(o.Revision) && m.storedRecord.isFor(o)
}
