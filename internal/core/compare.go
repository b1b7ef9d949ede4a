package core

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// When a link comes up, the two daemons reconcile their endpoint tables. The
// child sends a digest of each failure domain. The parent responds with all its
// entries of the domains that differ, in short form if the child's table
// contains the domain. The child then sends back its newer entries, and each
// side requests the descriptions that it lacks. A new daemon receives the table
// once, and nothing else is sent on the link.

// endpointsPerFrame is the number of entries at which a frame is sent, which
// keeps it well below the frame size limit. The entries of one failure domain
// are never split.
const endpointsPerFrame = 1000

// helloDigests returns the digests for a Hello. It returns none if the table
// contains only this node, which makes the parent send the whole table.
func (n *Node) helloDigests() map[string]uint64 {
	if n.members.Len() <= 1 {
		return nil
	}
	return n.members.Digests()
}

// sendTable sends a new child the failure domains whose digest differs.
func (n *Node) sendTable(id peer.LinkID, childDigests map[string]uint64) {
	byDomain := map[string][]member.Endpoint{}
	for _, e := range n.members.All() {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	for domain := range childDigests {
		if _, known := byDomain[domain]; !known {
			byDomain[domain] = nil
		}
	}
	ownDigests := n.members.Digests()
	batch := &member.Batch{Sync: true}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		digest, known := childDigests[domain]
		if known && digest == ownDigests[domain] {
			continue
		}
		batch.ComparedDomains = append(batch.ComparedDomains, domain)
		for _, e := range byDomain[domain] {
			if known {
				batch.Entries = append(batch.Entries, e.WithoutDescription())
			} else {
				batch.Entries = append(batch.Entries, e.ForTransfer())
			}
		}
		if len(batch.Entries) >= endpointsPerFrame {
			n.sendBatch(id, batch)
			batch = &member.Batch{Sync: true}
		}
	}
	n.sendBatch(id, batch)
}

// answerComparison sends the parent the entries that it lacks or that are
// newer here. The members of this subtree have been claimed already.
func (n *Node) answerComparison(id peer.LinkID, b *member.Batch) {
	if p := n.tree.parent; len(b.ComparedDomains) == 0 || p == nil || p.id != id {
		return
	}
	parentEntries := make(map[string]*member.Endpoint, len(b.Entries))
	for i := range b.Entries {
		parentEntries[b.Entries[i].VM] = &b.Entries[i]
	}
	answer := &member.Batch{Sync: true}
	for _, e := range n.outsideSubtree(b.ComparedDomains) {
		known := parentEntries[e.VM]
		switch {
		case known == nil:
			answer.Entries = append(answer.Entries, e.ForTransfer())
		case e.Newer(known):
			answer.Entries = append(answer.Entries, e.WithoutDescription())
		}
	}
	n.sendBatch(id, answer)
}

// outsideSubtree returns the entries of the failure domains, without those of
// this node and its subtree.
func (n *Node) outsideSubtree(domains []string) []member.Endpoint {
	return slices.DeleteFunc(n.members.All(), func(e member.Endpoint) bool {
		return n.tree.inSubtree(e.VM) || e.VM == n.cfg.VM || !slices.Contains(domains, e.Domain)
	})
}

// sendChangedSince sends a new parent the failure domains that changed since
// the Hello, because the parent's response is based on the digests of the
// Hello.
func (n *Node) sendChangedSince(id peer.LinkID, helloDigests map[string]uint64) {
	var changed []string
	for domain, digest := range n.members.Digests() {
		if before, known := helloDigests[domain]; len(helloDigests) > 0 && (!known || before != digest) {
			changed = append(changed, domain)
		}
	}
	batch := &member.Batch{Sync: true}
	for _, e := range n.outsideSubtree(changed) {
		batch.Entries = append(batch.Entries, e.WithoutDescription())
	}
	n.sendBatch(id, batch)
}

// sendWanted sends a neighbor the descriptions that it requested.
func (n *Node) sendWanted(id peer.LinkID, wanted []string) {
	answer := &member.Batch{Sync: true}
	for _, vm := range wanted {
		if e, ok := n.members.Get(vm); ok {
			answer.Entries = append(answer.Entries, e.ForTransfer())
		}
	}
	n.sendBatch(id, answer)
}
