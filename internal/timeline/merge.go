package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all lists in causal order: a cause comes before
// its effects. Events with the same clock did not cause one another and are
// ordered by time, then by VM. An event that several lists hold comes once.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, same)
}

func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Clock, b.Clock),
		a.At.Compare(b.At),
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Ticket, b.Ticket),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Detail, b.Detail),
	)
}

func same(a, b Event) bool { return compare(a, b) == 0 }
