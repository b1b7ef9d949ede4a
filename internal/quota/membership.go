package quota

import (
	"github.com/cespare/xxhash/v2"
)

// Daemon is a daemon of the mesh.
type Daemon struct {
	VM     string
	Domain string
	// Peer is the address at which it accepts messages of other daemons.
	Peer string
}

// Membership holds the homes of all tenants that have a quota. It is immutable.
type Membership struct {
	daemons []Daemon
	// revision differs from that of an earlier list if any daemon has changed its record
	// since, also if the lists are equal.
	revision uint64
	tenants  map[string]*quotaHomes
}

// quotaHomes holds the size of a tenant's buckets together, its burst, and its homes.
type quotaHomes struct {
	burst float64
	rate  float64
	depth float64
	homes []Daemon
}

// maxRate bounds the rate in requests per second and the burst of a quota, so that
// numbers of tokens do not overflow. It is far above what a mesh can serve.
const maxRate = 1e9

// NewMembership returns the homes of the tenants among the daemons. All daemons with the
// same list choose the same homes. It keeps the list. The revision
// differs from an earlier one if any daemon has joined, left or changed its state since.
func NewMembership(terms Terms, limits map[string]Limit, daemons []Daemon, revision uint64) *Membership {
	m := &Membership{daemons: daemons, revision: revision, tenants: map[string]*quotaHomes{}}
	scratch := make([]candidate, len(daemons))
	for tenant, limit := range limits {
		if !(limit.RatePerSecond > 0) {
			continue
		}
		limit.RatePerSecond, limit.Burst = min(limit.RatePerSecond, maxRate), min(max(0, limit.Burst), maxRate)
		q := &quotaHomes{burst: limit.Burst}
		q.rate, q.depth = terms.bucketSize(limit)
		q.homes = chooseHomes(tenant, homeCount(q.depth), daemons, scratch)
		m.tenants[tenant] = q
	}
	return m
}

// candidate is a daemon as a possible home of one tenant. usedDomain is set when its
// failure domain holds a home already.
type candidate struct {
	weight     uint64
	chosen     bool
	usedDomain bool
}

// chooseHomes returns the count daemons of the highest weights. After the first, those of
// other failure domains precede, so that one domain does not hold all homes and most
// daemons have a home in their own.
func chooseHomes(tenant string, count int, daemons []Daemon, scratch []candidate) []Daemon {
	for i := range daemons {
		scratch[i] = candidate{weight: rendezvousWeight(tenant, daemons[i].VM)}
	}
	homes := make([]Daemon, 0, count)
	for len(homes) < min(count, len(daemons)) {
		best := -1
		for i := range scratch {
			if !scratch[i].chosen && (best < 0 || scratch[i].precedes(&scratch[best])) {
				best = i
			}
		}
		scratch[best].chosen = true
		homes = append(homes, daemons[best])
		for i := range scratch {
			scratch[i].usedDomain = scratch[i].usedDomain || daemons[i].Domain == daemons[best].Domain
		}
	}
	return homes
}

func (c *candidate) precedes(other *candidate) bool {
	if c.usedDomain != other.usedDomain {
		return other.usedDomain
	}
	return c.weight > other.weight
}

// rendezvousWeight returns the hash of a sequence of names.
func rendezvousWeight(names ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, name := range names {
		// A Digest never returns an error.
		_, _ = digest.WriteString(name)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// WithRevision returns the same homes with another revision.
func (m *Membership) WithRevision(revision uint64) *Membership {
	changed := *m
	changed.revision = revision
	return &changed
}
