package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
)

// drawEndpoint draws a complete or a partial entry.
func drawEndpoint(t *rapid.T) member.Endpoint {
	text := rapid.StringN(0, 12, 40)
	e := member.Endpoint{
		VM: text.Draw(t, "vm"), Domain: text.Draw(t, "domain"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Sequence: rapid.Uint64().Draw(t, "sequence"), DescriptionSequence: rapid.Uint64().Draw(t, "described"),
		State: member.State(rapid.IntRange(1, 4).Draw(t, "state")),
	}
	if !rapid.Bool().Draw(t, "described") {
		return e
	}
	e.PeerAddress = "10.0.0.1:" + text.Draw(t, "peer")
	e.InboundAddress, e.AdminAddress, e.Region = text.Draw(t, "inbound"), text.Draw(t, "admin"), text.Draw(t, "region")
	e.Target = member.Target{Service: text.Draw(t, "service"), Version: text.Draw(t, "version"), Slots: rapid.Uint32().Draw(t, "slots"), Connections: rapid.Uint32().Draw(t, "connections")}
	if rapid.Bool().Draw(t, "started") {
		e.Target.Started = time.UnixMilli(rapid.Int64().Draw(t, "ms")).UTC()
	}
	return e
}

// Guards against a column that is encoded and decoded differently, which would
// give proxies wrong addresses or versions.
func TestBatchIsDecodedAsItWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfN(rapid.StringN(0, 12, 40), 0, 5)
		batch := &member.Batch{
			ClaimsSubtree: rapid.Bool().Draw(t, "claim"), Sync: rapid.Bool().Draw(t, "sync"),
			ComparedDomains: names.Draw(t, "compared"), WantedDescriptions: names.Draw(t, "wanted"),
			Entries: rapid.SliceOfN(rapid.Custom(drawEndpoint), 0, 20).Draw(t, "entries"),
		}
		decoded, err := member.DecodeBatch(batch.Encode())
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fmt.Sprintf("%+v", *decoded)).To(Equal(fmt.Sprintf("%+v", *batch)))
	})
}

// Guards against a peer that crashes a daemon, or makes it allocate without
// bound, by a malformed batch.
func TestMalformedBatchIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := &member.Batch{Entries: rapid.SliceOfN(rapid.Custom(drawEndpoint), 1, 8).Draw(t, "entries")}
		encoded := batch.Encode()
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			encoded[rapid.IntRange(0, len(encoded)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		encoded = encoded[:rapid.IntRange(0, len(encoded)).Draw(t, "length")]
		if _, err := member.DecodeBatch(encoded); err != nil {
			NewWithT(t).Expect(fault.KindOf(err)).To(Equal(fault.Protocol))
		}
	})
	random := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		input := make([]byte, random.IntN(64))
		for i := range input {
			input[i] = byte(random.Uint32())
		}
		_, _ = member.DecodeBatch(input)
	}
}

// Guards against a table of the design size (490 entries) that uses more than a
// third of a new member's goal for its busiest minute (512 B/s), and against
// updates that repeat addresses which the receivers already hold.
func TestTableOfTheDesignSizeIsSmall(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	table, update := &member.Batch{Sync: true}, &member.Batch{}
	for i := range 490 {
		started := start.Add(-time.Duration(random.Int64N(int64(72 * time.Hour))))
		address := func(port int) string { return fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250, port) }
		table.Entries = append(table.Entries, member.Endpoint{
			VM: fmt.Sprintf("vm-%03d", i), Domain: fmt.Sprintf("domain-%d", i%7), Region: fmt.Sprintf("region-%d", i%7/4),
			Incarnation: uint64(started.UnixMicro()), Sequence: 3, DescriptionSequence: 3, State: member.Ready,
			PeerAddress: address(7001), InboundAddress: address(7002), AdminAddress: address(7003),
			Target: member.Target{Service: fmt.Sprintf("service-%02d", i%86), Version: "v1", Slots: 10, Connections: 120, Started: started.Add(time.Duration(random.Int64N(int64(2 * time.Second))))},
		})
	}
	update.Entries = append(update.Entries, table.Entries[77].WithoutDescription())
	t.Log("table", len(table.Encode()), "B, update of one entry", len(update.Encode()), "B")
	g.Expect(len(table.Encode())).To(BeNumerically("<=", 490*17))
	g.Expect(len(update.Encode())).To(BeNumerically("<=", 36))
}
