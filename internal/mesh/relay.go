package mesh

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

const (
	// relayFrom is the number of daemons from which most of them get the rows
	// of the store from others. Below it, the calls that this saves are few.
	relayFrom = 16
	// readersPerDomain is how many daemons of a failure domain read the store
	// for the others there. The second one takes over when the first one is lost.
	readersPerDomain = 2
)

// Relay says where a daemon gets the rows of the store from.
type Relay struct {
	// Reader is true for a daemon that reads the store itself.
	Reader bool
	// Sources holds where other daemons answer what they know of the rows, the
	// preferred one first. A reader asks its source besides the store, so that
	// it is up to date also while the store turns it away.
	Sources []string
}

// Relay chooses the readers from the known daemons: those with the fastest
// links of each failure domain. All daemons that know the same rows choose
// the same ones.
func (n *Node) Relay() Relay {
	domains := n.daemonsByDomain()
	total := 0
	for _, all := range domains {
		total += len(all)
	}
	if total < relayFrom {
		return Relay{Reader: true}
	}
	var ring []*TargetRecord
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		readers := domains[domain]
		ring = append(ring, readers[:min(readersPerDomain, len(readers))]...)
	}
	if at := slices.IndexFunc(ring, func(r *TargetRecord) bool { return r.VM == n.self.VM }); at >= 0 {
		return Relay{Reader: true, Sources: []string{ring[(at+1)%len(ring)].Peer}}
	}
	var sources []string
	for _, r := range ring {
		if r.Domain == n.self.Domain {
			sources = append(sources, r.Peer)
		}
	}
	if len(sources) > 1 && xxhash.Sum64String(n.self.VM)%2 == 1 {
		slices.Reverse(sources)
	}
	return Relay{Reader: len(sources) == 0, Sources: sources}
}

// daemonsByDomain lists the ready daemons of each failure domain, in the order
// in which they are chosen as readers.
func (n *Node) daemonsByDomain() map[string][]*TargetRecord {
	domains := map[string][]*TargetRecord{}
	for _, known := range n.targets {
		if r := known.record; r.Peer != "" && states[r.State] == member.Ready {
			domains[r.Domain] = append(domains[r.Domain], r)
		}
	}
	for _, all := range domains {
		slices.SortFunc(all, func(a, b *TargetRecord) int {
			return cmp.Or(
				cmp.Compare(b.LinkRate, a.LinkRate),
				cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)),
				cmp.Compare(a.VM, b.VM),
			)
		})
	}
	return domains
}
