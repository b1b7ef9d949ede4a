package checker_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/caller"
	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/target"
)

func TestChecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "checker")
}

// sent is a request with one attempt per verdict.
func sent(id string, kind caller.Kind, verdicts ...caller.Verdict) caller.Result {
	r := caller.Result{ID: id, Kind: kind, Bytes: 4, Digest: "d4"}
	for _, v := range verdicts {
		r.Attempts = append(r.Attempts, caller.Attempt{Listener: "a:1", VM: "vm1", Verdict: v})
		r.Verdict = v
	}
	return r
}

func phase(p target.Phase, run uint64, id, attempt string) target.Entry {
	return target.Entry{Phase: p, VM: "vm1", Run: run, ID: id, Attempt: attempt}
}

func keyed(run uint64, id, attempt string) target.Entry {
	e := phase(target.Started, run, id, attempt)
	e.Key = id
	return e
}

func ended(run uint64, id, digest string) target.Entry {
	e := phase(target.Ended, run, id, "1")
	e.Status, e.Bytes, e.Digest = 200, 4, digest
	return e
}

func event(kind timeline.Kind, vm string, revision uint64) timeline.Event {
	return timeline.Event{Kind: kind, VM: vm, Revision: revision}
}

type results = []caller.Result
type entries = []target.Entry
type events = []timeline.Event

func check(r results, e entries, ev events, o checker.Options) *checker.Report {
	return checker.Check(&checker.Records{Callers: [][]caller.Result{r}, Targets: [][]target.Entry{e}, Events: [][]timeline.Event{ev}}, o)
}

var _ = DescribeTable("a bad record is caught, and only as what it is",
	func(kind checker.Kind, r results, e entries, ev events) {
		report := check(r, e, ev, checker.Options{})
		Expect(report.Findings).To(HaveLen(1))
		Expect(report.Findings[0].Kind).To(Equal(kind))
	},
	Entry("an answer without a run", checker.Lost,
		results{sent("r1", caller.Upload, caller.Answered)}, entries{}, events{}),
	Entry("a key that ran in two attempts", checker.Doubled,
		results{sent("r1", caller.Once, caller.Unknown, caller.Answered)},
		entries{keyed(1, "r1", "1"), keyed(2, "r1", "2")}, events{}),
	Entry("a key that ran twice, of a caller without a record", checker.Doubled,
		results{}, entries{keyed(1, "r1", "1"), keyed(2, "r1", "1")}, events{}),
	Entry("an upload that a daemon repeated", checker.Doubled,
		results{sent("r1", caller.Upload, caller.Answered)},
		entries{phase(target.Started, 1, "r1", "1"), phase(target.Started, 2, "r1", "1")}, events{}),
	Entry("a connection that ended early", checker.Cut,
		results{sent("r1", caller.Get, caller.Cut)}, entries{phase(target.Started, 1, "r1", "1")}, events{}),
	Entry("a cut attempt before a good one", checker.Cut,
		results{sent("r1", caller.Once, caller.Cut, caller.Answered)}, entries{keyed(1, "r1", "2")}, events{}),
	Entry("a planned stop during a run", checker.Cut,
		results{}, entries{phase(target.Started, 1, "r1", "1"), phase(target.Stopped, 0, "", "")}, events{}),
	Entry("another request's answer", checker.Crossed,
		results{sent("r1", caller.Get, caller.Wrong)}, entries{phase(target.Started, 1, "r1", "1")}, events{}),
	Entry("a body that arrived changed", checker.Crossed,
		results{sent("r1", caller.Upload, caller.Answered)},
		entries{phase(target.Started, 1, "r1", "1"), ended(1, "r1", "other")}, events{}),
	Entry("a run behind a not-run", checker.FalseNotRun,
		results{sent("r1", caller.Get, caller.NotRun)}, entries{phase(target.Started, 1, "r1", "1")}, events{}),
	Entry("a lower revision", checker.Reverted, results{}, entries{}, events{
		event(timeline.DaemonStarted, "vm1", 0),
		event(timeline.RevisionApplied, "vm1", 7), event(timeline.RevisionApplied, "vm1", 6)}),
	Entry("a lower revision after a reordered one", checker.Reverted, results{}, entries{}, events{
		event(timeline.RevisionApplied, "vm1", 7), event(timeline.RevisionApplied, "vm2", 3),
		event(timeline.RevisionApplied, "vm1", 5), event(timeline.RevisionApplied, "vm2", 4)}),
)

var _ = DescribeTable("a good record is passed, so that a finding means something",
	func(r results, e entries, ev events, o checker.Options, tolerated int) {
		report := check(r, e, ev, o)
		Expect(report.Findings).To(BeEmpty())
		Expect(report.Tolerated).To(Equal(tolerated))
	},
	Entry("a repeated lookup", results{sent("r1", caller.Get, caller.Answered)},
		entries{phase(target.Started, 1, "r1", "1"), phase(target.Started, 2, "r1", "1"), ended(2, "r1", "d4")}, events{}, checker.Options{}, 0),
	Entry("a replayed answer of an earlier attempt", results{sent("r1", caller.Once, caller.Unknown, caller.Answered)},
		entries{keyed(1, "r1", "1"), ended(1, "r1", "d4")}, events{}, checker.Options{}, 0),
	Entry("a not-run after an attempt that ran", results{sent("r1", caller.Once, caller.Unknown, caller.NotRun)},
		entries{keyed(1, "r1", "1")}, events{}, checker.Options{}, 0),
	Entry("a run that a crash ended", results{sent("r1", caller.Get, caller.Unknown)},
		entries{phase(target.Started, 1, "r1", "1"), phase(target.Crashed, 1, "r1", "1"), phase(target.Up, 0, "", ""), phase(target.Stopped, 0, "", "")}, events{}, checker.Options{}, 0),
	Entry("a cut through a killed daemon", results{sent("r1", caller.Get, caller.Cut)}, entries{}, events{}, checker.Options{KilledListeners: []string{"a:1"}}, 1),
	Entry("a lower revision of the next process", results{}, entries{}, events{
		event(timeline.RevisionApplied, "vm1", 7), event(timeline.DaemonStarted, "vm1", 0), event(timeline.RevisionApplied, "vm1", 6)}, checker.Options{}, 0),
)

// readTarget reads a target's record with the content.
func readTarget(content string) (*checker.Records, error) {
	path := filepath.Join(GinkgoT().TempDir(), "target.jsonl")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return checker.Read(checker.Files{Targets: []string{path}})
}

var _ = Describe("reading records", func() {
	It("skips a torn last line, which a killed process leaves", func() {
		records, err := readTarget("{\"phase\":\"up\"}\n{\"phase\":\"st")
		Expect(err).NotTo(HaveOccurred())
		Expect(records.Targets).To(HaveExactElements(HaveLen(1)))
	})
	It("refuses a malformed line, so that damaged records do not pass", func() {
		_, err := readTarget("{\"phase\n{\"phase\":\"up\"}\n")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
