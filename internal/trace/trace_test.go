package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

const header = `{"trace":1,"name":"n","user":"lipa","services":[{"name":"order","old_version":"v1","new_version":"v2","old_targets":8,"new_targets":8,"slots":10,"routes":["lookup","place"]}],"ticket":{"accepted_ms":0,"finish_ms":60000,"prefer":"on-time"},"outcome":"good"}`

// lines contains one line of each kind.
var lines = []string{
	`{"at_ms":0,"kind":"load","service":"order","route":"lookup","load":{"per_second":100}}`,
	`{"at_ms":0,"kind":"behaviour","service":"order","route":"lookup","version":"v2","behaviour":{"p50_ms":1,"p95_ms":2,"p99_ms":3,"errors":0.01,"by_load":[{"at":0,"latency":1,"errors":0},{"at":1,"latency":2,"errors":0.1}],"by_share":[{"at":0.5,"latency":1,"errors":0}]}}`,
	`{"at_ms":10,"kind":"health","service":"order","version":"v2","health":{"healthy":8,"load":0.2,"lag_ms":1000}}`,
	`{"at_ms":20,"kind":"crash","service":"order","route":"place","crash":{"request_key":"k","sent":3,"restart_ms":1000}}`,
	`{"at_ms":30,"kind":"targets","service":"order","version":"v2","targets":{"change":1,"cold_ms":1000,"cold_latency":3}}`,
	`{"at_ms":40,"kind":"outage","outage":{"of":"platform","until_ms":50}}`,
	`{"at_ms":50,"kind":"takeover","takeover":{"gap_ms":4000}}`,
}

func parse(text ...string) (*trace.Trace, error) {
	return trace.Parse("t.jsonl", strings.NewReader(strings.Join(text, "\n")))
}

var _ = Describe("Parse", func() {
	// Guards against fields that are lost in a round trip through Write and Parse.
	It("reads the output of Write", func() {
		first, err := parse(append([]string{header}, lines...)...)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Lines).To(HaveLen(len(lines)))
		var out bytes.Buffer
		Expect(first.Write(&out)).To(Succeed())
		second, err := trace.Parse("again", &out)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	// Guards against malformed traces that are accepted with a different meaning,
	// and against errors that do not identify the line and the field.
	DescribeTable("rejects an invalid line with its number and field",
		func(line, want string) {
			_, err := parse(header, lines[0], line)
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
			Expect(err.Error()).To(ContainSubstring("t.jsonl:3"))
			Expect(err.Error()).To(ContainSubstring(want))
		},
		Entry("blank", ` `, "the line is empty"),
		Entry("no JSON", `{"at_ms":`, "malformed JSON"),
		Entry("unknown field", `{"at_ms":0,"kind":"load","speed":1}`, `unknown field "speed"`),
		Entry("two objects", `{"at_ms":50,"kind":"takeover","takeover":{"gap_ms":4000}}{}`, "text after"),
		Entry("unknown kind", `{"at_ms":0,"kind":"weather"}`, "weather"),
		Entry("no body", `{"at_ms":0,"kind":"load","service":"order","route":"lookup"}`, `requires exactly the field`),
		Entry("two bodies", `{"at_ms":0,"kind":"load","service":"order","route":"lookup","load":{"per_second":1},"takeover":{"gap_ms":1}}`, `requires exactly the field`),
		Entry("negative time", `{"at_ms":-1,"kind":"takeover","takeover":{"gap_ms":1}}`, "at_ms: -1"),
		Entry("unknown service", `{"at_ms":0,"kind":"load","service":"x","route":"lookup","load":{"per_second":1}}`, `no service "x"`),
		Entry("unknown route", `{"at_ms":0,"kind":"load","service":"order","route":"x","load":{"per_second":1}}`, `no route "x"`),
		Entry("unknown version", strings.Replace(lines[1], `"v2"`, `"v9"`, 1), `no version "v9"`),
		Entry("version on a line of kind load", `{"at_ms":0,"kind":"load","service":"order","route":"lookup","version":"v2","load":{"per_second":1}}`, "must not name a version"),
		Entry("service on a line of kind outage", `{"at_ms":0,"kind":"outage","service":"order","outage":{"of":"platform","until_ms":50}}`, "must not name a service"),
		Entry("negative load", `{"at_ms":0,"kind":"load","service":"order","route":"lookup","load":{"per_second":-1}}`, "load.per_second: -1"),
		Entry("decreasing quantiles", strings.Replace(lines[1], `"p95_ms":2`, `"p95_ms":0.5`, 1), "must not decrease"),
		Entry("errors above one", strings.Replace(lines[1], `"errors":0.01`, `"errors":1.5`, 1), "behaviour.errors: 1.5"),
		Entry("curve with unsorted points", strings.Replace(lines[1], `"at":1,`, `"at":0,`, 1), "behaviour.by_load: point 1"),
		Entry("crash without key", strings.Replace(lines[3], `"k"`, `""`, 1), "crash.request_key"),
		Entry("no change of targets", strings.Replace(lines[4], `"change":1`, `"change":0`, 1), "targets.change"),
		Entry("cold target without latency factor", strings.Replace(lines[4], `,"cold_latency":3`, ``, 1), "targets.cold_latency"),
		Entry("outage of an unknown component", strings.Replace(lines[5], `"platform"`, `"moon"`, 1), `outage.of: "moon"`),
		Entry("outage that ends before it starts", strings.Replace(lines[5], `50}`, `5}`, 1), "outage.until_ms"),
		Entry("line that is too long", `{"at_ms":0,"kind":"`+strings.Repeat("x", 70_000), "longer than"),
	)

	// Guards against unsorted lines, which a replay would silently apply too late.
	It("rejects lines that are not in order of time", func() {
		_, err := parse(header, lines[6], lines[0])
		Expect(err).To(MatchError(ContainSubstring("t.jsonl:3: invalid: at_ms: 0 is before 50")))
	})

	DescribeTable("rejects an invalid header",
		func(from, to, want string) {
			_, err := parse(strings.Replace(header, from, to, 1))
			Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
			Expect(err.Error()).To(And(ContainSubstring("t.jsonl:1"), ContainSubstring(want)))
		},
		Entry("unsupported format version", `"trace":1`, `"trace":2`, "version 2 is not supported"),
		Entry("no name", `"name":"n"`, `"name":""`, "name: is missing"),
		Entry("service outcome that contradicts the outcome of the header", `"slots":10`, `"slots":10,"outcome":"bad"`, "does not agree"),
		Entry("unknown outcome of a service", `"slots":10`, `"slots":10,"outcome":"fair"`, `outcome "fair"`),
		Entry("unknown outcome", `"outcome":"good"`, `"outcome":"fair"`, `outcome: "fair"`),
		Entry("identical versions", `"v2"`, `"v1"`, "two different names"),
		Entry("duplicate route", `"place"`, `"lookup"`, "route names must be different"),
		Entry("no slots", `"slots":10`, `"slots":0`, "slots: 0"),
		Entry("unknown preference", `"on-time"`, `"soon"`, `ticket.prefer: "soon"`),
	)

	It("returns Invalid for an empty file and NotFound for a missing one", func() {
		_, err := parse("")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
		_, err = trace.ReadFile(filepath.Join(GinkgoT().TempDir(), "none"))
		Expect(fault.KindOf(err)).To(Equal(fault.NotFound))
	})
})

// FuzzParse guards against panics, against errors without a fault kind, and
// against accepted traces that cannot be written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(header + "\n" + strings.Join(lines, "\n")))
	f.Add([]byte(header))
	f.Add([]byte("{}"))
	f.Add([]byte(header + "\n" + `{"at_ms":1e3,"kind":"load"}`))
	files, _ := filepath.Glob("../../testdata/traces/*/mandate-good-idle.jsonl")
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := trace.Parse("fuzz", bytes.NewReader(text))
		if err != nil {
			if fault.As(err) == nil {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		var out bytes.Buffer
		if err := parsed.Write(&out); err != nil {
			t.Fatalf("write: %v", err)
		}
		if _, err := trace.Parse("again", &out); err != nil {
			t.Fatalf("read again: %v", err)
		}
	})
}
