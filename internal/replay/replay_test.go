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

const recorded = "../../testdata/traces"

func read(user, name string) *trace.Trace {
	t, err := trace.ReadFile(filepath.Join(recorded, user, name+".jsonl"))
	Expect(err).NotTo(HaveOccurred())
	return t
}

func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := replay.Main(args, &out)
	return code, out.String()
}

var _ = Describe("the recorded set", func() {
	// Guards against a change of judge or planner that takes back a good
	// version, lets a bad one pass, or exposes an unproved one.
	It("ends every move rightly", func() {
		code, out := run("-json", recorded)
		var report replay.Report
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		for _, r := range report.Results {
			Expect(r.Sequential.Right).To(BeTrue(), "%s: %+v", r.Trace, r.Sequential)
		}
		Expect(code).To(Equal(replay.ExitOK))
		Expect(report.Sequential.Good).To(Equal(66))
		Expect(report.Sequential.Bad).To(Equal(94))
		Expect(report.Sequential.MaxUnprovedShare).To(BeNumerically("<=", 0.05))
		Expect(report.Sequential.StoppedInGoal).To(BeNumerically(">=", 65))
		Expect(report.Baseline.BadTakenBack).To(BeNumerically("<", 94), "the baseline is no comparison if it finds all")
	})

	// Guards against a recorded set that has outgrown the repository.
	It("stays under 2 MB", func() {
		var size int64
		err := filepath.WalkDir(recorded, func(path string, entry os.DirEntry, err error) error {
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
	// Guards against a replay that cannot be repeated from its seed.
	It("gives the same result for the same seed", func() {
		t := read("lipa", "order-bad-two-percent")
		first := replay.Run(t, replay.Options{Seed: 5})
		Expect(replay.Run(t, replay.Options{Seed: 5})).To(Equal(first))
		Expect(replay.Run(t, replay.Options{Seed: 6})).NotTo(Equal(first))
	})

	// Guards against a controller that needs fast evidence to be right.
	DescribeTable("stays right when evidence is slow",
		func(user, name string) {
			o := replay.Options{Seed: 1, EvidenceDelay: 2 * time.Second, StepDelay: time.Second, Daemons: 20}
			Expect(replay.Run(read(user, name), o).Sequential.Right).To(BeTrue())
		},
		Entry("good", "lipa", "order-good-plain"),
		Entry("good, short", "bergfeder", "storefront-good-short"),
		Entry("bad", "lipa", "order-bad-errors-later"),
		Entry("bad, one route", "bergfeder", "storefront-bad-one-route-errors"),
	)

	// Guards against a good version that pays for an outage of the platform or
	// of the control plane, a change of controller or a poisonous request.
	DescribeTable("finishes a good version on time in spite of",
		func(name string) {
			for seed := range uint64(4) {
				r := replay.Run(read("lipa", "order-good-"+name), replay.Options{Seed: seed + 50})
				Expect(r.Sequential.Right).To(BeTrue(), "seed %d: %s", seed, r.Sequential.Reason)
			}
		},
		Entry("a platform outage", "platform-outage"),
		Entry("a control outage", "control-outage"),
		Entry("changes of controller", "takeover"),
		Entry("a crashing request", "crashing-request"),
		Entry("a cold start", "slow-start"),
	)

	// Guards against a fault that goes on unseen while no controller can act.
	It("brakes on daemons during a control outage", func() {
		r := replay.Run(read("bergfeder", "asset-store-bad-control-outage"), replay.Options{Seed: 1})
		Expect(r.Sequential.Brakes).To(BeNumerically(">", 0))
		Expect(r.Sequential.StoppedMs).To(BeNumerically("<", r.Sequential.EndMs))
	})

	// Guards against a bad service that the evidence of a good one hides, a
	// good service that is blamed, and one that goes on alone after the other
	// was taken back.
	DescribeTable("takes back a ticket of two services as a whole",
		func(user, name, service string) {
			for seed := range uint64(4) {
				o := replay.Run(read(user, name), replay.Options{Seed: seed + 20}).Sequential
				Expect(o.End).To(Equal(replay.TakenBack))
				Expect(o.Reason).To(ContainSubstring("service %q", service))
				Expect(o.StoppedMs).To(BeNumerically("<=", o.EndMs+2*replay.DefaultStepDelay.Milliseconds()))
			}
		},
		Entry("the larger one is bad", "lipa", "order-mandate-bad-first-errors", "order"),
		Entry("the smaller one is bad", "lipa", "order-mandate-bad-second-errors", "mandate"),
		Entry("late", "bergfeder", "storefront-asset-store-bad-second-errors-later", "asset-store"),
		Entry("under load", "bergfeder", "storefront-asset-store-bad-second-under-load", "asset-store"),
		Entry("the good one is noisy", "lipa", "order-mandate-bad-noisy-first", "mandate"),
	)

	// Guards against health endpoints that lie deciding a move.
	It("does not believe health endpoints", func() {
		Expect(replay.Run(read("lipa", "order-bad-health-says-well"), replay.Options{}).Sequential.Right).To(BeTrue())
		Expect(replay.Run(read("lipa", "order-good-health-alarm"), replay.Options{}).Sequential.Right).To(BeTrue())
	})
})

var _ = Describe("Main", func() {
	// Guards against scripts that take invalid input for a measurement.
	DescribeTable("refuses invalid arguments",
		func(want string, args ...string) {
			code, out := run(args...)
			Expect(code).To(Equal(replay.ExitUsage))
			Expect(out).To(ContainSubstring(want))
		},
		Entry("no path", "no trace file"),
		Entry("unknown flag", "flag provided but not defined", "-fast", "x"),
		Entry("missing file", "not-found", "/nonexistent/trace.jsonl"),
		Entry("no seeds", "-seeds 0", "-seeds", "0", recorded),
	)

	It("names the line of a malformed trace", func() {
		path := filepath.Join(GinkgoT().TempDir(), "bad.jsonl")
		Expect(os.WriteFile(path, []byte("{}\n"), 0o600)).To(Succeed())
		code, out := run(path)
		Expect(code).To(Equal(replay.ExitUsage))
		Expect(out).To(ContainSubstring("bad.jsonl:1"))
	})

	// Guards against a wrong end of a move that scripts cannot see.
	It("returns ExitWrong when a stated outcome is missed", func() {
		text, err := os.ReadFile(filepath.Join(recorded, "lipa", "order-good-plain.jsonl"))
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(GinkgoT().TempDir(), "plain.jsonl")
		changed := strings.Replace(string(text), `"outcome":"good"`, `"outcome":"bad"`, 1)
		Expect(os.WriteFile(path, []byte(changed), 0o600)).To(Succeed())
		code, out := run(path)
		Expect(code).To(Equal(replay.ExitWrong))
		Expect(out).To(ContainSubstring("lipa/order-good-plain"))
	})
})
