package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is an endpoint and the time at which it left the mesh.
type entry struct {
	endpoint Endpoint
	// endedAt is when the endpoint became Lost or Gone; zero otherwise.
	endedAt time.Time
}

// Table holds the newest known endpoint of every VM. Entries of VMs that left
// remain as tombstones, so that a delayed update cannot restore them.
type Table struct {
	entries map[string]*entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}}
}

// Merge stores an endpoint if it is newer than the known one and reports whether
// it did.
func (t *Table) Merge(now time.Time, e Endpoint) bool {
	known, ok := t.entries[e.VM]
	if ok && !e.Newer(&known.endpoint) {
		return false
	}
	if ok {
		e.fill(&known.endpoint)
	}
	merged := &entry{endpoint: e}
	if e.State >= Lost {
		merged.endedAt = now
	}
	t.entries[e.VM] = merged
	return true
}

// LacksDescription reports whether a partial entry of a ready endpoint cannot be
// merged, because the table does not contain the description that it refers to.
func (t *Table) LacksDescription(e *Endpoint) bool {
	if !e.partial() || e.State != Ready {
		return false
	}
	known, ok := t.entries[e.VM]
	return !ok || !known.endpoint.SameDescription(e)
}

// Get returns the endpoint of the VM.
func (t *Table) Get(vm string) (Endpoint, bool) {
	known, ok := t.entries[vm]
	if !ok {
		return Endpoint{}, false
	}
	return known.endpoint, true
}

// MarkLost records that the link to the VM's daemon is lost and returns the
// changed endpoint. It does nothing for a VM that is not live.
func (t *Table) MarkLost(now time.Time, vm string) (Endpoint, bool) {
	known, ok := t.entries[vm]
	if !ok || known.endpoint.State >= Lost {
		return Endpoint{}, false
	}
	known.endpoint.State = Lost
	known.endedAt = now
	return known.endpoint, true
}

// Live returns the endpoints that are neither lost nor gone, sorted by VM.
func (t *Table) Live() []Endpoint {
	return t.filter(func(e *entry) bool { return e.endpoint.State < Lost })
}

// LiveCount returns the number of endpoints that are neither lost nor gone.
func (t *Table) LiveCount() int {
	count := 0
	for _, e := range t.entries {
		if e.endpoint.State < Lost {
			count++
		}
	}
	return count
}

// Lost returns the lost endpoints, sorted by VM.
func (t *Table) Lost() []Endpoint {
	return t.filter(func(e *entry) bool { return e.endpoint.State == Lost })
}

// Len returns the number of endpoints, tombstones included.
func (t *Table) Len() int { return len(t.entries) }

// All returns every endpoint, tombstones included, sorted by VM.
func (t *Table) All() []Endpoint {
	return t.filter(func(*entry) bool { return true })
}

func (t *Table) filter(keep func(*entry) bool) []Endpoint {
	var matches []Endpoint
	for _, e := range t.entries {
		if keep(e) {
			matches = append(matches, e.endpoint)
		}
	}
	slices.SortFunc(matches, byVM)
	return matches
}

func byVM(a, b Endpoint) int { return cmp.Compare(a.VM, b.VM) }

// Expire marks endpoints that have been lost for lostFor or longer as gone and
// returns them. It removes gone entries after keepGone.
func (t *Table) Expire(now time.Time, lostFor, keepGone time.Duration) []Endpoint {
	var expired []Endpoint
	for _, vm := range t.endedVMs() {
		e := t.entries[vm]
		switch age := now.Sub(e.endedAt); {
		case e.endpoint.State == Lost && age >= lostFor:
			e.endpoint.State = Gone
			e.endedAt = now
			expired = append(expired, e.endpoint)
		case e.endpoint.State == Gone && age >= keepGone:
			delete(t.entries, vm)
		}
	}
	return expired
}

// endedVMs returns the VMs of lost and gone endpoints, sorted. Expire runs in
// every tick of every daemon, so it must not sort all members.
func (t *Table) endedVMs() []string {
	var vms []string
	for vm, e := range t.entries {
		if e.endpoint.State >= Lost {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// Digests returns a digest of the live and lost endpoints of each failure
// domain. Tables with equal digests hold the same entries.
func (t *Table) Digests() map[string]uint64 {
	digests := map[string]uint64{}
	for _, e := range t.entries {
		if e.endpoint.State == Gone {
			continue
		}
		digests[e.endpoint.Domain] ^= e.endpoint.digest()
	}
	return digests
}

// digest returns a hash of the entry's VM, incarnation, sequence and state.
func (e *Endpoint) digest() uint64 {
	encoded := append([]byte(e.VM), 0)
	encoded = binary.LittleEndian.AppendUint64(encoded, e.Incarnation)
	encoded = binary.LittleEndian.AppendUint64(encoded, e.Sequence)
	encoded = append(encoded, byte(e.State))
	return xxhash.Sum64(encoded)
}
