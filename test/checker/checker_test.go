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

// resultWithVerdicts returns the result of a request with one attempt per verdict.
func resultWithVerdicts(id string, kind caller.Kind, verdicts ...caller.Verdict) caller.Result {
	r := caller.Result{ID: id, Kind: kind, Bytes: 4, Digest: "d4"}
	for _, v := range verdicts {
		r.Attempts = append(r.Attempts, caller.Attempt{Listener: "a:1", VM: "vm1", Verdict: v})
		r.Verdict = v
	}
	return r
}

func targetEntry(p target.Phase, run uint64, id, attempt string) target.Entry {
	return target.Entry{Phase: p, VM: "vm1", Run: run, ID: id, Attempt: attempt}
}

func startWithKey(run uint64, id, attempt string) target.Entry {
	e := targetEntry(target.PhaseRunStarted, run, id, attempt)
	e.Key = id
	return e
}

func endWithDigest(run uint64, id, digest string) target.Entry {
	e := targetEntry(target.PhaseRunEnded, run, id, "1")
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

var _ = DescribeTable("reports a violation of a request or revision invariant as exactly one finding of its kind",
	func(kind checker.Kind, r results, e entries, ev events) {
		report := check(r, e, ev, checker.Options{})
		Expect(report.Findings).To(HaveLen(1))
		Expect(report.Findings[0].Kind).To(Equal(kind))
	},
	Entry("answered request that no target ran", checker.Lost,
		results{resultWithVerdicts("r1", caller.Upload, caller.Answered)}, entries{}, events{}),
	Entry("idempotency key that ran in two attempts", checker.Doubled,
		results{resultWithVerdicts("r1", caller.Once, caller.Unknown, caller.Answered)},
		entries{startWithKey(1, "r1", "1"), startWithKey(2, "r1", "2")}, events{}),
	Entry("idempotency key that ran twice, without a caller's record", checker.Doubled,
		results{}, entries{startWithKey(1, "r1", "1"), startWithKey(2, "r1", "1")}, events{}),
	Entry("upload that a daemon sent twice", checker.Doubled,
		results{resultWithVerdicts("r1", caller.Upload, caller.Answered)},
		entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1"), targetEntry(target.PhaseRunStarted, 2, "r1", "1")}, events{}),
	Entry("connection that ended early", checker.Cut,
		results{resultWithVerdicts("r1", caller.Get, caller.Cut)}, entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1")}, events{}),
	Entry("cut attempt before an answered one", checker.Cut,
		results{resultWithVerdicts("r1", caller.Once, caller.Cut, caller.Answered)}, entries{startWithKey(1, "r1", "2")}, events{}),
	Entry("planned stop of the target during a run", checker.Cut,
		results{}, entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1"), targetEntry(target.PhaseStopped, 0, "", "")}, events{}),
	Entry("response to another request", checker.Crossed,
		results{resultWithVerdicts("r1", caller.Get, caller.Wrong)}, entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1")}, events{}),
	Entry("request body that changed on its way to the target", checker.Crossed,
		results{resultWithVerdicts("r1", caller.Upload, caller.Answered)},
		entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1"), endWithDigest(1, "r1", "other")}, events{}),
	Entry("run of an attempt with the outcome not-run", checker.FalseNotRun,
		results{resultWithVerdicts("r1", caller.Get, caller.NotRun)}, entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1")}, events{}),
	Entry("lower revision", checker.Reverted, results{}, entries{}, events{
		event(timeline.DaemonStarted, "vm1", 0),
		event(timeline.RevisionApplied, "vm1", 7), event(timeline.RevisionApplied, "vm1", 6)}),
	Entry("lower revision of one VM among rising revisions of another", checker.Reverted, results{}, entries{}, events{
		event(timeline.RevisionApplied, "vm1", 7), event(timeline.RevisionApplied, "vm2", 3),
		event(timeline.RevisionApplied, "vm1", 5), event(timeline.RevisionApplied, "vm2", 4)}),
)

var _ = DescribeTable("reports no finding if the request and revision invariants hold",
	func(r results, e entries, ev events, o checker.Options, tolerated int) {
		report := check(r, e, ev, o)
		Expect(report.Findings).To(BeEmpty())
		Expect(report.Tolerated).To(Equal(tolerated))
	},
	Entry("lookup that ran twice", results{resultWithVerdicts("r1", caller.Get, caller.Answered)},
		entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1"), targetEntry(target.PhaseRunStarted, 2, "r1", "1"), endWithDigest(2, "r1", "d4")}, events{}, checker.Options{}, 0),
	Entry("replayed response to an earlier attempt", results{resultWithVerdicts("r1", caller.Once, caller.Unknown, caller.Answered)},
		entries{startWithKey(1, "r1", "1"), endWithDigest(1, "r1", "d4")}, events{}, checker.Options{}, 0),
	Entry("not-run after an attempt that ran", results{resultWithVerdicts("r1", caller.Once, caller.Unknown, caller.NotRun)},
		entries{startWithKey(1, "r1", "1")}, events{}, checker.Options{}, 0),
	Entry("run that a crash of the target ended", results{resultWithVerdicts("r1", caller.Get, caller.Unknown)},
		entries{targetEntry(target.PhaseRunStarted, 1, "r1", "1"), targetEntry(target.PhaseCrashed, 1, "r1", "1"), targetEntry(target.PhaseUp, 0, "", ""), targetEntry(target.PhaseStopped, 0, "", "")}, events{}, checker.Options{}, 0),
	Entry("cut attempt through a killed daemon", results{resultWithVerdicts("r1", caller.Get, caller.Cut)}, entries{}, events{}, checker.Options{KilledListeners: []string{"a:1"}}, 1),
	Entry("lower revision of the next process that is not ready yet", results{}, entries{}, events{
		event(timeline.RevisionApplied, "vm1", 7), event(timeline.DaemonStarted, "vm1", 0), event(timeline.RevisionApplied, "vm1", 6)}, checker.Options{}, 0),
)

// readTarget writes content to a file and reads it as a target's record.
func readTarget(content string) (*checker.Records, error) {
	path := filepath.Join(GinkgoT().TempDir(), "target.jsonl")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return checker.Read(checker.Files{Targets: []string{path}})
}

var _ = Describe("reading records", func() {
	It("skips an incomplete last line, as a killed process leaves it", func() {
		records, err := readTarget("{\"phase\":\"up\"}\n{\"phase\":\"st")
		Expect(err).NotTo(HaveOccurred())
		Expect(records.Targets).To(HaveExactElements(HaveLen(1)))
	})
	It("rejects a malformed line, so that damaged records do not pass the check", func() {
		_, err := readTarget("{\"phase\n{\"phase\":\"up\"}\n")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
