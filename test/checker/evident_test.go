package checker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// answered is a run of the order service's second version.
func answered(start, end float64, status int) entries {
	e := startOf(start, "order", "v2")
	e.Method, e.Path = "GET", "/lookup/1"
	done := e
	done.Phase, done.End, done.Status = target.Ended, second(end), status
	return entries{e, done}
}

func step(s float64, detail string) timeline.Event {
	return at(s, timeline.StepApplied, "vm1", 2, 0, detail)
}

func join(groups ...entries) entries {
	var all entries
	for _, g := range groups {
		all = append(all, g...)
	}
	return all
}

// servedLate are n runs of the second version at 4.5 s.
func servedLate(n int) entries {
	var all entries
	for range n {
		all = append(all, startOf(4.5, "order", "v2"))
	}
	return all
}

// failing are two failed runs, after which the badness is evident at 1.3 s.
var failing = join(answered(1, 1.2, 500), answered(1.1, 1.3, 500))

func judged(b checker.BadVersion) checker.Options {
	b.Ticket, b.Version, b.Services, b.From = 2, "v2", []string{"order"}, second(0)
	return checker.Options{Bad: []checker.BadVersion{b}}
}

var (
	unproved = judged(checker.BadVersion{UnprovedShare: 0.05})
	stopping = judged(checker.BadVersion{StopLimit: 3 * time.Second})
	slow     = judged(checker.BadVersion{StopLimit: 3 * time.Second, Slow: 100 * time.Millisecond})
	ended8   = events{takeBack(8, "vm1")}
)

var _ = DescribeTable("a bad version that got too much is caught, and only as what it is",
	func(kind checker.Kind, e entries, ev events, options checker.Options) {
		report := checkMesh(told{}, e, ev, options)
		Expect(report.Findings).To(HaveLen(1))
		Expect(report.Findings[0].Kind).To(Equal(kind))
	},
	Entry("a large share before it was proved", checker.Exposed,
		join(served("v1", 90), served("v2", 10)), events{step(0.5, "5%"), step(4, "10%"), takeBack(8, "vm1")}, unproved),
	Entry("a large share of a version that never was proved", checker.Exposed,
		join(served("v1", 90), served("v2", 10)), ended8, unproved),
	Entry("requests long after two failures", checker.StillUsed, join(failing, answered(4.5, 4.6, 200)), ended8, stopping),
	Entry("requests long after two slow lookups", checker.StillUsed,
		join(answered(1, 1.2, 200), answered(1.1, 1.3, 200), answered(4.5, 4.6, 200)), ended8, slow),
	Entry("requests long after failures among good runs", checker.StillUsed,
		join(answered(1, 1.1, 500), answered(1.2, 1.3, 200), answered(1.4, 1.5, 500), answered(5, 5.1, 200)), ended8, stopping),
)

var _ = DescribeTable("a bad version that got little is passed",
	func(e entries, ev events, options checker.Options) {
		Expect(checkMesh(told{}, e, ev, options).Findings).To(BeEmpty())
	},
	Entry("a large share after it was proved",
		join(served("v1", 80), servedLate(20)), events{step(4, "10%"), takeBack(8, "vm1")}, unproved),
	Entry("a small share until its take-back", join(served("v1", 95), served("v2", 5)), ended8, unproved),
	Entry("requests soon after two failures", join(failing, answered(4.2, 4.3, 200)), ended8, stopping),
	Entry("requests long after one failure", join(answered(1, 1.1, 500), answered(4.5, 4.6, 200)), ended8, stopping),
	Entry("requests long after failures that many good runs outweigh",
		join(answered(1, 1.1, 500), answered(1.1, 1.2, 200), answered(1.2, 1.3, 200), answered(1.3, 1.4, 200),
			answered(1.4, 1.5, 200), answered(1.5, 1.6, 200), answered(1.6, 1.7, 200), answered(1.7, 1.8, 200),
			answered(1.8, 1.9, 200), answered(1.9, 2, 200), answered(2, 2.1, 500), answered(5.5, 5.6, 200)), ended8, stopping),
	Entry("slow lookups where only failures count",
		join(answered(1, 1.2, 200), answered(1.1, 1.3, 200), answered(4.5, 4.6, 200)), ended8, stopping),
)
