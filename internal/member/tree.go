package member

import (
	"cmp"
	"slices"
)

// FanOut is the number of members of a failure domain that attach to one
// relay of the domain.
const FanOut = 16

// Ranked returns the domain's members in rank order: by ascending incarnation, so
// that a new member does not displace an older one, then by VM.
func Ranked(members []Endpoint, domain string) []Endpoint {
	ranked := slices.DeleteFunc(slices.Clone(members), func(e Endpoint) bool { return e.Domain != domain })
	slices.SortFunc(ranked, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.VM, b.VM))
	})
	return ranked
}

// Rank returns the position of the VM in the domain's order, or -1.
func Rank(members []Endpoint, domain, vm string) int {
	return slices.IndexFunc(Ranked(members, domain), func(e Endpoint) bool { return e.VM == vm })
}

// Parents returns the members that self should try to attach to, the best first.
// controller is the VM of the controller, or empty if unknown. members should not
// include members that were recently unreachable.
func Parents(members []Endpoint, self Endpoint, controller string) []Endpoint {
	if self.VM == controller {
		return nil
	}
	var parents []Endpoint
	ranked := Ranked(members, self.Domain)
	rank := slices.IndexFunc(ranked, func(e Endpoint) bool { return e.VM == self.VM })
	for rank > 0 {
		rank = (rank - 1) / FanOut
		parents = append(parents, ranked[rank])
	}
	index := slices.IndexFunc(members, func(e Endpoint) bool { return e.VM == controller })
	if index >= 0 {
		parents = append(parents, members[index])
	}
	parents = append(parents, otherRoots(members, self.Domain)...)
	return uniqueByVM(parents, self.VM)
}

// otherRoots returns the first-ranked member of every other domain. They provide
// alternative paths when this domain is partitioned from the controller.
func otherRoots(members []Endpoint, domain string) []Endpoint {
	var domains []string
	for i := range members {
		if members[i].Domain != domain {
			domains = append(domains, members[i].Domain)
		}
	}
	slices.Sort(domains)
	var roots []Endpoint
	for _, other := range slices.Compact(domains) {
		roots = append(roots, Ranked(members, other)[0])
	}
	return roots
}

func uniqueByVM(members []Endpoint, without string) []Endpoint {
	seen := map[string]bool{without: true}
	return slices.DeleteFunc(members, func(e Endpoint) bool {
		duplicate := seen[e.VM]
		seen[e.VM] = true
		return duplicate
	})
}
