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

// epoch is the begin of the hand-made records.
var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func second(n float64) time.Time { return epoch.Add(time.Duration(n * float64(time.Second))) }

func at(s float64, kind timeline.Kind, vm string, ticket, revision uint64, detail string) timeline.Event {
	return timeline.Event{At: second(s), Kind: kind, VM: vm, Ticket: ticket, Revision: revision, Detail: detail}
}

func applied(s float64, vm string, revision uint64) timeline.Event {
	return at(s, timeline.RevisionApplied, vm, 0, revision, "")
}

func takeBack(s float64, vm string) timeline.Event {
	return at(s, timeline.RevisionApplied, vm, 2, 3, "taken-back")
}

func accepted(s float64, number uint64, digest string) checker.Acceptance {
	return checker.Acceptance{Number: number, Revision: number, Digest: digest, At: second(s)}
}

func startOf(s float64, service, version string) target.Entry {
	return target.Entry{Phase: target.Started, VM: "vm1", Service: service, Version: version, Start: second(s)}
}

func leaving(s float64) target.Entry {
	return target.Entry{Phase: target.Leaving, VM: "vm1", Start: second(s)}
}

// brokenAt is the end of a run whose body did not arrive whole.
func brokenAt(s float64) target.Entry {
	return target.Entry{Phase: target.Ended, VM: "vm1", Start: second(0), End: second(s)}
}

func crash(path string) target.Entry { return target.Entry{Phase: target.Crashed, Path: path} }

func served(version string, n int) entries {
	var all entries
	for range n {
		all = append(all, startOf(1, "order", version))
	}
	return all
}

type told = []checker.Acceptance

func checkMesh(o told, e entries, ev events, options checker.Options) *checker.Report {
	return checker.Check(&checker.Records{Operators: []told{o}, Targets: []entries{e}, Events: []events{ev}}, options)
}

// alive expects both VMs to follow within ten seconds.
var alive = checker.Options{Alive: []string{"vm1", "vm2"}, InForce: 10 * time.Second}

func disturbed(from, to float64) checker.Options {
	o := alive
	o.Disturbances = []checker.Disturbance{{VM: "vm2", From: second(from), To: second(to)}}
	return o
}

func left(at, until float64) checker.Options {
	d := checker.Departure{VM: "vm1", At: second(at)}
	if until > 0 {
		d.Until = second(until)
	}
	return checker.Options{LeaveLimit: 4 * time.Second, Departures: []checker.Departure{d}}
}

var badV2 = checker.Options{Bad: []checker.BadVersion{{
	Ticket: 2, Version: "v2", Services: []string{"order", "mandate"}, MaxShare: 0.1, From: second(0),
}}}

var leftWhole = checker.Options{Departures: []checker.Departure{{VM: "vm1", At: second(1), Whole: true}}}

var leaveLimit = checker.Options{LeaveLimit: 4 * time.Second}

var _ = DescribeTable("a bad record of the mesh is caught, and only as what it is",
	func(kind checker.Kind, o told, e entries, ev events, options checker.Options) {
		report := checkMesh(o, e, ev, options)
		Expect(report.Findings).To(HaveLen(1))
		Expect(report.Findings[0].Kind).To(Equal(kind))
	},
	Entry("two tickets under one number", checker.Conflict,
		told{accepted(0, 1, "a"), accepted(0, 1, "b")}, entries{}, events{}, checker.Options{}),
	Entry("a daemon without an accepted ticket", checker.Missing,
		told{accepted(0, 1, "a")}, entries{}, events{applied(1, "vm1", 1)}, alive),
	Entry("a restarted daemon that lost an accepted ticket", checker.Missing,
		told{accepted(0, 1, "a")}, entries{},
		events{applied(1, "vm1", 1), applied(1, "vm2", 1), at(2, timeline.DaemonStarted, "vm2", 0, 0, "")}, alive),
	Entry("a daemon that applied a ticket too late", checker.Late,
		told{accepted(0, 1, "a")}, entries{}, events{applied(1, "vm1", 1), applied(11, "vm2", 1)}, alive),
	Entry("a daemon that applied a ticket too late after its link was healed", checker.Late,
		told{accepted(0, 1, "a")}, entries{}, events{applied(1, "vm1", 1), applied(31, "vm2", 1)}, disturbed(5, 20)),
	Entry("a disturbance that was over before", checker.Late,
		told{accepted(10, 1, "a")}, entries{}, events{applied(11, "vm1", 1), applied(21, "vm2", 1)}, disturbed(1, 9)),
	Entry("a restarted daemon that serves an older revision than before", checker.Reverted, told{}, entries{},
		events{applied(1, "vm1", 7), at(2, timeline.DaemonStarted, "vm1", 0, 0, ""), applied(3, "vm1", 6),
			at(4, timeline.DaemonReady, "vm1", 0, 0, "")}, checker.Options{}),
	Entry("a bad version that nobody took back", checker.NotTakenBack, told{}, entries{}, events{}, badV2),
	Entry("a bad version that one of its services still uses", checker.PartlyTakenBack,
		told{}, entries{startOf(8, "mandate", "v2")}, events{takeBack(4, "vm1"), takeBack(5, "vm2")}, badV2),
	Entry("a bad version with much traffic", checker.Exposed,
		told{}, append(served("v1", 80), served("v2", 20)...), events{takeBack(4, "vm1")}, badV2),
	Entry("a good version that was taken back", checker.Misjudged,
		told{}, entries{}, events{takeBack(4, "vm1"), takeBack(5, "vm2")}, checker.Options{}),
	Entry("a request that crashed four targets", checker.CrashSpread,
		told{}, entries{crash("/p"), crash("/p"), crash("/p"), crash("/p")}, events{}, checker.Options{}),
	Entry("new work on a leaving target", checker.LateWork,
		told{}, entries{leaving(1), startOf(6, "order", "v1")}, events{}, leaveLimit),
	Entry("an upload that broke during the planned stop of its daemon", checker.Cut,
		told{}, entries{brokenAt(2)}, events{}, leftWhole),
	Entry("new work behind a leaving daemon", checker.LateWork,
		told{}, entries{startOf(6, "order", "v1")}, events{}, left(1, 0)),
)

var _ = DescribeTable("a good record of the mesh is passed",
	func(o told, e entries, ev events, options checker.Options) {
		Expect(checkMesh(o, e, ev, options).Findings).To(BeEmpty())
	},
	Entry("one ticket told twice", told{accepted(0, 1, "a"), accepted(2, 1, "a")}, entries{},
		events{applied(1, "vm1", 1), applied(9, "vm2", 1)}, alive),
	Entry("a higher revision by a snapshot", told{accepted(0, 1, "a")}, entries{},
		events{applied(1, "vm1", 7), applied(9, "vm2", 7)}, alive),
	Entry("a daemon that was cut off meanwhile", told{accepted(0, 1, "a")}, entries{},
		events{applied(1, "vm1", 1), applied(29, "vm2", 1)}, disturbed(5, 20)),
	Entry("a daemon that started later", told{accepted(0, 1, "a")}, entries{},
		events{applied(1, "vm1", 1), at(20, timeline.DaemonStarted, "vm2", 0, 0, ""), applied(21, "vm2", 1)}, alive),
	Entry("a restarted daemon that catches up before it serves", told{}, entries{},
		events{applied(1, "vm1", 7), at(2, timeline.DaemonStarted, "vm1", 0, 0, ""), applied(3, "vm1", 6), applied(4, "vm1", 7),
			at(4, timeline.DaemonReady, "vm1", 0, 0, "")}, checker.Options{}),
	Entry("a version with little traffic until its take-back", told{},
		append(served("v1", 95), append(served("v2", 5), startOf(6, "order", "v2"))...),
		events{takeBack(4, "vm1"), takeBack(5, "vm2")}, badV2),
	Entry("three crashes", told{}, entries{crash("/p"), crash("/p"), crash("/p")}, events{}, checker.Options{}),
	Entry("work while the news of the stop spreads", told{},
		entries{leaving(1), startOf(4, "order", "v1")}, events{}, leaveLimit),
	Entry("an upload that broke before the planned stop", told{}, entries{brokenAt(0.5)}, events{}, leftWhole),
	Entry("an upload that broke during the planned stop where the test breaks requests", told{}, entries{brokenAt(2)}, events{}, left(1, 0)),
	Entry("work after the VM came back", told{}, entries{startOf(9, "order", "v1")}, events{}, left(1, 8)),
)

// readLog reads a daemon's log with the content.
func readLog(content string) (*checker.Records, error) {
	path := filepath.Join(GinkgoT().TempDir(), "daemon.log")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return checker.Read(checker.Files{Logs: []string{path}})
}

var _ = Describe("reading a daemon's log", func() {
	It("keeps the events and passes over other messages", func() {
		records, err := readLog(`{"time":"2026-12-04T10:00:00.5Z","vm":"vm1","message":"listening"}` + "\n" +
			`{"time":"2026-12-04T10:00:00.5Z","vm":"vm1","event":"revision-applied","clock":7,"ticket":2,"revision":3,"message":"taken-back"}` + "\n")
		Expect(err).NotTo(HaveOccurred())
		event := takeBack(0.5, "vm1")
		event.Clock = 7
		Expect(records.Events).To(Equal([][]timeline.Event{{event}}))
	})
	It("refuses the trace of a panic, so that a crashed daemon is noticed", func() {
		_, err := readLog("panic: index out of range\ngoroutine 1 [running]:\n")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})
})
