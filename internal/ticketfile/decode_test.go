package ticketfile_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
)

const fullTicket = `{
  "number": 12, "note": "order service to v2",
  "services": [{"name": "order", "versions": ["v2", "v1"], "shares": {"v2": 100, "v1": 0}}],
  "routes": [{"name": "place", "host": "lipa.example", "path_prefix": "/reorders", "service": "order",
    "class": "urgent", "once": true, "timeout": "5s"}],
  "remove_routes": ["old"], "remove_services": ["unused"],
  "moves": [{"service": "order", "finish": "2026-12-04T12:00:00.5+01:00", "prefer": "careful"}],
  "supersedes": 11
}`

const servicesField = `"services":[{"name":"s","versions":["v"],"shares":{"v":100}}]`

var acceptedAt = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

var _ = Describe("Decode", func() {
	It("reads every field, and the encoded ticket decodes to the same digest", func() {
		t, err := ticketfile.Decode([]byte(fullTicket), ticketfile.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(*t).To(Equal(model.Ticket{
			Number: 12, Note: "order service to v2", Supersedes: 11,
			Services: []model.Service{{Name: "order", Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v1": 0, "v2": 100}}},
			Routes: []model.Route{{
				Name: "place", Host: "lipa.example", PathPrefix: "/reorders", Service: "order",
				Class: model.Urgent, Once: true, Timeout: 5 * time.Second,
			}},
			RemoveRoutes: []string{"old"}, RemoveServices: []string{"unused"},
			Moves: []model.Move{{Service: "order", Prefer: model.Careful, Finish: time.Date(2026, 12, 4, 11, 0, 0, 5e8, time.UTC)}},
		}))
		encoded, err := ticketfile.Encode(t)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := ticketfile.Decode(encoded, ticketfile.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(digestOf(decoded)).To(Equal(digestOf(t)))
	})

	It("resolves a relative finish time only when the time of acceptance is given", func() {
		text := []byte(`{"number":1,` + servicesField + `,"moves":[{"service":"s","finish":"+90s"}]}`)
		Expect(ticketfile.HasRelativeFinish(text)).To(BeTrue())
		Expect(ticketfile.HasRelativeFinish([]byte(fullTicket))).To(BeFalse())
		t, err := ticketfile.Decode(text, ticketfile.Options{Accepted: acceptedAt})
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Moves[0]).To(Equal(model.Move{Service: "s", Finish: acceptedAt.Add(90 * time.Second), Prefer: model.OnTime}))
		_, err = ticketfile.Decode(text, ticketfile.Options{})
		Expect(fault.As(err).Details).To(ConsistOf("$.moves[0].finish: a relative time must be resolved before the ticket is sent"))
	})

	It("reports every error in the file with its path", func() {
		text := `{"number":0,"nr":1,"services":[{"name":"","versions":"v","shares":{"v":101}}],
			"routes":[{"name":"r","path_prefix":"x","service":"s","class":"fast","timeout":"5","timeout":"0s"}],"moves":[{"prefer":1}]}`
		_, err := ticketfile.Decode([]byte(text), ticketfile.Options{})
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		Expect(fault.As(err).Details).To(ConsistOf(
			HavePrefix("$.number:"), "$.nr: unknown field", HavePrefix("$.services[0].name:"), HavePrefix("$.services[0].versions:"),
			HavePrefix("$.services[0].shares.v:"), HavePrefix("$.routes[0].path_prefix:"), HavePrefix("$.routes[0].class:"),
			"$.routes[0].timeout: the key is given twice", HavePrefix("$.routes[0].timeout:"), HavePrefix("$.routes[0].timeout:"),
			"$.moves[0].service: missing", "$.moves[0].finish: missing", HavePrefix("$.moves[0].prefer:"),
		))
	})

	It("refuses to encode a ticket that a daemon would reject for its size", func() {
		_, err := ticketfile.Compact(&model.Ticket{Number: 1, Note: strings.Repeat("x", model.MaxTicketBytes)})
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})

	DescribeTable("rejects bad input",
		func(text, finding string) {
			_, err := ticketfile.Decode([]byte(text), ticketfile.Options{Accepted: acceptedAt})
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
			Expect(fault.As(err).Details).To(ConsistOf(ContainSubstring(finding)))
		},
		Entry("an empty file", "", "unexpected end"),
		Entry("a value that is not an object", "[]", "$: an object is expected"),
		Entry("null", "null", "$: an object is expected"),
		Entry("a syntax error, reported with its line", "{\n\"number\": 1,\n}", "line 3"),
		Entry("trailing data", `{"number":1} {}`, "after top-level value"),
		Entry("a duplicate key, which encoding/json accepts", `{"number":1,"number":2}`, "$.number: the key is given twice"),
		Entry("a field name in another letter case, which encoding/json accepts", `{"number":1,"Note":"x"}`, `$["Note"]: unknown field`),
		Entry("invalid UTF-8", "{\"number\":1,\"note\":\"\xff\"}", "not valid UTF-8"),
		Entry("a number with a fraction", `{"number":1.0}`, "$.number"),
		Entry("a number beyond 64 bits", `{"number":18446744073709551616}`, "$.number"),
		Entry("a negative share", `{"number":1,"services":[{"name":"s","versions":["v"],"shares":{"v":-1}}]}`, "$.services[0].shares.v"),
		Entry("shares that do not sum to 100", `{"number":1,"services":[{"name":"s","versions":["v"],"shares":{"v":99}}]}`, "sum to 99"),
		Entry("a share of an unlisted version", `{"number":1,"services":[{"name":"s","versions":["v"],"shares":{"v":100,"w":0}}]}`, "$.services[0].shares.w"),
		Entry("deep nesting", `{"number":1,"note":`+strings.Repeat("[", 50)+strings.Repeat("]", 50)+`}`, "nested deeper"),
		Entry("an oversized file", `{"number":1,"note":"`+strings.Repeat("x", model.MaxTicketBytes)+`"}`, "at most 262144 are allowed"),
		Entry("a finish time without a time zone", `{"number":1,"moves":[{"service":"s","finish":"2026-12-04T10:00:00"}]}`, "RFC 3339"),
		Entry("a finish time before 1970", `{"number":1,"moves":[{"service":"s","finish":"1926-12-04T10:00:00Z"}]}`, "RFC 3339"),
		Entry("a relative finish time without a unit", `{"number":1,"moves":[{"service":"s","finish":"+90"}]}`, "relative time"),
		Entry("a negative relative finish time", `{"number":1,"moves":[{"service":"s","finish":"+-90s"}]}`, "relative time"),
		Entry("a relative finish time beyond the limit of 30 days", `{"number":1,"moves":[{"service":"s","finish":"+99999h"}]}`, "relative time"),
		Entry("a timeout that is not in whole milliseconds", `{"number":1,"routes":[{"name":"r","path_prefix":"/","service":"s","timeout":"1us"}]}`, "$.routes[0].timeout"),
		Entry("a route both once and idempotent", `{"number":1,"routes":[{"name":"r","path_prefix":"/","service":"s","once":true,"idempotent":true}]}`, "either idempotent or once"),
		Entry("a string in place of a boolean", `{"number":1,"routes":[{"name":"r","path_prefix":"/","service":"s","once":"true"}]}`, "$.routes[0].once"),
		Entry("a list with more items than allowed", fmt.Sprintf(`{"number":1,"remove_routes":["x"%s]}`, strings.Repeat(`,"x"`, model.MaxTicketObjects)), "$.remove_routes: 513 items"),
	)
})

func digestOf(t *model.Ticket) string {
	d, err := ticketfile.Digest(t)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return d
}

// FuzzDecode guards against files that crash a daemon, and against tickets whose
// digest changes when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(fullTicket))
	f.Add([]byte(`{"number":1,` + servicesField + `,"moves":[{"service":"s","finish":"+90s"}]}`))
	f.Add([]byte(`{"number":1,"note":"\ud800","remove_services":["a"]}`))
	f.Add([]byte(`{"number":1e3,"services":[{}],"services":null}`))
	f.Add([]byte(`{"number":1,"moves":[{"service":"s","finish":"9999-12-31T23:59:59.9999-23:59"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := ticketfile.Decode(data, ticketfile.Options{Accepted: acceptedAt})
		if err != nil {
			if len(fault.As(err).Details) == 0 {
				t.Fatalf("Decode failed without findings: %v", err)
			}
			return
		}
		encoded, err := ticketfile.Encode(ticket)
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > model.MaxTicketBytes {
			return
		}
		decoded, err := ticketfile.Decode(encoded, ticketfile.Options{})
		if err != nil {
			t.Fatalf("decode of the encoded ticket %s: %v", encoded, err)
		}
		before, _ := ticketfile.Digest(ticket)
		after, _ := ticketfile.Digest(decoded)
		if before != after {
			t.Fatalf("digest changed after encoding and decoding: %s", encoded)
		}
	})
}
