package mesh_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// trafficTo returns samples for 100 requests per second over all nodes. The targets on newVMs
// run the new version, of whose requests the fraction failing fails.
func trafficTo(newVMs string, failing float64) func(string, uint64, uint32) []move.Sample {
	return func(vm string, order uint64, permille uint32) []move.Sample {
		isNew := strings.Contains(newVMs, vm)
		share := float64(permille) / move.FullProgress
		if !isNew {
			share = 1 - share
		}
		s := move.Sample{Key: move.SampleKey{Ticket: order, Route: "r", Service: "order", New: isNew}}
		s.Requests = uint32(share * 25)
		if isNew {
			s.Errors = uint32(failing * float64(s.Requests))
		}
		s.Latency[10] = s.Requests
		return []move.Sample{s}
	}
}

// fastLinkVM has the fastest link, so that it leads all moves.
const fastLinkVM = "vm1"

// replaceTargets starts targets of the version on the VMs in place of their earlier ones.
func (f *fleet) replaceTargets(vms, version string) {
	for vm := range strings.FieldsSeq(vms) {
		record := mesh.TargetRecord{VM: vm, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: vm, Service: "order", Version: version, Instance: "i2", Slots: 10}
		f.incarnation++
		record.Incarnation = f.incarnation
		if vm == fastLinkVM {
			record.LinkRate = 25_000_000
		}
		f.put(record.Row())
	}
}

var _ = Describe("a later order of a service", func() {
	const within = 15 * time.Second
	var f *fleet
	BeforeEach(func() {
		f = newFleet(map[string]string{"vm0": "v1", "vm1": "v1", "vm2": "v2", "vm3": "v2"})
		f.replaceTargets(fastLinkVM, "v1")
		f.run(2 * time.Second)
	})

	// moveEnded runs the move to v2 until it ends. A version that fails is taken back.
	moveEnded := func(failing float64) func() {
		return func() {
			f.samplesOf = trafficTo("vm2 vm3", failing)
			f.orderMove("v2", within)
			f.run(within)
		}
	}
	// superseded leaves the move to v2 open at a step that its leader has decided.
	superseded := func() {
		f.samplesOf = trafficTo("vm2 vm3", 0)
		f.orderMove("v2", within)
		f.run(8 * time.Second)
	}
	// braked leaves the move to v2 open with a decision to take it back, which the store
	// does not perform.
	braked := func() {
		f.samplesOf = trafficTo("vm2 vm3", 0)
		f.orderMove("v2", within)
		f.run(7 * time.Second)
		f.samplesOf = trafficTo("vm2 vm3", 1)
		f.storeDown = true
		f.run(4 * time.Second)
		f.storeDown = false
	}
	earlier := []struct {
		name string
		run  func()
		// vms are those of the later order's version.
		vms string
	}{
		{"was completed", moveEnded(0), "vm0 vm1"},
		{"was taken back", moveEnded(0.5), "vm2 vm3"},
		{"is superseded at a step", superseded, "vm2 vm3"},
		{"is superseded when it is to be taken back", braked, "vm2 vm3"},
	}
	writes := []struct {
		name string
		lead answer
	}{
		{"is answered", answered},
		{"is answered after the row arrives", answeredLate},
		{"has its answer lost", answerLost},
	}
	var entries []TableEntry
	for _, e := range earlier {
		for _, w := range writes {
			entries = append(entries, Entry(fmt.Sprintf("when the earlier one %s and the write that takes the lead %s", e.name, w.name), e.run, e.vms, w.lead))
		}
	}

	// leadAnswers sets how the first write that takes the lead of the later order is answered.
	leadAnswers := func(how answer) {
		first := true
		f.answers = func(c mesh.Commit) answer {
			if !first || c.Status == nil || c.Status.Version != "v3" {
				return answered
			}
			first = false
			return how
		}
	}
	// lastStates returns the states of the later order.
	lastStates := func() (states []mesh.StatusState) {
		for _, s := range f.statuses {
			if s.Version == "v3" {
				states = append(states, s.State)
			}
		}
		return states
	}

	// Guards against a daemon that led the earlier move in the same epoch and applies that
	// move's final decision to the later order: a bad version got all requests 0.2 s after it.
	DescribeTable("is judged by its own evidence and taken back when its version is bad", func(earlier func(), vms string, lead answer) {
		earlier()
		f.replaceTargets(vms, "v3")
		f.samplesOf = trafficTo(vms, 0.5)
		leadAnswers(lead)
		f.orderMove("v3", within)
		f.run(within)
		Expect(lastStates()).To(HaveExactElements(mesh.StatusRunning, mesh.StatusTakenBack))
	}, entries)

	// Guards against the same decision where it takes a good version back, and against a move
	// that waits for a leader that has lost the response to its own write.
	DescribeTable("is completed in time when its version is good", func(earlier func(), vms string, lead answer) {
		earlier()
		f.replaceTargets(vms, "v3")
		f.samplesOf = trafficTo(vms, 0)
		leadAnswers(lead)
		f.orderMove("v3", within)
		f.run(4 * time.Second)
		Expect(lastStates()).To(HaveExactElements(mesh.StatusRunning))
		f.run(within - 4*time.Second)
		Expect(lastStates()).To(HaveExactElements(mesh.StatusRunning, mesh.StatusDone))
	}, entries)

	// Guards against a second leadership of the same move: the daemon that has lost the
	// response to its write took the lead again 1.5 s later.
	It("keeps its first leader when the answer to the write that takes the lead is lost", func() {
		leadAnswers(answerLost)
		f.samplesOf = trafficTo("vm2 vm3", 0)
		f.replaceTargets("vm2 vm3", "v3")
		f.orderMove("v3", within)
		f.run(5 * time.Second)
		Expect(leaderOf(f)).To(Equal(fastLinkVM))
		Expect(f.moveRow().Epoch).To(Equal(uint64(1)))
	})

	// Guards against a schedule that begins with an earlier order for which no move was
	// started: the later move then had less time than its order allows.
	It("has its time counted from its own arrival", func() {
		f.storeDown = true
		f.orderMove("v2", within)
		f.run(8 * time.Second)
		f.storeDown = false
		f.samplesOf = trafficTo("vm2 vm3", 0)
		f.replaceTargets("vm2 vm3", "v3")
		ordered := f.now
		f.orderMove("v3", within)
		f.run(2 * time.Second)
		Expect(f.acceptedAt()).To(BeTemporally(">=", ordered))
	})

	// Guards against a move from a version whose targets have stopped: a failed condition
	// returns the record of the completed move, but not the baseline of the same transaction.
	It("moves traffic from the version of a completed move whose baseline has not arrived", func() {
		f.samplesOf = trafficTo("vm2 vm3", 0)
		f.orderMove("v2", within)
		f.run(8 * time.Second)
		f.feedRejectedVM = "vm0"
		f.run(7 * time.Second)
		Expect(f.moveRow().Result).To(Equal("done"))
		behind := f.nodes[f.feedRejectedVM]
		for _, row := range storedRows(f) {
			if row.Name == "move/order" {
				Expect(behind.ApplyChanges(f.now, []rows.Change{{Row: row}})).To(BeEmpty())
			}
		}
		Expect(behind.Routing().State.Services["order"].Versions).To(Equal([]string{"v2"}))
		behind.SetOrder(mesh.Order{Service: "order", Version: "v3", Within: within, Revision: f.version + 1})
		commits, _ := behind.Tick(f.now, f.now.Sub(start), true, nil, false)
		afterOthers := f.now.Add(time.Second)
		later, _ := behind.Tick(afterOthers, afterOthers.Sub(start), true, nil, false)
		commits = append(commits, later...)
		Expect(commits).To(HaveLen(1))
		Expect(string(commits[0].Transaction.Writes[0].Value)).To(ContainSubstring(`"from":"v2"`))
	})

	// Guards against a planner that outlives the record of its move.
	It("starts anew when the row of an earlier move was removed", func() {
		moveEnded(0)()
		key := rows.Key{Table: mesh.Table, Name: "move/order"}
		delete(f.stored, key)
		for _, vm := range f.vms {
			f.nodes[vm].ApplyChanges(f.now, []rows.Change{{Row: rows.Row{Key: key}, Removed: true}})
			Expect(f.nodes[vm].HoldReason("order")).To(BeEmpty())
		}
		f.replaceTargets("vm0 vm1", "v3")
		f.samplesOf = trafficTo("vm0 vm1", 0.5)
		f.orderMove("v3", within)
		f.run(within)
		Expect(lastStates()).To(HaveExactElements(mesh.StatusRunning, mesh.StatusTakenBack))
	})
})
