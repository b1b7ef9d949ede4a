package replay_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/replay"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

const tracesDir = "../../testdata/traces"

func readTrace(user, name string) *trace.Trace {
	t, err := trace.ReadFile(filepath.Join(tracesDir, user, name+".jsonl"))
	Expect(err).NotTo(HaveOccurred())
	return t
}

func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := replay.Main(args, &out)
	return code, out.String()
}

var _ = Describe("the recorded traces", func() {
	// Guards against a change of judge or planner that takes back a good version,
	// finishes a bad one, or gives an unproved one more than 5% of the traffic.
	It("ends every move as its trace expects", func() {
		code, out := run("-json", tracesDir)
		var report replay.Report
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		for _, r := range report.Results {
			Expect(r.Sequential.Correct).To(BeTrue(), "%s: %+v", r.Trace, r.Sequential)
		}
		Expect(code).To(Equal(replay.ExitOK))
		Expect(report.Sequential.Good).To(Equal(66))
		Expect(report.Sequential.Bad).To(Equal(94))
		Expect(report.Sequential.MaxUnprovedShare).To(BeNumerically("<=", 0.05))
		Expect(report.Sequential.StoppedInGoal).To(BeNumerically(">=", 65))
		Expect(report.Baseline.BadTakenBack).To(BeNumerically("<", 94), "a baseline that detects all bad versions is no comparison")
	})

	// Guards against recorded traces that are too large for the repository.
	It("are smaller than 2 MB together", func() {
		var size int64
		err := filepath.WalkDir(tracesDir, func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			info, err := entry.Info()
			size += info.Size()
			return err
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(size).To(BeNumerically("<", 2<<20))
	})
})

var _ = Describe("Run", func() {
	// Guards against a replay that cannot be reproduced from its seed.
	It("returns the same result for the same seed", func() {
		t := readTrace("lipa", "order-bad-two-percent")
		first := replay.Run(t, replay.Options{Seed: 5})
		Expect(replay.Run(t, replay.Options{Seed: 5})).To(Equal(first))
		Expect(replay.Run(t, replay.Options{Seed: 6})).NotTo(Equal(first))
	})

	// Guards against a controller that decides correctly only if samples and steps
	// arrive quickly.
	DescribeTable("ends a move as expected when samples and steps are delayed",
		func(user, name string) {
			o := replay.Options{Seed: 1, EvidenceDelay: 2 * time.Second, StepDelay: time.Second, Daemons: 20}
			Expect(replay.Run(readTrace(user, name), o).Sequential.Correct).To(BeTrue())
		},
		Entry("good", "lipa", "order-good-plain"),
		Entry("good, short", "bergfeder", "storefront-good-short"),
		Entry("bad", "lipa", "order-bad-errors-later"),
		Entry("bad, one route", "bergfeder", "storefront-bad-one-route-errors"),
	)

	// Guards against a good version that is taken back or late because of an outage
	// of the platform or of the control plane, a change of controller, a crashing
	// request or a cold start.
	DescribeTable("finishes the move of a good version on time despite",
		func(name string) {
			for seed := range uint64(4) {
				r := replay.Run(readTrace("lipa", "order-good-"+name), replay.Options{Seed: seed + 50})
				Expect(r.Sequential.Correct).To(BeTrue(), "seed %d: %s", seed, r.Sequential.Reason)
			}
		},
		Entry("a platform outage", "platform-outage"),
		Entry("a control plane outage", "control-outage"),
		Entry("changes of controller", "takeover"),
		Entry("a crashing request", "crashing-request"),
		Entry("a cold start", "slow-start"),
	)

	// Guards against a bad version that keeps its traffic as long as the controller
	// is unreachable.
	It("sets the brakes of daemons during a control plane outage", func() {
		r := replay.Run(readTrace("bergfeder", "asset-store-bad-control-outage"), replay.Options{Seed: 1})
		Expect(r.Sequential.Brakes).To(BeNumerically(">", 0))
		Expect(r.Sequential.StoppedMs).To(BeNumerically("<", r.Sequential.EndMs))
	})

	// Guards against a bad service that is masked by the samples of a good one, a
	// reason that names the good service, and a service whose move continues after
	// the other one was taken back.
	DescribeTable("takes back a ticket of two services as a whole",
		func(user, name, service string) {
			for seed := range uint64(4) {
				o := replay.Run(readTrace(user, name), replay.Options{Seed: seed + 20}).Sequential
				Expect(o.End).To(Equal(replay.TakenBack))
				Expect(o.Reason).To(ContainSubstring("service %q", service))
				Expect(o.StoppedMs).To(BeNumerically("<=", o.EndMs+2*replay.DefaultStepDelay.Milliseconds()))
			}
		},
		Entry("the larger one is bad", "lipa", "order-mandate-bad-first-errors", "order"),
		Entry("the smaller one is bad", "lipa", "order-mandate-bad-second-errors", "mandate"),
		Entry("the smaller one becomes bad later", "bergfeder", "storefront-asset-store-bad-second-errors-later", "asset-store"),
		Entry("the smaller one is bad under load", "bergfeder", "storefront-asset-store-bad-second-under-load", "asset-store"),
		Entry("the good one is noisy", "lipa", "order-mandate-bad-noisy-first", "mandate"),
	)

	// Guards against a move that is decided by false reports of health endpoints.
	It("ignores false reports of health endpoints", func() {
		Expect(replay.Run(readTrace("lipa", "order-bad-health-says-well"), replay.Options{}).Sequential.Correct).To(BeTrue())
		Expect(replay.Run(readTrace("lipa", "order-good-health-alarm"), replay.Options{}).Sequential.Correct).To(BeTrue())
	})
})

var _ = Describe("Main", func() {
	// Guards against scripts that take the output for invalid input as a result.
	DescribeTable("rejects invalid arguments",
		func(want string, args ...string) {
			code, out := run(args...)
			Expect(code).To(Equal(replay.ExitUsage))
			Expect(out).To(ContainSubstring(want))
		},
		Entry("no path", "no trace file"),
		Entry("unknown flag", "flag provided but not defined", "-fast", "x"),
		Entry("missing file", "not-found", "/nonexistent/trace.jsonl"),
		Entry("no seeds", "-seeds 0", "-seeds", "0", tracesDir),
	)

	It("reports the line number of a malformed trace", func() {
		path := filepath.Join(GinkgoT().TempDir(), "bad.jsonl")
		Expect(os.WriteFile(path, []byte("{}\n"), 0o600)).To(Succeed())
		code, out := run(path)
		Expect(code).To(Equal(replay.ExitUsage))
		Expect(out).To(ContainSubstring("bad.jsonl:1"))
	})

	// Guards against a move with an unexpected end that scripts cannot detect.
	It("returns ExitOutcomeMismatch when a move does not end as its trace expects", func() {
		text, err := os.ReadFile(filepath.Join(tracesDir, "lipa", "order-good-plain.jsonl"))
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(GinkgoT().TempDir(), "plain.jsonl")
		changed := strings.Replace(string(text), `"outcome":"good"`, `"outcome":"bad"`, 1)
		Expect(os.WriteFile(path, []byte(changed), 0o600)).To(Succeed())
		code, out := run(path)
		Expect(code).To(Equal(replay.ExitOutcomeMismatch))
		Expect(out).To(ContainSubstring("lipa/order-good-plain"))
	})
})
