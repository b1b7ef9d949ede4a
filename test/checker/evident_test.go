package checker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// endedRun returns the start and end entries of a run on version v2 of the order service.
// The times are in seconds.
func endedRun(start, end float64, status int) entries {
	e := startEntry(start, "order", "v2")
	e.Method, e.Path = "GET", "/lookup/1"
	endEntry := e
	endEntry.Phase, endEntry.End, endEntry.Status = target.PhaseRunEnded, atSecond(end), status
	return entries{e, endEntry}
}

func stepApplied(s float64, detail string) timeline.Event {
	return eventAt(s, timeline.StepApplied, "vm1", 2, 0, detail)
}

func concat(groups ...entries) entries {
	var all entries
	for _, g := range groups {
		all = append(all, g...)
	}
	return all
}

// lateStarts returns the start entries of n runs on version v2 at 4.5 s.
func lateStarts(n int) entries {
	var all entries
	for range n {
		all = append(all, startEntry(4.5, "order", "v2"))
	}
	return all
}

// twoFailedRuns are two failed runs on version v2, which make it evidently bad at 1.3 s.
var twoFailedRuns = concat(endedRun(1, 1.2, 500), endedRun(1.1, 1.3, 500))

// withBadVersion returns options with b as the bad version v2 of ticket 2.
func withBadVersion(b checker.BadVersion) checker.Options {
	b.Ticket, b.Version, b.Services, b.From = 2, "v2", []string{"order"}, atSecond(0)
	return checker.Options{BadVersions: []checker.BadVersion{b}}
}

var (
	unprovedShareLimit = withBadVersion(checker.BadVersion{UnprovedShare: 0.05})
	stopLimit          = withBadVersion(checker.BadVersion{StopLimit: 3 * time.Second})
	stopLimitWithSlow  = withBadVersion(checker.BadVersion{StopLimit: 3 * time.Second, SlowThreshold: 100 * time.Millisecond})
	takenBackAt8       = events{takeBackApplied(8, "vm1")}
)

var _ = DescribeTable("reports a bad version that received too many requests as exactly one finding",
	func(kind checker.Kind, e entries, ev events, options checker.Options) {
		report := checkMesh(acceptances{}, e, ev, options)
		Expect(report.Findings).To(HaveLen(1))
		Expect(report.Findings[0].Kind).To(Equal(kind))
	},
	Entry("large share before the version was proved", checker.Exposed,
		concat(startsOf("v1", 90), startsOf("v2", 10)), events{stepApplied(0.5, "5%"), stepApplied(4, "10%"), takeBackApplied(8, "vm1")}, unprovedShareLimit),
	Entry("large share of a version that was never proved", checker.Exposed,
		concat(startsOf("v1", 90), startsOf("v2", 10)), takenBackAt8, unprovedShareLimit),
	Entry("requests long after two failures", checker.StillUsed, concat(twoFailedRuns, endedRun(4.5, 4.6, 200)), takenBackAt8, stopLimit),
	Entry("requests long after two slow lookups", checker.StillUsed,
		concat(endedRun(1, 1.2, 200), endedRun(1.1, 1.3, 200), endedRun(4.5, 4.6, 200)), takenBackAt8, stopLimitWithSlow),
	Entry("requests long after failures among good runs", checker.StillUsed,
		concat(endedRun(1, 1.1, 500), endedRun(1.2, 1.3, 200), endedRun(1.4, 1.5, 500), endedRun(5, 5.1, 200)), takenBackAt8, stopLimit),
)

var _ = DescribeTable("reports no finding for a bad version that received few requests",
	func(e entries, ev events, options checker.Options) {
		Expect(checkMesh(acceptances{}, e, ev, options).Findings).To(BeEmpty())
	},
	Entry("large share after the version was proved",
		concat(startsOf("v1", 80), lateStarts(20)), events{stepApplied(4, "10%"), takeBackApplied(8, "vm1")}, unprovedShareLimit),
	Entry("small share until the take-back", concat(startsOf("v1", 95), startsOf("v2", 5)), takenBackAt8, unprovedShareLimit),
	Entry("requests soon after two failures", concat(twoFailedRuns, endedRun(4.2, 4.3, 200)), takenBackAt8, stopLimit),
	Entry("requests long after one failure", concat(endedRun(1, 1.1, 500), endedRun(4.5, 4.6, 200)), takenBackAt8, stopLimit),
	Entry("requests long after failures among many good runs",
		concat(endedRun(1, 1.1, 500), endedRun(1.1, 1.2, 200), endedRun(1.2, 1.3, 200), endedRun(1.3, 1.4, 200),
			endedRun(1.4, 1.5, 200), endedRun(1.5, 1.6, 200), endedRun(1.6, 1.7, 200), endedRun(1.7, 1.8, 200),
			endedRun(1.8, 1.9, 200), endedRun(1.9, 2, 200), endedRun(2, 2.1, 500), endedRun(5.5, 5.6, 200)), takenBackAt8, stopLimit),
	Entry("slow lookups if only failures count",
		concat(endedRun(1, 1.2, 200), endedRun(1.1, 1.3, 200), endedRun(4.5, 4.6, 200)), takenBackAt8, stopLimit),
)
