package mesh

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// KnownOrders returns the orders of all services, sorted by revision. A node that
// sets them in this sequence recognizes the same orders of a backup as this one.
func (n *Node) KnownOrders() []Order {
	var all []Order
	for _, known := range n.orders {
		all = append(all, known.earlier...)
		all = append(all, known.Order)
		if known.row != known.Revision {
			again := known.Order
			again.Revision = known.row
			all = append(all, again)
		}
	}
	sortOrders(all)
	return all
}

func sortOrders(all []Order) {
	slices.SortStableFunc(all, func(a, b Order) int { return cmp.Compare(a.Revision, b.Revision) })
}

// KnownRows returns the newest known baselines, moves and crash counts, and the
// targets that have left if the store's rows do not say so. Their
// versions are those under which the content was written, so that a node that
// applies them before it enters a later era treats them like rows that it has
// read before the restore.
func (n *Node) KnownRows(now time.Time) []rows.Row {
	var all []rows.Row
	add := func(name string, version uint64, record any) {
		row := encodeRow(meshKey(name), record)
		row.Version = version
		all = append(all, row)
	}
	for _, service := range slices.Sorted(maps.Keys(n.baselines)) {
		b := n.baselines[service]
		add(baselinePrefix+service, b.origin, b.record)
	}
	for _, service := range slices.Sorted(maps.Keys(n.moves)) {
		if m := n.moves[service]; m.record != nil {
			add(movePrefix+service, m.origin, m.record)
		}
	}
	for _, fingerprint := range slices.Sorted(maps.Keys(n.crashes)) {
		add(crashPrefix+strconv.FormatUint(fingerprint, 16), 0, crashRecord{Count: n.crashes[fingerprint]})
	}
	return append(all, n.leftTargets(now)...)
}

// ApplyKnown applies what other daemons returned from KnownOrders and KnownRows.
// It has to be called before the node enters the era of the store. It skips rows
// that cannot be decoded and returns their errors.
func (n *Node) ApplyKnown(now time.Time, orders []Order, known []rows.Row) []error {
	known = slices.Clone(known)
	slices.SortStableFunc(known, func(a, b rows.Row) int { return cmp.Compare(a.Version, b.Version) })
	var failures []error
	for _, row := range known {
		if err := n.apply(now, row); err != nil {
			failures = append(failures, err)
		}
	}
	orders = slices.Clone(orders)
	sortOrders(orders)
	for _, o := range orders {
		n.SetOrder(o)
	}
	n.routingChanged = true
	return failures
}
