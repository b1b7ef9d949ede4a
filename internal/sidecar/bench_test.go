package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// BenchmarkPublish measures the cost of one changed row at a daemon in a mesh
// of n targets.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{30, 300} {
		for _, routes := range []int{10, 1400} {
			b.Run(fmt.Sprintf("%d targets, %d routes", n, routes), func(b *testing.B) {
				d := New(Config{VM: "vm0", Domain: "d0", Operators: noOperators{}, Logger: logging.Discard().Component("test"), LinkRate: 1 << 20})
				c := &mesh.Configuration{Version: 1, Services: map[string]mesh.Service{"order": {Name: "order"}, "vault": {Name: "vault"}}}
				for i := range routes {
					c.Routes = append(c.Routes, model.Route{Name: fmt.Sprintf("r%d", i), Host: "h", PathPrefix: fmt.Sprintf("/p%d/", i), Service: "order"})
				}
				d.node.SetConfiguration(c)
				record := func(i int, sequence uint64) *mesh.TargetRecord {
					return &mesh.TargetRecord{VM: fmt.Sprintf("vm%d", i), Incarnation: 1, Sequence: sequence, State: "ready", Domain: fmt.Sprintf("d%d", i%5), Inbound: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Peer: "x:1", Service: "order", Version: "v1", Slots: 6}
				}
				for i := range n {
					d.node.MergeTarget(time.Now(), record(i, 1))
				}
				d.publish()
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					d.node.MergeTarget(time.Now(), record(1, uint64(i+2)))
					d.publish()
				}
			})
		}
	}
}
