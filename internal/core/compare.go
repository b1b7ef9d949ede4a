package core

import (
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/peer"
)

// When a link comes up, the two daemons make their endpoint tables equal. The
// child sends a digest of each failure domain. The parent answers with all its
// entries of the domains that differ: short ones if the child knows the
// domain. The child then sends back what it knows better, and each side asks
// for the descriptions that it lacks. A newcomer gets the table once, and
// nothing else crosses the link.

// endpointsPerFrame keeps a frame of endpoints well below the frame limit. The
// entries of one failure domain are never split.
const endpointsPerFrame = 1000

// helloDigests returns the digests for a Hello; none for a node that knows
// only itself, which tells the parent to send the whole table.
func (n *Node) helloDigests() map[string]uint64 {
	if n.members.Len() <= 1 {
		return nil
	}
	return n.members.Digests()
}

// sendTable sends a new child the failure domains whose digest differs.
func (n *Node) sendTable(id peer.LinkID, theirs map[string]uint64) {
	byDomain := map[string][]member.Endpoint{}
	for _, e := range n.members.All() {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	for domain := range theirs {
		if _, known := byDomain[domain]; !known {
			byDomain[domain] = nil
		}
	}
	ours := n.members.Digests()
	batch := &member.Batch{Sync: true}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		digest, known := theirs[domain]
		if known && digest == ours[domain] {
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
	theirs := make(map[string]*member.Endpoint, len(b.Entries))
	for i := range b.Entries {
		theirs[b.Entries[i].VM] = &b.Entries[i]
	}
	answer := &member.Batch{Sync: true}
	for _, e := range n.notBelow(b.ComparedDomains) {
		known := theirs[e.VM]
		switch {
		case known == nil:
			answer.Entries = append(answer.Entries, e.ForTransfer())
		case e.Newer(known):
			answer.Entries = append(answer.Entries, e.WithoutDescription())
		}
	}
	n.sendBatch(id, answer)
}

// notBelow returns the entries of the failure domains, without those of this
// node and its subtree.
func (n *Node) notBelow(domains []string) []member.Endpoint {
	return slices.DeleteFunc(n.members.All(), func(e member.Endpoint) bool {
		return n.tree.below(e.VM) || e.VM == n.cfg.VM || !slices.Contains(domains, e.Domain)
	})
}

// sendChangedSince sends a new parent the failure domains that changed while
// it answered the Hello, since it compared with what was known before.
func (n *Node) sendChangedSince(id peer.LinkID, hello map[string]uint64) {
	var changed []string
	for domain, digest := range n.members.Digests() {
		if before, known := hello[domain]; len(hello) > 0 && (!known || before != digest) {
			changed = append(changed, domain)
		}
	}
	batch := &member.Batch{Sync: true}
	for _, e := range n.notBelow(changed) {
		batch.Entries = append(batch.Entries, e.WithoutDescription())
	}
	n.sendBatch(id, batch)
}

// sendWanted answers a neighbor that lacks descriptions.
func (n *Node) sendWanted(id peer.LinkID, wanted []string) {
	answer := &member.Batch{Sync: true}
	for _, vm := range wanted {
		if e, ok := n.members.Get(vm); ok {
			answer.Entries = append(answer.Entries, e.ForTransfer())
		}
	}
	n.sendBatch(id, answer)
}
