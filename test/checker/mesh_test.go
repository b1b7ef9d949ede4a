package checker_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// recordsStart is the time origin of the records in the tests.
var recordsStart = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func atSecond(n float64) time.Time { return recordsStart.Add(time.Duration(n * float64(time.Second))) }

func eventAt(s float64, kind timeline.Kind, vm string, ticket, revision uint64, detail string) timeline.Event {
	return timeline.Event{At: atSecond(s), Kind: kind, VM: vm, Ticket: ticket, Revision: revision, Detail: detail}
}

func revisionApplied(s float64, vm string, revision uint64) timeline.Event {
	return eventAt(s, timeline.RevisionApplied, vm, 0, revision, "")
}

func takeBackApplied(s float64, vm string) timeline.Event {
	return eventAt(s, timeline.RevisionApplied, vm, 2, 3, "taken-back")
}

func acceptance(s float64, number uint64, digest string) checker.Acceptance {
	return checker.Acceptance{Number: number, Revision: number, Digest: digest, At: atSecond(s)}
}

func startEntry(s float64, service, version string) target.Entry {
	return target.Entry{Phase: target.PhaseRunStarted, VM: "vm1", Service: service, Version: version, Start: atSecond(s)}
}

func leavingEntry(s float64) target.Entry {
	return target.Entry{Phase: target.PhaseWithdrawn, VM: "vm1", Start: atSecond(s)}
}

// incompleteEnd returns the end entry of a run whose request body was incomplete.
func incompleteEnd(s float64) target.Entry {
	return target.Entry{Phase: target.PhaseRunEnded, VM: "vm1", Start: atSecond(0), End: atSecond(s)}
}

func crashEntry(path string) target.Entry {
	return target.Entry{Phase: target.PhaseCrashed, Path: path}
}

func startsOf(version string, n int) entries {
	var all entries
	for range n {
		all = append(all, startEntry(1, "order", version))
	}
	return all
}

type acceptances = []checker.Acceptance

func checkMesh(o acceptances, e entries, ev events, options checker.Options) *checker.Report {
	return checker.Check(&checker.Records{Operators: []acceptances{o}, Targets: []entries{e}, Events: []events{ev}}, options)
}

// bothVMsConnected requires both VMs to apply accepted tickets within ten seconds.
var bothVMsConnected = checker.Options{ConnectedVMs: []string{"vm1", "vm2"}, ApplyLimit: 10 * time.Second}

// withOutage returns bothVMsConnected with an outage of vm2. The times are in seconds.
func withOutage(from, to float64) checker.Options {
	o := bothVMsConnected
	o.Outages = []checker.Outage{{VM: "vm2", From: atSecond(from), To: atSecond(to)}}
	return o
}

// withPlannedStop returns options with a planned stop of vm1. The times are in seconds; an
// until of 0 means that the VM does not return.
func withPlannedStop(at, until float64) checker.Options {
	d := checker.PlannedStop{VM: "vm1", At: atSecond(at)}
	if until > 0 {
		d.RestartedAt = atSecond(until)
	}
	return checker.Options{DrainNoticeLimit: 4 * time.Second, PlannedStops: []checker.PlannedStop{d}}
}

var badV2 = checker.Options{BadVersions: []checker.BadVersion{{
	Ticket: 2, Version: "v2", Services: []string{"order", "mandate"}, MaxShare: 0.1, From: atSecond(0),
}}}

var plannedStopWholeRuns = checker.Options{PlannedStops: []checker.PlannedStop{{VM: "vm1", At: atSecond(1), ExpectCompleteRuns: true}}}

var drainNoticeLimit = checker.Options{DrainNoticeLimit: 4 * time.Second}

var _ = DescribeTable("reports a violation by daemons or versions as exactly one finding of its kind",
	func(kind checker.Kind, o acceptances, e entries, ev events, options checker.Options) {
		report := checkMesh(o, e, ev, options)
		Expect(report.Findings).To(HaveLen(1))
		Expect(report.Findings[0].Kind).To(Equal(kind))
	},
	Entry("two tickets with the same number", checker.Conflict,
		acceptances{acceptance(0, 1, "a"), acceptance(0, 1, "b")}, entries{}, events{}, checker.Options{}),
	Entry("daemon that did not apply an accepted ticket", checker.Missing,
		acceptances{acceptance(0, 1, "a")}, entries{}, events{revisionApplied(1, "vm1", 1)}, bothVMsConnected),
	Entry("restarted daemon that lost an accepted ticket", checker.Missing,
		acceptances{acceptance(0, 1, "a")}, entries{},
		events{revisionApplied(1, "vm1", 1), revisionApplied(1, "vm2", 1), eventAt(2, timeline.DaemonStarted, "vm2", 0, 0, "")}, bothVMsConnected),
	Entry("daemon that applied a ticket too late", checker.Late,
		acceptances{acceptance(0, 1, "a")}, entries{}, events{revisionApplied(1, "vm1", 1), revisionApplied(11, "vm2", 1)}, bothVMsConnected),
	Entry("daemon that applied a ticket too late after the end of its outage", checker.Late,
		acceptances{acceptance(0, 1, "a")}, entries{}, events{revisionApplied(1, "vm1", 1), revisionApplied(31, "vm2", 1)}, withOutage(5, 20)),
	Entry("late daemon whose outage ended before the ticket was accepted", checker.Late,
		acceptances{acceptance(10, 1, "a")}, entries{}, events{revisionApplied(11, "vm1", 1), revisionApplied(21, "vm2", 1)}, withOutage(1, 9)),
	Entry("restarted daemon that serves an older revision than before", checker.Reverted, acceptances{}, entries{},
		events{revisionApplied(1, "vm1", 7), eventAt(2, timeline.DaemonStarted, "vm1", 0, 0, ""), revisionApplied(3, "vm1", 6),
			eventAt(4, timeline.DaemonReady, "vm1", 0, 0, "")}, checker.Options{}),
	Entry("bad version that no daemon took back", checker.NotTakenBack, acceptances{}, entries{}, events{}, badV2),
	Entry("bad version that a service still uses after the take-back", checker.PartlyTakenBack,
		acceptances{}, entries{startEntry(8, "mandate", "v2")}, events{takeBackApplied(4, "vm1"), takeBackApplied(5, "vm2")}, badV2),
	Entry("bad version with a large share of the requests", checker.Exposed,
		acceptances{}, append(startsOf("v1", 80), startsOf("v2", 20)...), events{takeBackApplied(4, "vm1")}, badV2),
	Entry("good version that was taken back", checker.Misjudged,
		acceptances{}, entries{}, events{takeBackApplied(4, "vm1"), takeBackApplied(5, "vm2")}, checker.Options{}),
	Entry("request that crashed four targets", checker.CrashSpread,
		acceptances{}, entries{crashEntry("/p"), crashEntry("/p"), crashEntry("/p"), crashEntry("/p")}, events{}, checker.Options{}),
	Entry("new request on a draining target after the limit", checker.LateWork,
		acceptances{}, entries{leavingEntry(1), startEntry(6, "order", "v1")}, events{}, drainNoticeLimit),
	Entry("upload that failed during the planned stop of its daemon", checker.Cut,
		acceptances{}, entries{incompleteEnd(2)}, events{}, plannedStopWholeRuns),
	Entry("new request through a stopping daemon after the limit", checker.LateWork,
		acceptances{}, entries{startEntry(6, "order", "v1")}, events{}, withPlannedStop(1, 0)),
)

var _ = DescribeTable("reports no finding if daemons and versions behave correctly",
	func(o acceptances, e entries, ev events, options checker.Options) {
		Expect(checkMesh(o, e, ev, options).Findings).To(BeEmpty())
	},
	Entry("ticket that was reported as accepted twice", acceptances{acceptance(0, 1, "a"), acceptance(2, 1, "a")}, entries{},
		events{revisionApplied(1, "vm1", 1), revisionApplied(9, "vm2", 1)}, bothVMsConnected),
	Entry("daemon that skipped to a higher revision by a snapshot", acceptances{acceptance(0, 1, "a")}, entries{},
		events{revisionApplied(1, "vm1", 7), revisionApplied(9, "vm2", 7)}, bothVMsConnected),
	Entry("daemon that had an outage in the meantime", acceptances{acceptance(0, 1, "a")}, entries{},
		events{revisionApplied(1, "vm1", 1), revisionApplied(29, "vm2", 1)}, withOutage(5, 20)),
	Entry("daemon that started later", acceptances{acceptance(0, 1, "a")}, entries{},
		events{revisionApplied(1, "vm1", 1), eventAt(20, timeline.DaemonStarted, "vm2", 0, 0, ""), revisionApplied(21, "vm2", 1)}, bothVMsConnected),
	Entry("restarted daemon that catches up before it is ready", acceptances{}, entries{},
		events{revisionApplied(1, "vm1", 7), eventAt(2, timeline.DaemonStarted, "vm1", 0, 0, ""), revisionApplied(3, "vm1", 6), revisionApplied(4, "vm1", 7),
			eventAt(4, timeline.DaemonReady, "vm1", 0, 0, "")}, checker.Options{}),
	Entry("bad version with a small share until its take-back", acceptances{},
		append(startsOf("v1", 95), append(startsOf("v2", 5), startEntry(6, "order", "v2"))...),
		events{takeBackApplied(4, "vm1"), takeBackApplied(5, "vm2")}, badV2),
	Entry("request that crashed three targets", acceptances{}, entries{crashEntry("/p"), crashEntry("/p"), crashEntry("/p")}, events{}, checker.Options{}),
	Entry("new request within the limit after the start of the drain", acceptances{},
		entries{leavingEntry(1), startEntry(4, "order", "v1")}, events{}, drainNoticeLimit),
	Entry("upload that failed before the planned stop", acceptances{}, entries{incompleteEnd(0.5)}, events{}, plannedStopWholeRuns),
	Entry("upload that failed during the planned stop in a test that breaks requests", acceptances{}, entries{incompleteEnd(2)}, events{}, withPlannedStop(1, 0)),
	Entry("new request after the VM returned", acceptances{}, entries{startEntry(9, "order", "v1")}, events{}, withPlannedStop(1, 8)),
)

// readLog writes content to a file and reads it as a daemon's log.
func readLog(content string) (*checker.Records, error) {
	path := filepath.Join(GinkgoT().TempDir(), "daemon.log")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return checker.Read(checker.Files{Logs: []string{path}})
}

var _ = Describe("reading a daemon's log", func() {
	It("returns the events and skips other messages", func() {
		records, err := readLog(`{"time":"2026-12-04T10:00:00.5Z","vm":"vm1","message":"listening"}` + "\n" +
			`{"time":"2026-12-04T10:00:00.5Z","vm":"vm1","event":"revision-applied","clock":7,"ticket":2,"revision":3,"message":"taken-back"}` + "\n")
		Expect(err).NotTo(HaveOccurred())
		event := takeBackApplied(0.5, "vm1")
		event.Clock = 7
		Expect(records.Events).To(Equal([][]timeline.Event{{event}}))
	})
	It("rejects the stack trace of a panic, so that a crashed daemon is detected", func() {
		_, err := readLog("panic: index out of range\ngoroutine 1 [running]:\n")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
