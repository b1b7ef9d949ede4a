package mesh_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

var _ = Describe("a row of another writer", func() {
	nested := strings.Repeat("[", 100_000)
	targetRow := func(fields string) string {
		return `{"vm":"vm2","incarnation":1,"sequence":1,"state":"ready","domain":"a","inbound":"10.0.0.3:1","peer":"10.0.0.3:2","service":"order","version":"v1","slots":4,` + fields + `}`
	}
	moveRow := func(fields string) string {
		return `{"order":3,"service":"order","from":"v1","to":"v2","accepted_ms":1,"finish_ms":60001,"epoch":9,` + fields + `}`
	}

	// Guards against a node that panics on such a row, takes it for a target, a version
	// or a move, or stops to apply the rows after it.
	DescribeTable("is refused, and the others hold", func(name, value string) {
		row := rows.Row{Key: rows.Key{Table: mesh.Table, Name: name}, Value: []byte(value), Version: 50}
		next := rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/other"}, Value: []byte(`{"version":"v7"}`), Version: 51}
		n, now := newLeadingNode()
		before := nodeState(GinkgoTB(), n, now)
		failures := n.ApplyChanges(now, []rows.Change{{Row: row}})
		Expect(failures).To(HaveLen(1))
		Expect(fault.Is(failures[0], fault.Invalid)).To(BeTrue(), "%v", failures[0])
		Expect(len(failures[0].Error())).To(BeNumerically("<", 1000), "the log line is bounded")
		Expect(nodeState(GinkgoTB(), n, now)).To(Equal(before))
		Expect(n.ApplyChanges(now, []rows.Change{{Row: row}, {Row: next}})).To(HaveLen(1))
		Expect(nodeState(GinkgoTB(), n, now)).To(ContainSubstring("baseline/other"))
		Expect(n.Reset(now, []rows.Row{row, next})).To(HaveLen(1))
		counter := uint64(100)
		for range 3 {
			now = now.Add(time.Second)
			tick(n, now, &counter)
		}
	},
		Entry("a nested target", "target/vm2", nested),
		Entry("a target with a nested field", "target/vm2", targetRow(`"x":`+nested)),
		Entry("a target that is no JSON", "target/vm2", "\xff\x00"),
		Entry("an empty target", "target/vm2", ""),
		Entry("no incarnation", "target/vm2", strings.Replace(targetRow(`"x":1`), `"incarnation":1,`, "", 1)),
		Entry("no sequence", "target/vm2", strings.Replace(targetRow(`"x":1`), `"sequence":1,`, "", 1)),
		Entry("no domain", "target/vm2", strings.Replace(targetRow(`"x":1`), `"domain":"a",`, "", 1)),
		Entry("no peer", "target/vm2", strings.Replace(targetRow(`"x":1`), `"peer":"10.0.0.3:2",`, "", 1)),
		Entry("no slots", "target/vm2", strings.Replace(targetRow(`"x":1`), `"slots":4,`, "", 1)),
		Entry("no version", "target/vm2", strings.Replace(targetRow(`"x":1`), `"version":"v1",`, "", 1)),
		Entry("a port out of range", "target/vm2", targetRow(`"inbound":"10.0.0.3:65536"`)),
		Entry("a port of zero", "target/vm2", targetRow(`"inbound":"10.0.0.3:0"`)),
		Entry("a negative port", "target/vm2", targetRow(`"inbound":"10.0.0.3:-1"`)),
		Entry("no port", "target/vm2", targetRow(`"inbound":"10.0.0.3"`)),
		Entry("a host with a space", "target/vm2", targetRow(`"inbound":"10.0.0. 3:1"`)),
		Entry("a peer's port out of range", "target/vm2", targetRow(`"peer":"10.0.0.3:99999"`)),
		Entry("too many slots", "target/vm2", targetRow(`"slots":4097`)),
		Entry("slots beyond the type", "target/vm2", targetRow(`"slots":4294967296`)),
		Entry("negative slots", "target/vm2", targetRow(`"slots":-1`)),
		Entry("a number beyond all types", "target/vm2", targetRow(`"cold_ms":1e400`)),
		Entry("a time that overflows", "target/vm2", targetRow(`"cold_ms":9223372036854775807`)),
		Entry("the highest incarnation", "target/vm2", targetRow(`"incarnation":18446744073709551615`)),
		Entry("the highest sequence", "target/vm2", targetRow(`"sequence":18446744073709551615`)),
		Entry("an era that versions cannot hold", "target/vm2", targetRow(`"era":16777216`)),
		Entry("the highest link rate", "target/vm2", targetRow(`"link_rate":18446744073709551615`)),
		Entry("an unknown state", "target/vm2", targetRow(`"state":"odd"`)),
		Entry("a state of another type", "target/vm2", targetRow(`"state":{"ready":true}`)),
		Entry("a long name", "target/vm2", targetRow(`"version":"`+strings.Repeat("v", 60_000)+`"`)),
		Entry("a nested baseline", "baseline/order", nested),
		Entry("an empty baseline", "baseline/order", `{}`),
		Entry("a baseline with a number", "baseline/order", `{"version":1}`),
		Entry("a baseline of a late era", "baseline/order", `{"version":"v1","era":18446744073709551615}`),
		Entry("a nested move", "move/order", nested),
		Entry("an empty move", "move/order", `{}`),
		Entry("a move without versions", "move/order", moveRow(`"from":""`)),
		Entry("a move with the highest epoch", "move/order", moveRow(`"epoch":18446744073709551615`)),
		Entry("a move beyond all traffic", "move/order", moveRow(`"permille":1001`)),
		Entry("a move whose end overflows", "move/order", moveRow(`"finish_ms":9223372036854775807`)),
		Entry("a move of an unknown result", "move/order", moveRow(`"result":"odd"`)),
		Entry("a nested crash count", "crash/7", nested),
		Entry("a crash count beyond the type", "crash/7", `{"count":4294967296}`),
		Entry("an unknown name", "odd/1", `{}`),
	)
})
