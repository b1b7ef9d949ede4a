package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

func TestCore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core")
}

// addDaemons adds n daemons in each of the domains.
func (m *mesh) addDaemons(domains, n int) {
	for i := range domains * n {
		m.add(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("domain-%d", i%domains))
	}
}

func (m *mesh) controller() *fakeDaemon {
	for _, d := range m.daemons {
		if d.alive && !d.paused && d.node.View().IsController {
			return d
		}
	}
	return nil
}

func ticket(number uint64) *model.Ticket {
	name := fmt.Sprintf("service-%d", number)
	return &model.Ticket{
		Number:   number,
		Services: []model.Service{{Name: name, Versions: []string{"v1"}, Shares: map[string]uint32{"v1": 100}}},
		Routes:   []model.Route{{Name: name, PathPrefix: "/" + name, Service: name, Class: model.Normal}},
	}
}

func moveTicket(number uint64, service string, finish time.Time) *model.Ticket {
	return &model.Ticket{
		Number:   number,
		Services: []model.Service{{Name: service, Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": 100}}},
		Moves:    []model.Move{{Service: service, Finish: finish, Prefer: model.OnTime}},
	}
}

// submit submits a ticket to a daemon and runs the mesh until the reply
// arrives.
func (m *mesh) submit(d *fakeDaemon, id uint64, t *model.Ticket) core.Reply {
	d.handle(core.Submit{ID: id, Ticket: t})
	for range 100 {
		if reply, ok := d.replies[id]; ok {
			return reply
		}
		m.run(core.TickInterval)
	}
	return core.Reply{Err: fault.New(fault.Timeout, "no reply")}
}

func (m *mesh) expectRevision(revision uint64) {
	GinkgoHelper()
	for _, d := range m.daemons {
		if d.alive {
			Expect(d.node.View().State.Revision).To(Equal(revision), d.name)
			Expect(d.servedRevision).To(Equal(revision), d.name+" serves")
		}
	}
	Expect(m.violations).To(BeEmpty())
}

var _ = Describe("a mesh of nodes", func() {
	var m *mesh

	BeforeEach(func() {
		m = newMesh(1)
		m.addDaemons(3, 8)
		m.run(8 * time.Second)
		Expect(m.controller()).NotTo(BeNil())
	})

	It("puts an accepted ticket in force on every daemon, whichever daemon accepted it", func() {
		for i := range uint64(5) {
			Expect(m.submit(m.daemons[i*4], i, ticket(i+1)).Err).NotTo(HaveOccurred())
		}
		m.run(time.Second)
		m.expectRevision(5)
		Expect(m.daemons[7].node.View().Statement).To(Equal(core.StatementView{Revision: 5, Members: 24}))
	})

	It("does not call the platform more often with more daemons while nothing changes", func() {
		before := m.table.reads + m.table.writes
		m.run(10 * time.Second)
		Expect(m.table.reads + m.table.writes - before).To(BeNumerically("<=", 25))
	})

	It("accepts one of two different tickets that race for a number", func() {
		first, second := ticket(1), ticket(1)
		second.Note = "another"
		m.daemons[0].handle(core.Submit{ID: 1, Ticket: first})
		m.daemons[9].handle(core.Submit{ID: 2, Ticket: second})
		m.run(2 * time.Second)
		a, b := m.daemons[0].replies[1], m.daemons[9].replies[2]
		Expect((a.Err == nil) != (b.Err == nil)).To(BeTrue())
		rejected := a.Err
		if rejected == nil {
			rejected = b.Err
		}
		Expect(fault.KindOf(rejected)).To(Equal(fault.NumberTaken))
		m.expectRevision(1)
	})

	It("detects that a ticket was accepted although the response was lost", func() {
		m.table.loseAnswers = 1
		reply := m.submit(m.daemons[3], 1, ticket(1))
		Expect(reply.Err).NotTo(HaveOccurred())
		Expect(reply.Accepted.Revision).To(Equal(uint64(1)))
		Expect(m.submit(m.daemons[5], 2, ticket(1)).Accepted).To(Equal(reply.Accepted))
		m.run(2 * time.Second)
		m.expectRevision(1)
	})

	It("reports the expected number when a ticket has a later number", func() {
		err := m.submit(m.daemons[2], 1, ticket(4)).Err
		Expect(fault.KindOf(err)).To(Equal(fault.OutOfOrder))
		Expect(fault.As(err).Expected).To(Equal(uint64(1)))
	})

	It("accepts tickets and brings them into force after the controller has failed", func() {
		m.controller().kill()
		m.run(300 * time.Millisecond)
		var submitter *fakeDaemon
		for _, d := range m.daemons {
			if d.alive {
				submitter = d
			}
		}
		Expect(m.submit(submitter, 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(10 * time.Second)
		m.expectRevision(1)
	})

	It("replaces a controller that is the only daemon that cannot reach the platform", func() {
		old := m.controller()
		m.cutFromPlatform = func(d *fakeDaemon) bool { return d == old }
		m.run(time.Second)
		submitter := m.daemons[20]
		if submitter == old {
			submitter = m.daemons[19]
		}
		Expect(m.submit(submitter, 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(10 * time.Second)
		m.expectRevision(1)
		Expect(old.node.View().IsController).To(BeFalse())
	})

	It("refuses the writes and steps of a controller that was paused until after its lease had expired", func() {
		old := m.controller()
		Expect(m.submit(old, 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(time.Second)
		old.paused = true
		for id := range old.links {
			old.closeLink(id)
		}
		m.run(12 * time.Second)
		now := m.controller()
		Expect(now).NotTo(BeNil())
		Expect(now.node.View().Epoch).To(BeNumerically(">", old.node.View().Epoch))
		old.resume()
		m.run(5 * time.Second)
		Expect(old.node.View().IsController).To(BeFalse())
		Expect(m.submit(old, 2, ticket(2)).Err).NotTo(HaveOccurred())
		m.run(2 * time.Second)
		m.expectRevision(2)
	})

	It("refuses an outcome that a replaced controller decided before it was paused", func() {
		old := m.controller()
		Expect(m.submit(old, 1, ticket(1)).Err).NotTo(HaveOccurred())
		Expect(m.submit(old, 2, moveTicket(2, "service-1", m.now.Add(time.Minute))).Err).NotTo(HaveOccurred())
		m.run(time.Second)
		m.partitioned = func(a, b *fakeDaemon) bool { return a == old || b == old }
		m.closePartitionedLinks()
		for range 4 {
			old.handle(core.SamplesTaken{Samples: badSamples(2)})
		}
		old.paused = true
		m.run(12 * time.Second)
		Expect(m.controller()).NotTo(BeNil())
		before := m.head()
		old.resume()
		old.handle(core.Tick{})
		Expect(m.head()).To(Equal(before))
	})

	It("does not let a restarted daemon serve an older revision than before, even in an outage", func() {
		Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(time.Second)
		m.table.down = true
		d := m.daemons[23]
		if d == m.controller() {
			d = m.daemons[22]
		}
		d.kill()
		m.run(time.Second)
		d.start()
		m.run(100 * time.Millisecond)
		Expect(fault.KindOf(d.node.Ready())).To(Equal(fault.NotReady))
		m.table.down = false
		m.run(5 * time.Second)
		Expect(d.node.Ready()).To(Succeed())
		m.expectRevision(1)
	})

	It("lets a daemon that starts in an outage serve once the controller has proved its revision", func() {
		Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(time.Second)
		m.table.down = true
		d := m.daemons[22]
		d.kill()
		d.seeds = []string{m.daemons[4].name, m.daemons[7].name}
		d.start()
		m.run(15 * time.Second)
		Expect(d.node.Ready()).To(Succeed())
		m.expectRevision(1)
		m.controller().kill()
		m.run(2 * time.Second)
		d.kill()
		d.start()
		m.run(15 * time.Second)
		Expect(fault.KindOf(d.node.Ready())).To(Equal(fault.NotReady), "no controller can prove it")
	})

	It("continues to serve on both sides of a partition and catches up afterwards", func() {
		Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
		side := m.controller().domain
		m.partitioned = func(a, b *fakeDaemon) bool { return (a.domain == side) != (b.domain == side) }
		m.cutFromPlatform = func(d *fakeDaemon) bool { return d.domain != side }
		m.run(6 * time.Second)
		Expect(m.submit(m.controller(), 2, ticket(2)).Err).NotTo(HaveOccurred())
		m.run(2 * time.Second)
		Expect(m.controller().node.View().Statement.Revision).To(Equal(uint64(2)))
		Expect(m.controller().node.View().Statement.Unreachable).To(HaveLen(16))
		m.partitioned = func(*fakeDaemon, *fakeDaemon) bool { return false }
		m.cutFromPlatform = func(*fakeDaemon) bool { return false }
		m.run(15 * time.Second)
		m.expectRevision(2)
		Expect(m.controller().node.View().Statement.Unreachable).To(BeEmpty())
		for _, d := range m.daemons {
			Expect(d.config.Endpoints).To(HaveLen(24), d.name)
		}
	})

	It("removes a lost endpoint within seconds, unless it is the last one of its version", func() {
		announce := func(d *fakeDaemon, version string) {
			d.handle(core.TargetChanged{Target: member.Target{Service: "orders", Version: version, Slots: 10}, State: member.Ready})
		}
		announce(m.daemons[13], "v1")
		announce(m.daemons[14], "v1")
		announce(m.daemons[16], "v2")
		m.run(time.Second)
		m.daemons[13].kill()
		m.daemons[16].kill()
		m.run(5 * time.Second)
		for _, d := range m.daemons {
			if !d.alive {
				continue
			}
			Expect(d.config.Endpoints).NotTo(ContainElement(HaveField("VM", "vm-013")), d.name)
			Expect(d.config.Endpoints).To(ContainElement(HaveField("VM", "vm-016")), d.name)
		}
	})

	It("does not state a ticket in force while a member is missing, even if another one is counted twice", func() {
		root := m.controller()
		var leaf *fakeDaemon
		for _, d := range m.daemons {
			if d.node.View().Children == 0 && d.domain != root.domain {
				leaf = d
			}
		}
		leaf.paused = true
		hello := &wire.Hello{Vm: "vm-twice", Token: "secret"}
		for i := range peer.LinkID(2) {
			id := peer.AcceptedBit | (1000 + i)
			root.handle(core.LinkUp{Link: id})
			root.handle(core.FrameReceived{Link: id, Frame: &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}})
			root.handle(core.FrameReceived{Link: id, Frame: &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{Revision: 9, Members: 9}}}})
		}
		Expect(m.submit(root, 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(time.Second)
		Expect(root.node.View().Statement.Revision).To(BeZero())
	})

	It("overrides its own entry of an earlier start whose clock was ahead", func() {
		d := m.daemons[5]
		future := member.Endpoint{VM: d.name, Domain: d.domain, Incarnation: 1 << 60, Sequence: 4, State: member.Gone}
		frame := wire.EndpointsFrame((&member.Batch{Entries: []member.Endpoint{future}}).Encode())
		for id := range d.links {
			d.handle(core.FrameReceived{Link: id, Frame: frame})
		}
		m.run(2 * time.Second)
		Expect(m.daemons[20].config.Endpoints).To(ContainElement(And(HaveField("VM", d.name), HaveField("State", member.Ready))))
	})

	It("sets the brake on every daemon without the platform and records the take-back once the platform is available again", func() {
		Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
		Expect(m.submit(m.daemons[0], 2, moveTicket(2, "service-1", m.now.Add(time.Minute))).Err).NotTo(HaveOccurred())
		m.run(time.Second)
		m.table.down = true
		for range 4 {
			m.daemons[11].handle(core.SamplesTaken{Samples: badSamples(2)})
			m.run(500 * time.Millisecond)
		}
		for _, d := range m.daemons {
			Expect(d.config.Braked).To(HaveKey(uint64(2)), d.name)
		}
		m.run(10 * time.Second)
		m.table.down = false
		m.run(5 * time.Second)
		m.expectRevision(3)
		Expect(m.daemons[17].node.View().State.Outcomes[2].Result).To(Equal(model.TakenBack))
	})

	It("refuses a child with a wrong token and survives malformed frames", func() {
		d := m.daemons[1]
		d.handle(core.LinkUp{Link: 1 << 63})
		d.handle(core.FrameReceived{Link: 1 << 63, Frame: &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Vm: "stranger", Token: "guess"}}}})
		d.handle(core.FrameReceived{Link: 77, Frame: &wire.Frame{}})
		d.handle(core.FrameReceived{Link: 1<<63 | 5, Frame: &wire.Frame{Body: &wire.Frame_Records{Records: &wire.Records{Records: []*wire.Record{{}}}}}})
		Expect(d.node.View().Children).To(BeNumerically("<=", 16))
		m.run(time.Second)
		m.expectRevision(0)
	})

	It("recovers after all daemons restart at the same time", func() {
		Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
		m.run(time.Second)
		for _, d := range m.daemons {
			d.kill()
		}
		m.run(time.Second)
		for _, d := range m.daemons {
			d.start()
		}
		m.run(20 * time.Second)
		m.expectRevision(1)
	})
})

func badSamples(ticket uint64) []move.Sample {
	sample := func(isNew bool, errors uint32) move.Sample {
		s := move.Sample{Key: move.SampleKey{Ticket: ticket, Route: "service-1", Service: "service-1", New: isNew}, Requests: 200, Errors: errors}
		s.Latency[6] = 200
		return s
	}
	return []move.Sample{sample(false, 0), sample(true, 120)}
}

var _ = It("keeps the outcome of every ticket that was open, also when the state no longer contains it", func() {
	m := newMesh(3)
	m.addDaemons(1, 2)
	m.run(5 * time.Second)
	Expect(m.submit(m.daemons[0], 1, ticket(1)).Err).NotTo(HaveOccurred())
	Expect(m.submit(m.daemons[0], 2, moveTicket(2, "service-1", m.now.Add(time.Minute))).Err).NotTo(HaveOccurred())
	superseding := moveTicket(3, "service-1", m.now.Add(10*time.Second))
	superseding.Supersedes = 2
	Expect(m.submit(m.daemons[1], 3, superseding).Err).NotTo(HaveOccurred())
	m.run(time.Minute)
	Expect(m.daemons[0].node.View().State.Open).To(BeEmpty())
	results := map[uint64]model.Result{}
	for number := range uint64(4) {
		if item, ok := m.table.items[core.OutcomeKey(number)]; ok {
			outcome, err := wire.DecodeOutcome(item.Body)
			Expect(err).NotTo(HaveOccurred())
			results[outcome.Ticket] = outcome.Result
		}
	}
	Expect(results).To(Equal(map[uint64]model.Result{2: model.Superseded, 3: model.TakenBack}))
})
