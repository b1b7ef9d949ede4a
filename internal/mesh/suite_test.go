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

// fleet is a few nodes with a store in memory and a clock of its own.
type fleet struct {
	now   time.Time
	nodes map[string]*mesh.Node
	order []string
	// cut holds the nodes that reach neither the store nor each other.
	cut map[string]bool
	// refused is turned away by the store but reaches the others.
	refused  string
	stored   map[rows.Key]rows.Row
	version  uint64
	statuses []mesh.Status
	writes   int
	sampled  time.Time
	// sample returns what the daemon beside the target saw in an interval.
	sample func(vm string, order uint64, permille uint32) []move.Sample
}

func newFleet(targets map[string]string) *fleet {
	f := &fleet{now: start, nodes: map[string]*mesh.Node{}, cut: map[string]bool{}, stored: map[rows.Key]rows.Row{}}
	config := configuration(1)
	for i := range len(targets) {
		vm := fmt.Sprintf("vm%d", i)
		f.order = append(f.order, vm)
		f.start(vm, uint64(i+1))
		f.nodes[vm].SetConfiguration(config)
		record := mesh.TargetRecord{VM: vm, Incarnation: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: vm, Service: "order", Version: targets[vm], Instance: "i", Slots: 10}
		f.put(record.Row())
	}
	return f
}

func (f *fleet) start(vm string, run uint64) {
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
		if !f.cut[vm] && vm != f.refused {
			Expect(n.Change(f.now, []rows.Change{{Row: row}})).To(BeEmpty())
		}
	}
}

func (f *fleet) commit(tx rows.Transaction) (uint64, error) {
	for _, c := range tx.Conditions {
		if f.stored[c.Key].Version != c.Version {
			return 0, &rows.ConflictError{Cause: fault.New(fault.ConditionFailed, "conflict")}
		}
	}
	f.writes++
	for _, row := range tx.Writes {
		f.put(row)
	}
	return f.version, nil
}

// orderMove orders a move on all nodes that are not cut off.
func (f *fleet) orderMove(version string, within time.Duration) uint64 {
	f.version++
	for vm, n := range f.nodes {
		if !f.cut[vm] {
			n.SetOrder(mesh.Order{Service: "order", Version: version, Within: within, Revision: f.version})
		}
	}
	return f.version
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(mesh.TickInterval) {
		report := f.now.Sub(f.sampled) >= move.SampleInterval
		if report {
			f.sampled = f.now
		}
		for _, vm := range f.order {
			f.tick(vm, report)
		}
	}
}

func (f *fleet) tick(vm string, report bool) {
	n := f.nodes[vm]
	var samples []move.Sample
	if order, _ := n.Move("order"); report && order != 0 && f.sample != nil {
		samples = f.sample(vm, order, n.Routing().Steps[order].Permille)
	}
	commits, reports := n.Tick(f.now, f.now.Sub(start), true, samples, report)
	for _, c := range commits {
		version, err := uint64(0), fault.New(fault.Unavailable, "cut off")
		if !f.cut[vm] && vm != f.refused {
			version, err = f.commit(c.Transaction)
		}
		if err == nil && c.Status != nil {
			f.statuses = append(f.statuses, *c.Status)
		}
		c.Done(f.now, version, err)
	}
	for _, r := range reports {
		reply, err := mesh.Reply{}, fault.New(fault.Unavailable, "cut off")
		if !f.cut[vm] && !f.cut[r.Address] {
			reply, err = f.nodes[r.Address].TakeReport(f.now, vm, r)
		}
		n.Reported(f.now, r, reply, err)
	}
}

func (f *fleet) states() []mesh.StatusState {
	var states []mesh.StatusState
	for _, s := range f.statuses {
		states = append(states, s.State)
	}
	return states
}

// traffic is 100 requests a second, with the failing part at the new version.
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

// moveRow is the part of a move's row that tests look at.
type moveRow struct {
	Order  uint64 `json:"order"`
	Leader string `json:"leader"`
}

func (f *fleet) moveRow() moveRow {
	var record moveRow
	row := f.stored[rows.Key{Table: mesh.Table, Name: "move/order"}]
	Expect(json.Unmarshal(row.Value, &record)).To(Succeed())
	return record
}

func (f *fleet) orderRevision() uint64 { return f.moveRow().Order }

func leaderOf(f *fleet) string { return f.moveRow().Leader }

func values(f *fleet) []rows.Row {
	return slices.Collect(maps.Values(f.stored))
}
