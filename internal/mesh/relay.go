package mesh

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/quota"
)

const (
	// minRelayDaemons is the minimum number of ready daemons for relaying the
	// store's rows between daemons. Below it, relaying saves only a few calls.
	minRelayDaemons = 16
	// readersPerDomain is the number of daemons of a failure domain that read
	// the store for the others there. The second takes over when the first is lost.
	readersPerDomain = 2
	// sparesPerDomain is the number of further daemons of a failure domain that
	// others there may follow while they read the store because all readers of the
	// domain have failed.
	sparesPerDomain = 2
)

// Relay describes where a daemon gets the rows of the store from.
type Relay struct {
	// Reader is true for a daemon that reads the store itself.
	Reader bool
	// Sources lists the addresses of daemons that serve their copy of the rows,
	// the preferred one first. A reader queries its source in addition to the
	// store, so that it stays up to date while the store rejects its requests.
	Sources []string
	// Spares lists the addresses of daemons that may read the store while no source
	// responds. A daemon has only spares that are selected before itself, so that no
	// two spares follow each other.
	Spares []string
	// Followers is the number of daemons of the failure domain that do not read the
	// store. It is not set for readers.
	Followers int
}

// Relay selects the readers among the known daemons: those with the fastest
// links in each failure domain. All daemons with the same rows select the same
// readers.
func (n *Node) Relay() Relay {
	domains := n.daemonsByDomain()
	total := 0
	for _, all := range domains {
		total += len(all)
	}
	if total < minRelayDaemons {
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
	return Relay{
		Reader: len(sources) == 0, Sources: sources, Spares: n.spares(domains[n.self.Domain]),
		Followers: len(domains[n.self.Domain]) - len(sources),
	}
}

// spares returns the peer addresses of the spares among the daemons of this
// daemon's failure domain, which are in the order of their selection.
func (n *Node) spares(domain []*TargetRecord) []string {
	var spares []string
	for _, r := range domain[min(readersPerDomain, len(domain)):min(readersPerDomain+sparesPerDomain, len(domain))] {
		if r.VM == n.self.VM {
			break
		}
		spares = append(spares, r.Peer)
	}
	return spares
}

// daemonsByDomain returns the ready daemons of each failure domain, in the order
// in which they are selected as readers.
func (n *Node) daemonsByDomain() map[string][]*TargetRecord {
	domains := map[string][]*TargetRecord{}
	for _, known := range n.targets {
		if r := known.record; r.Peer != "" && stateByName[r.State] == member.Ready {
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

// ReadyDaemons returns the daemons that may be homes of tenants' quotas: those whose
// target is ready, sorted by VM. The revision differs from an earlier one if any target
// has changed its state since.
func (n *Node) ReadyDaemons() (daemons []quota.Daemon, revision uint64) {
	var digest xxhash.Digest
	digest.Reset()
	var numbers [16]byte
	for _, vm := range slices.Sorted(maps.Keys(n.targets)) {
		r := n.targets[vm].record
		if r.Peer != "" && r.ready() {
			daemons = append(daemons, quota.Daemon{VM: r.VM, Domain: r.Domain, Peer: r.Peer})
		}
		binary.BigEndian.PutUint64(numbers[:8], r.Incarnation)
		binary.BigEndian.PutUint64(numbers[8:], r.Sequence)
		// A Digest never returns an error.
		_, _ = digest.WriteString(vm)
		_, _ = digest.Write(numbers[:])
	}
	return daemons, digest.Sum64()
}

// ReadyDaemonsChangedAt returns when the list of ReadyDaemons last changed, on the store's
// clock. It returns false when a record does not tell.
func (n *Node) ReadyDaemonsChangedAt() (time.Duration, bool) {
	latest := int64(0)
	for _, known := range n.targets {
		since := known.record.StateSinceMS
		if since <= 0 {
			return 0, false
		}
		latest = max(latest, since)
	}
	return time.Duration(latest) * time.Millisecond, latest > 0
}
