package mesh_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

func TestMesh(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mesh")
}

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// fleet is a set of nodes with an in-memory store and a simulated clock.
type fleet struct {
	now   time.Time
	nodes map[string]*mesh.Node
	vms   []string
	// partitioned holds the nodes that can reach neither the store nor other nodes.
	partitioned map[string]bool
	// storeRejectedVM is the VM whose requests the store rejects; it can reach the
	// other nodes.
	storeRejectedVM string
	stored          map[rows.Key]rows.Row
	version         uint64
	era             uint64
	// storeDown is true while the store rejects all writes.
	storeDown bool
	statuses  []mesh.Status
	writes    int
	sampledAt time.Time
	// answers decides how the store's responses to performed writes arrive; nil means at
	// once. lateAnswers holds those that arrive at a later tick.
	answers     func(c mesh.Commit) answer
	lateAnswers []lateAnswer
	// feedRejectedVM is the VM that receives no changed rows; the store performs its writes.
	feedRejectedVM string
	// incarnation is that of the last replaced target; those of the first targets are 1.
	incarnation uint64
	// samplesOf returns the samples that the VM's daemon takes in one interval.
	samplesOf func(vm string, order uint64, permille uint32) []move.Sample
}

// answer is how the response to a performed write arrives.
type answer int

const (
	answered answer = iota
	// answeredLate responses arrive answerDelay after the row.
	answeredLate
	// answerLost responses never arrive, and the write fails for its daemon.
	answerLost
)

// answerDelay is the delay of late responses. It covers two ticks.
const answerDelay = 2 * mesh.TickInterval

type lateAnswer struct {
	at   time.Time
	done func(now time.Time)
}

func newFleet(targets map[string]string) *fleet {
	f := &fleet{now: start, nodes: map[string]*mesh.Node{}, partitioned: map[string]bool{}, stored: map[rows.Key]rows.Row{}, incarnation: 1}
	config := configuration(1)
	for i := range len(targets) {
		vm := fmt.Sprintf("vm%d", i)
		f.vms = append(f.vms, vm)
		f.startNode(vm, uint64(i+1))
		f.nodes[vm].SetConfiguration(config)
		record := mesh.TargetRecord{VM: vm, Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: vm, Service: "order", Version: targets[vm], Instance: "i", Slots: 10}
		f.put(record.Row())
	}
	return f
}

func (f *fleet) startNode(vm string, run uint64) {
	f.nodes[vm] = mesh.NewNode(mesh.Self{VM: vm, Run: run, Domain: "a", Inbound: "10.0.0.1:1", Peer: vm})
}

func configuration(version uint64) *mesh.Configuration {
	return &mesh.Configuration{
		Version:  version,
		Services: map[string]mesh.Service{"order": {Name: "order"}},
		Routes:   []model.Route{{Name: "r", PathPrefix: "/", Service: "order", Class: model.Normal}},
	}
}

func (f *fleet) put(row rows.Row) {
	f.version++
	row.Version = f.version
	f.stored[row.Key] = row
	for vm, n := range f.nodes {
		if !f.partitioned[vm] && vm != f.storeRejectedVM && vm != f.feedRejectedVM {
			Expect(n.ApplyChanges(f.now, []rows.Change{{Row: row}})).To(BeEmpty())
		}
	}
}

// maxTransactionEntries is the number of entries that a store accepts in a
// transaction.
const maxTransactionEntries = 100

func (f *fleet) commit(tx rows.Transaction) (uint64, error) {
	if len(tx.Conditions)+len(tx.Writes)+len(tx.Removes) > maxTransactionEntries {
		return 0, fault.New(fault.Invalid, "the transaction has too many entries")
	}
	for _, c := range tx.Conditions {
		required := c.Version
		if rows.Era(required) < f.era || rows.Counter(required) == 0 {
			required = 0
		}
		if f.stored[c.Key].Version != required {
			return 0, &rows.ConflictError{Rows: f.conditionRows(tx), Cause: fault.New(fault.ConditionFailed, "conflict")}
		}
	}
	f.writes++
	for _, row := range tx.Writes {
		f.put(row)
	}
	return f.version, nil
}

// conditionRows returns the current rows of the transaction's conditions.
func (f *fleet) conditionRows(tx rows.Transaction) []rows.Row {
	var current []rows.Row
	for _, c := range tx.Conditions {
		if row, ok := f.stored[c.Key]; ok {
			current = append(current, row)
		}
	}
	return current
}

// orderMove submits an order to all nodes that are not partitioned.
func (f *fleet) orderMove(version string, within time.Duration) uint64 {
	f.version++
	for vm, n := range f.nodes {
		if !f.partitioned[vm] {
			n.SetOrder(mesh.Order{Service: "order", Version: version, Within: within, Revision: f.version})
		}
	}
	return f.version
}

// backup is a copy of the store's rows.
type backup struct {
	rows    []rows.Row
	version uint64
}

func (f *fleet) backup() backup { return backup{storedRows(f), f.version} }

// restore replaces the rows of the store by those of the backup in a new era and
// resets all nodes that are not partitioned.
func (f *fleet) restore(b backup) {
	f.era++
	f.version = rows.Version(f.era, b.version)
	f.stored = map[rows.Key]rows.Row{}
	for _, row := range b.rows {
		row.Version = rows.Version(f.era, row.Version)
		f.stored[row.Key] = row
	}
	for vm := range f.nodes {
		if !f.partitioned[vm] {
			f.reset(vm)
		}
	}
}

// reset resets the node to the store's rows.
func (f *fleet) reset(vm string) {
	f.nodes[vm].SetEra(f.now, f.era)
	Expect(f.nodes[vm].Reset(f.now, storedRows(f))).To(BeEmpty())
}

// run advances the clock by d and ticks all nodes at each interval.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(mesh.TickInterval) {
		f.deliverLateAnswers()
		report := f.now.Sub(f.sampledAt) >= move.SampleInterval
		if report {
			f.sampledAt = f.now
		}
		for _, vm := range f.vms {
			f.tick(vm, report)
		}
	}
}

func (f *fleet) tick(vm string, report bool) {
	n := f.nodes[vm]
	var samples []move.Sample
	if order, _ := n.OpenMove("order"); report && order != 0 && f.samplesOf != nil {
		samples = f.samplesOf(vm, order, n.Routing().Steps[order].Permille)
	}
	commits, reports := n.Tick(f.now, f.now.Sub(start), true, samples, report)
	for _, c := range commits {
		version, err := uint64(0), fault.New(fault.Unavailable, "the store is unreachable")
		if !f.storeDown && !f.partitioned[vm] && vm != f.storeRejectedVM {
			version, err = f.commit(c.Transaction)
		}
		if err == nil && c.Status != nil {
			f.statuses = append(f.statuses, *c.Status)
		}
		f.respond(c, version, err)
	}
	for _, r := range reports {
		reply, err := mesh.Reply{}, fault.New(fault.Unavailable, "the leader is unreachable")
		if !f.partitioned[vm] && !f.partitioned[r.Address] {
			reply, err = f.nodes[r.Address].HandleReport(f.now, vm, r)
		}
		n.HandleReply(f.now, r, reply, err)
	}
}

// respond passes the result of a write to its daemon.
func (f *fleet) respond(c mesh.Commit, version uint64, err error) {
	how := answered
	if err == nil && f.answers != nil {
		how = f.answers(c)
	}
	switch how {
	case answered:
		c.Done(f.now, version, err)
	case answerLost:
		c.Done(f.now, 0, fault.New(fault.Unavailable, "the response was lost"))
	case answeredLate:
		f.lateAnswers = append(f.lateAnswers, lateAnswer{f.now.Add(answerDelay), func(now time.Time) { c.Done(now, version, nil) }})
	}
}

// deliverLateAnswers passes the responses that are due to their daemons.
func (f *fleet) deliverLateAnswers() {
	f.lateAnswers = slices.DeleteFunc(f.lateAnswers, func(a lateAnswer) bool {
		due := !f.now.Before(a.at)
		if due {
			a.done(f.now)
		}
		return due
	})
}

func (f *fleet) states() []mesh.StatusState {
	var states []mesh.StatusState
	for _, s := range f.statuses {
		states = append(states, s.State)
	}
	return states
}

// traffic returns samples for 100 requests per second over all nodes. The
// fraction failing of the requests to the new version fails.
func traffic(failing float64) func(string, uint64, uint32) []move.Sample {
	return func(vm string, order uint64, permille uint32) []move.Sample {
		isNew := vm == "vm2" || vm == "vm3"
		share := 1 - float64(permille)/move.FullProgress
		if isNew {
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

// moveRow is the part of a move's row that tests check.
type moveRow struct {
	Order  uint64 `json:"order"`
	Leader string `json:"leader"`
	Epoch  uint64 `json:"epoch"`
	Result string `json:"result"`
	// AcceptedMS is in milliseconds after start.
	AcceptedMS int64  `json:"accepted_ms"`
	Permille   uint32 `json:"permille"`
}

func (f *fleet) moveRow() moveRow {
	var record moveRow
	row := f.stored[rows.Key{Table: mesh.Table, Name: "move/order"}]
	Expect(json.Unmarshal(row.Value, &record)).To(Succeed())
	return record
}

// acceptedAt returns when the leader accepted the order of the stored move.
func (f *fleet) acceptedAt() time.Time {
	return start.Add(time.Duration(f.moveRow().AcceptedMS) * time.Millisecond)
}

// step returns the order and the progress of the stored move.
func (f *fleet) step() (order uint64, permille uint32) {
	row := f.moveRow()
	return row.Order, row.Permille
}

func (f *fleet) orderRevision() uint64 { return f.moveRow().Order }

func leaderOf(f *fleet) string { return f.moveRow().Leader }

func storedRows(f *fleet) []rows.Row {
	return slices.Collect(maps.Values(f.stored))
}

// crashCommits ticks the node and returns its writes of crash counts.
func (f *fleet) crashCommits(vm string) []mesh.Commit {
	GinkgoHelper()
	commits, _ := f.nodes[vm].Tick(f.now, f.now.Sub(start), true, nil, false)
	commits = slices.DeleteFunc(commits, func(c mesh.Commit) bool { return c.Transaction.Writes[0].Name != "crash/7" })
	Expect(commits).To(HaveLen(1))
	return commits
}
