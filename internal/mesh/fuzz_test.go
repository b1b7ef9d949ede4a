package mesh_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// maxFuzzValueBytes bounds the values of generated rows.
const maxFuzzValueBytes = 4 << 10

// newLeadingNode returns a node that leads the open move of a service.
func newLeadingNode() (*mesh.Node, time.Time) {
	now, version := start, uint64(3)
	n := mesh.NewNode(mesh.Self{VM: "vm0", Run: 1, Domain: "a", Inbound: "10.0.0.1:1", Peer: "vm0"})
	n.SetConfiguration(configuration(1))
	var changes []rows.Change
	for vm, running := range map[string]string{"vm0": "v1", "vm1": "v2"} {
		record := mesh.TargetRecord{VM: vm, Incarnation: 1, Sequence: 1, State: "ready", Domain: "a", Inbound: "10.0.0.1:1", Peer: vm, Service: "order", Version: running, Instance: "i", Slots: 10}
		row := record.Row()
		row.Version = 1
		changes = append(changes, rows.Change{Row: row})
	}
	baseline := rows.Row{Key: rows.Key{Table: mesh.Table, Name: "baseline/order"}, Value: []byte(`{"version":"v1"}`), Version: 2}
	n.ApplyChanges(now, append(changes, rows.Change{Row: baseline}))
	n.SetOrder(mesh.Order{Service: "order", Version: "v2", Within: time.Minute, Revision: 3})
	for range 5 {
		now = now.Add(mesh.TickInterval)
		tick(n, now, &version)
	}
	return n, now
}

// tick ticks the node once, with a store that applies all writes.
func tick(n *mesh.Node, now time.Time, version *uint64) {
	commits, _ := n.Tick(now, now.Sub(start), true, nil, true)
	for _, c := range commits {
		*version++
		c.Done(now, *version, nil)
	}
}

// nodeState returns all state of the node that its callers can read.
func nodeState(t testing.TB, n *mesh.Node, now time.Time) string {
	t.Helper()
	order, to := n.OpenMove("order")
	state, err := json.Marshal([]any{n.KnownOrders(), n.KnownRows(now), n.CrashCounts(), n.Routing(), n.PeerAddresses(), n.Daemons(), n.DaemonShares(), n.OwnTarget(), n.Relay(), order, to, n.HoldReason("order")})
	if err != nil {
		t.Fatalf("the state of the node cannot be encoded: %v", err)
	}
	return string(state)
}

// FuzzMeshRows guards against rows of the mesh table that crash a node, change its
// state although they are refused, or change when they are sent on.
func FuzzMeshRows(f *testing.F) {
	for _, seed := range []struct{ name, value string }{
		{"target/vm1", `{"vm":"vm1","incarnation":2,"state":"gone","inbound":"10.0.0.2:1","service":"order","version":"v2","slots":4,"cold_ms":-1}`},
		{"target/vm1", `{"vm":"vm1","era":16777216,"incarnation":18446744073709551615,"inbound":"x","slots":4097}`},
		{"target/vm1", `{"vm":"vm2","inbound":"x"}`},
		{"target/", `{"inbound":"x"}`},
		{"baseline/order", `{"version":"v3","era":1,"origin":7}`},
		{"move/order", `{"order":3,"service":"order","from":"v1","to":"v2","accepted_ms":1,"finish_ms":60001,"epoch":9,"leader":"vm1","number":3,"permille":5000}`},
		{"move/order", `{"order":3,"result":"done","epoch":1,"from":"v1","to":"v2"}`},
		{"move/other", `{"order":4,"finish_ms":-9223372036854775808}`},
		{"crash/7", `{"count":4294967295}`},
		{"crash/0007", `{"count":1}`},
		{"crash/10000000000000000", `{"count":1}`},
		{"move/order", `[`}, {"baseline/order", `{"version":1}`}, {"", ""}, {"target/vm1", "null"},
	} {
		f.Add(seed.name, []byte(seed.value), uint64(9), uint64(0))
		f.Add(seed.name, []byte(seed.value), rows.Version(1, 2), uint64(1))
	}
	f.Fuzz(func(t *testing.T, name string, value []byte, version, era uint64) {
		if len(value) > maxFuzzValueBytes || len(name) > maxFuzzValueBytes {
			return
		}
		n, now := newLeadingNode()
		before := nodeState(t, n, now)
		row := rows.Row{Key: rows.Key{Table: mesh.Table, Name: name}, Value: value, Version: version}
		failures := n.ApplyChanges(now, []rows.Change{{Row: row}})
		for _, err := range failures {
			if !fault.Is(err, fault.Invalid) {
				t.Fatalf("error without the kind of an invalid row: %v", err)
			}
		}
		if after := nodeState(t, n, now); len(failures) > 0 && after != before {
			t.Fatalf("a refused row changed the state\nfrom %s\nto   %s", before, after)
		}
		if record, err := mesh.DecodeTarget(row); err == nil {
			again, err := mesh.DecodeTarget(record.Row())
			if err != nil || !reflect.DeepEqual(record, again) {
				t.Fatalf("a target record changes when it is sent on: %+v, %+v, %v", record, again, err)
			}
		}
		checkSentOn(t, n, now)
		counter := uint64(100)
		for range 5 {
			now = now.Add(time.Second)
			tick(n, now, &counter)
		}
		n.SetEra(now, era)
		n.Reset(now, []rows.Row{row})
		tick(n, now.Add(time.Minute), &counter)
		nodeState(t, n, now)
		if n.Daemons() < 1 {
			t.Fatal("a mesh without daemons")
		}
	})
}

// checkSentOn fails unless another node that applies the state of the node has the
// same state.
func checkSentOn(t *testing.T, n *mesh.Node, now time.Time) {
	t.Helper()
	known := n.KnownRows(now)
	other := mesh.NewNode(mesh.Self{VM: "vm9"})
	if failures := other.ApplyKnown(now, n.KnownOrders(), known); len(failures) > 0 {
		t.Fatalf("another node refuses the state: %v", failures)
	}
	received := other.KnownRows(now)
	if len(received) != len(known) {
		t.Fatalf("%d rows become %d when they are sent on", len(known), len(received))
	}
	for i := range received {
		if received[i].Key != known[i].Key || string(received[i].Value) != string(known[i].Value) {
			t.Fatalf("the state changes when it is sent on: row %d was %q and is %q", i, known[i].Value, received[i].Value)
		}
	}
}

// FuzzOrders guards against orders that crash a node, that replace newer ones, or
// that another node takes for other ones.
func FuzzOrders(f *testing.F) {
	f.Add("order", "v3", int64(time.Minute), uint64(9), "v2", uint64(10))
	f.Add("order", "v2", int64(time.Minute), rows.Version(1, 3), "v2", rows.Version(2, 3))
	f.Add("", "", int64(-1<<63), uint64(1<<64-1), "", uint64(0))
	f.Add("other", "v1", int64(0), uint64(1), "v1", uint64(1))
	f.Fuzz(func(t *testing.T, service, version string, within int64, revision uint64, secondVersion string, second uint64) {
		n, now := newLeadingNode()
		orders := []mesh.Order{
			{Service: service, Version: version, Within: time.Duration(within), Revision: revision},
			{Service: service, Version: secondVersion, Within: time.Duration(within), Revision: second},
		}
		newest := map[string]uint64{"order": 3}
		for _, o := range orders {
			if n.SetOrder(o) && o.Revision <= newest[o.Service] {
				t.Fatalf("order of revision %d replaces one of revision %d", o.Revision, newest[o.Service])
			}
			newest[o.Service] = max(newest[o.Service], o.Revision)
			if n.SetOrder(o) {
				t.Fatalf("order %+v was taken twice", o)
			}
		}
		other := mesh.NewNode(mesh.Self{VM: "vm9"})
		other.ApplyKnown(now, n.KnownOrders(), n.KnownRows(now))
		if got, want := other.OrderedServices(), n.OrderedServices(); !reflect.DeepEqual(got, want) {
			t.Fatalf("another node has orders of %q instead of %q", got, want)
		}
		counter := uint64(100)
		for range 5 {
			now = now.Add(time.Second)
			tick(n, now, &counter)
		}
		nodeState(t, n, now)
	})
}
