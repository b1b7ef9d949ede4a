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
		return Heartbeat{Instance: instance, StartUnixMS: born, Sequence: sequence, Service: "order", Version: "v1", Slots: 9}
	}
	var t *localTarget
	BeforeEach(func() {
		t = newLocalTarget(0)
		Expect(t.applyHeartbeat(now, beat("a", 100, 1))).To(BeTrue())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a write to the store for each heartbeat.
	It("does not change with a repeated heartbeat", func() {
		Expect(t.applyHeartbeat(now, beat("a", 100, 2))).To(BeFalse())
		Expect(t.incarnation).To(Equal(uint64(1)))
	})

	// Guards against a delayed heartbeat that makes a leaving target ready again.
	It("ignores heartbeats that arrive out of order", func() {
		draining := beat("a", 100, 5)
		draining.Draining = true
		Expect(t.applyHeartbeat(now, draining)).To(BeTrue())
		Expect(t.applyHeartbeat(now, beat("a", 100, 4))).To(BeFalse())
		Expect(t.state).To(Equal(member.Draining))
	})

	// Guards against a heartbeat that arrives after the leave notice of its run.
	It("stays gone after the leave notice", func() {
		Expect(t.markGone("a")).To(BeTrue())
		Expect(t.applyHeartbeat(now, beat("a", 100, 9))).To(BeFalse())
		Expect(t.state).To(Equal(member.Gone))
		Expect(t.applyHeartbeat(now, beat("b", 200, 1))).To(BeTrue())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a heartbeat of an earlier run that a network cut delayed.
	It("keeps the newer run", func() {
		Expect(t.applyHeartbeat(now, beat("b", 200, 1))).To(BeTrue())
		Expect(t.applyHeartbeat(now, beat("a", 100, 7))).To(BeFalse())
		Expect(t.current.Instance).To(Equal("b"))
	})

	// Guards against a restarted target with the same instance name whose
	// heartbeats are ignored as old ones, because its sequence restarts.
	It("treats a restart with the same instance name as a new run", func() {
		Expect(t.applyHeartbeat(now, beat("a", 100, 50))).To(BeFalse())
		Expect(t.applyHeartbeat(now, beat("a", 300, 1))).To(BeTrue())
		Expect(t.incarnation).To(Equal(uint64(2)))
	})

	// Guards against a target that is ignored because its clock jumped back between
	// two starts.
	It("accepts a run with an earlier start once the current one is lost", func() {
		Expect(t.markLost("a")).To(BeTrue())
		Expect(t.applyHeartbeat(now, beat("b", 50, 1))).To(BeTrue())
		Expect(t.current.Instance).To(Equal("b"))
	})

	// Guards against a target that stays lost after a single failed connection.
	It("is ready again after the next heartbeat", func() {
		Expect(t.markLost("a")).To(BeTrue())
		Expect(t.markLost("a")).To(BeFalse())
		Expect(t.applyHeartbeat(now, beat("a", 100, 2))).To(BeTrue())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a leave notice or a failure of another run.
	It("ignores events of other runs", func() {
		Expect(t.markGone("b")).To(BeFalse())
		Expect(t.markLost("b")).To(BeFalse())
		Expect(t.state).To(Equal(member.Ready))
	})

	// Guards against a resumed target that is treated as a new run, which would
	// reject the requests that are queued for it.
	It("keeps a resumed run when its next heartbeat arrives", func() {
		t = newLocalTarget(0)
		Expect(t.resume(now, beat("a", 0, 0))).To(BeTrue())
		Expect(t.applyHeartbeat(now, beat("a", 100, 8))).To(BeFalse())
		Expect(t.resume(now, beat("c", 0, 0))).To(BeFalse())
		Expect(t.incarnation).To(Equal(uint64(1)))
	})
})
