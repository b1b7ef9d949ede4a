package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/member"
)

func TestSidecar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecar")
}

var _ = Describe("local target", func() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	beat := func(instance string, born int64, sequence uint64) Heartbeat {
		return Heartbeat{Instance: instance, Born: born, Sequence: sequence, Service: "order", Version: "v1", Slots: 9}
	}
	var t *localTarget
	BeforeEach(func() {
		t = newLocalTarget(0)
		Expect(t.beat(now, beat("a", 100, 1))).To(BeTrue())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a write to the store for each heartbeat.
	It("changes nothing by a repeated heartbeat", func() {
		Expect(t.beat(now, beat("a", 100, 2))).To(BeFalse())
		Expect(t.incarnation).To(Equal(uint64(1)))
	})

	// Guards against a late heartbeat that makes a leaving target ready again.
	It("ignores heartbeats that were overtaken", func() {
		leaving := beat("a", 100, 5)
		leaving.Draining = true
		Expect(t.beat(now, leaving)).To(BeTrue())
		Expect(t.beat(now, beat("a", 100, 4))).To(BeFalse())
		Expect(t.state).To(Equal(member.Draining))
	})

	// Guards against a heartbeat that crosses the farewell of its run.
	It("stays gone after the farewell", func() {
		Expect(t.leave("a")).To(BeTrue())
		Expect(t.beat(now, beat("a", 100, 9))).To(BeFalse())
		Expect(t.state).To(Equal(member.Gone))
		Expect(t.beat(now, beat("b", 200, 1))).To(BeTrue())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a heartbeat of an earlier run that a cut held up.
	It("keeps the newer run", func() {
		Expect(t.beat(now, beat("b", 200, 1))).To(BeTrue())
		Expect(t.beat(now, beat("a", 100, 7))).To(BeFalse())
		Expect(t.current.Instance).To(Equal("b"))
	})

	// Guards against a restarted target under its old id whose heartbeats are
	// taken for old ones, because its sequence starts anew.
	It("takes a run with the same id as a new one", func() {
		Expect(t.beat(now, beat("a", 100, 50))).To(BeFalse())
		Expect(t.beat(now, beat("a", 300, 1))).To(BeTrue())
		Expect(t.incarnation).To(Equal(uint64(2)))
	})

	// Guards against a target that is left out because its time of day jumped
	// back between two starts.
	It("takes a run that was born earlier once the current one is lost", func() {
		Expect(t.fail("a")).To(BeTrue())
		Expect(t.beat(now, beat("b", 50, 1))).To(BeTrue())
		Expect(t.current.Instance).To(Equal("b"))
	})

	// Guards against a target that did not answer once and stays lost.
	It("is ready again after the next heartbeat", func() {
		Expect(t.fail("a")).To(BeTrue())
		Expect(t.fail("a")).To(BeFalse())
		Expect(t.beat(now, beat("a", 100, 2))).To(BeTrue())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a farewell or a failure of another run.
	It("ignores news of other runs", func() {
		Expect(t.leave("b")).To(BeFalse())
		Expect(t.fail("b")).To(BeFalse())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a resumed target that is taken for a new run, which would
	// refuse the requests that wait for it.
	It("knows a resumed run by its next heartbeat", func() {
		t = newLocalTarget(0)
		Expect(t.resume(now, beat("a", 0, 0))).To(BeTrue())
		Expect(t.beat(now, beat("a", 100, 8))).To(BeFalse())
		Expect(t.resume(now, beat("c", 0, 0))).To(BeFalse())
		Expect(t.incarnation).To(Equal(uint64(1)))
	})
})
