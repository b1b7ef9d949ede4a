package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all lists in causal order: a cause comes before
// its effects. Events with the same clock did not cause one another and are
// ordered by time, then by VM. An event that is in several lists is returned once.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	return slices.CompactFunc(all, equalEvents)
}

// compareEvents orders events by clock, time and VM. It compares the other fields
// too, so that only identical events compare as equal.
func compareEvents(a, b Event) int {
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

func equalEvents(a, b Event) bool { return compareEvents(a, b) == 0 }
