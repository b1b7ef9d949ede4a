package mesh_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// evidenceFleet has six old targets and three new ones, on vm6 to vm8.
func evidenceFleet() *fleet {
	targets := map[string]string{}
	for i := range 9 {
		targets[fmt.Sprintf("vm%d", i)] = map[bool]string{false: "v1", true: "v2"}[i >= 6]
	}
	f := newFleet(targets)
	f.replaceTargets("vm0 "+fastLinkVM, "v1")
	f.run(2 * time.Second)
	f.samplesOf = trafficTo("vm6 vm7 vm8", 0)
	return f
}

var _ = Describe("evidence of a new version", func() {
	const within = 15 * time.Second

	// Guards against a move that goes on because the daemons of the old version report: they
	// collect no evidence of the new one.
	It("holds the move while most of its daemons do not report", func() {
		f := evidenceFleet()
		f.orderMove("v2", within)
		f.run(3 * time.Second)
		f.partitioned["vm6"], f.partitioned["vm7"] = true, true
		f.run(2 * time.Second)
		_, held := f.step()
		f.run(5 * time.Second)
		_, permille := f.step()
		Expect(permille).To(Equal(held))
		Expect(f.nodes[leaderOf(f)].HoldReason("order")).To(Equal("evidence does not reach the controller"))
	})

	// Guards against a move that waits for a daemon that has failed.
	It("completes the move in time without one of its daemons", func() {
		f := evidenceFleet()
		f.orderMove("v2", within)
		f.run(3 * time.Second)
		f.partitioned["vm6"] = true
		f.run(within - 3*time.Second)
		Expect(f.states()).To(HaveExactElements(mesh.StatusRunning, mesh.StatusDone))
	})

	// Guards against evidence that is dropped as a whole since there are many routes.
	It("is reported in full for any number of routes", func() {
		f := evidenceFleet()
		f.orderMove("v2", within)
		f.run(time.Second)
		order, _ := f.step()
		const routes = 700
		var samples []move.Sample
		for i := range routes {
			for _, isNew := range []bool{false, true} {
				samples = append(samples, move.Sample{Key: move.SampleKey{Ticket: order, Route: fmt.Sprintf("r%d", i), Service: "order", New: isNew}, Requests: 2, Errors: 1, AnsweredErrors: 1})
			}
		}
		node := f.nodes["vm6"]
		_, reports := node.Tick(f.now, f.now.Sub(start), true, samples, true)
		Expect(reports).To(HaveLen(1))
		sum := func(r mesh.Report) (requests, failed uint32) {
			for _, s := range r.Samples {
				requests, failed = requests+s.Requests, failed+s.Errors
			}
			return requests, failed
		}
		requests, failed := sum(reports[0])
		Expect([]uint32{requests, failed}).To(Equal([]uint32{4 * routes, 2 * routes}))

		node.HandleReply(f.now, reports[0], mesh.Reply{}, fault.New(fault.Unavailable, "the leader is unreachable"))
		_, again := node.Tick(f.now.Add(move.SampleInterval), f.now.Add(move.SampleInterval).Sub(start), true, samples, true)
		requests, failed = sum(again[0])
		Expect([]uint32{requests, failed}).To(Equal([]uint32{8 * routes, 4 * routes}))
	})
})
