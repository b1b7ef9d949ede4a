package member_test

import (
	"reflect"
	"testing"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
)

// FuzzDecodeBatch guards against a peer's frame that crashes the daemon, and
// against a batch that changes when it is decoded and encoded again.
func FuzzDecodeBatch(f *testing.F) {
	ready := member.Endpoint{VM: "vm-1", Domain: "a", Incarnation: 7, Sequence: 2, DescriptionSequence: 1, State: member.Ready, PeerAddress: "10.0.0.1:7001"}
	lost := member.Endpoint{VM: "vm-2", Domain: "b", Incarnation: 8, Sequence: 3, State: member.Lost}
	f.Add((&member.Batch{Entries: []member.Endpoint{ready, lost}, ClaimsSubtree: true}).Encode())
	f.Add((&member.Batch{Entries: []member.Endpoint{lost.WithoutDescription()}, Sync: true, ComparedDomains: []string{"a", "b"}, WantedDescriptions: []string{"vm-1"}}).Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		b, err := member.DecodeBatch(encoded)
		if err != nil {
			if fault.KindOf(err) != fault.Protocol {
				t.Fatalf("kind %q of %v", fault.KindOf(err), err)
			}
			return
		}
		again, err := member.DecodeBatch(b.Encode())
		if err != nil || !reflect.DeepEqual(again, b) {
			t.Fatalf("encoded again as %+v instead of %+v: %v", again, b, err)
		}
	})
}
