package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
)

// maxEvacuations bounds the evacuated failure domains in a message. A deployment has
// a few failure domains.
const maxEvacuations = 256

// Evacuation is an operators' row that evacuates a failure domain.
type Evacuation struct {
	Domain string `json:"domain"`
	// Version is the version of the row.
	Version uint64 `json:"version"`
}

// Evacuations is the set of evacuation rows that exist in the store at a version. It
// names every such row up to that version, so that a row of an earlier version that
// it does not name has been removed. It may also name rows of later versions.
type Evacuations struct {
	// Complete is the version; zero means that the set is not known.
	Complete uint64       `json:"complete"`
	Rows     []Evacuation `json:"rows,omitempty"`
}

// Validate checks a set that comes from another daemon. It fails with
// fault.Invalid.
func (e *Evacuations) Validate() error {
	if len(e.Rows) > maxEvacuations {
		return fault.New(fault.Invalid, "a message names %d evacuations, more than %d", len(e.Rows), maxEvacuations)
	}
	for _, row := range e.Rows {
		if !printableName.MatchString(row.Domain) || row.Version == 0 {
			return fault.New(fault.Invalid, "a message has an invalid evacuation of the failure domain %.200q, version %d", row.Domain, row.Version)
		}
	}
	return nil
}

// evacuations is the evacuation state of a node.
type evacuations struct {
	complete uint64
	// versions holds the version of the row by failure domain.
	versions map[string]uint64
}

// merge adds what the set knows: rows that are newer than all that this state
// knows, and the removal of rows that are not newer than the set. It reports whether
// the evacuated domains changed.
func (e *evacuations) merge(set *Evacuations) bool {
	listed := make(map[string]uint64, len(set.Rows))
	changed := false
	for _, row := range set.Rows {
		listed[row.Domain] = max(listed[row.Domain], row.Version)
		changed = e.add(row) || changed
	}
	for domain, version := range e.versions {
		if listed[domain] == 0 && version <= set.Complete {
			delete(e.versions, domain)
			changed = true
		}
	}
	e.complete = max(e.complete, set.Complete)
	return changed
}

// add adds a row unless a newer state is known, and reports whether its domain was
// not evacuated before.
func (e *evacuations) add(row Evacuation) bool {
	known, ok := e.versions[row.Domain]
	if !ok && row.Version <= e.complete {
		// The row was removed: this state names every row up to its version.
		return false
	}
	if row.Version > known {
		e.versions[row.Domain] = row.Version
	}
	return !ok
}

// AddEvacuation applies an evacuation row that was read from the operators' table
// or received from another daemon. It reports whether its failure domain was not
// evacuated before. An old copy of a removed row has no effect.
func (n *Node) AddEvacuation(row Evacuation) bool {
	changed := n.evacuations.add(row)
	n.routingChanged = n.routingChanged || changed
	return changed
}

// RemoveEvacuation applies the removal of the evacuation row, which happened at the
// version. It reports whether the failure domain was evacuated.
func (n *Node) RemoveEvacuation(domain string, version uint64) bool {
	known, ok := n.evacuations.versions[domain]
	if !ok || known > version {
		return false
	}
	delete(n.evacuations.versions, domain)
	n.routingChanged = true
	return true
}

// AdvanceEvacuations records that all changes of evacuation rows up to the version
// were applied.
func (n *Node) AdvanceEvacuations(version uint64) {
	n.evacuations.complete = max(n.evacuations.complete, version)
}

// MergeEvacuations applies a set that another daemon sent or that a list of the
// operators' table returned. It reports whether the evacuated domains changed.
func (n *Node) MergeEvacuations(set *Evacuations) bool {
	changed := n.evacuations.merge(set)
	n.routingChanged = n.routingChanged || changed
	return changed
}

// Evacuations returns the known evacuation rows, sorted by failure domain.
func (n *Node) Evacuations() Evacuations {
	set := Evacuations{Complete: n.evacuations.complete}
	for _, domain := range slices.Sorted(maps.Keys(n.evacuations.versions)) {
		set.Rows = append(set.Rows, Evacuation{Domain: domain, Version: n.evacuations.versions[domain]})
	}
	return set
}

// EvacuatedDomains returns the evacuated failure domains, sorted.
func (n *Node) EvacuatedDomains() []string {
	return slices.Sorted(maps.Keys(n.evacuations.versions))
}

// Evacuated reports whether the failure domain is evacuated.
func (n *Node) Evacuated(domain string) bool {
	_, ok := n.evacuations.versions[domain]
	return ok
}

// MissesRemoval reports whether the sender of the set does not know that one of its
// evacuation rows was removed.
func (n *Node) MissesRemoval(set *Evacuations) bool {
	return slices.ContainsFunc(set.Rows, func(row Evacuation) bool {
		return !n.Evacuated(row.Domain) && row.Version <= n.evacuations.complete
	})
}

// EndEvacuation records when the evacuation of a failure domain ended. Its targets
// may have become cold during it.
func (n *Node) EndEvacuation(now time.Time, domain string) {
	n.evacuationEnds[domain] = now
	n.routingChanged = true
}

// warmAfterEvacuation returns when the target is warm if it was cold at the end of
// the last evacuation of its failure domain.
func (n *Node) warmAfterEvacuation(e member.Endpoint, service Service) time.Time {
	end, ok := n.evacuationEnds[e.Domain]
	if warmAt := end.Add(service.ColdStart); ok && warmAt.After(e.Target.WarmAt) {
		return warmAt
	}
	return e.Target.WarmAt
}
