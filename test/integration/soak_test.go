package integration_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// maxSoakPause is the longest pause between two faults of a soak.
const maxSoakPause = 4 * time.Second

// The soak is not part of CI. The spec exists only if the flag for the soak is
// set, which make soak does.
var _ = Describe("soak with random faults", func() {
	if *soakMinutes <= 0 {
		return
	}
	It("keeps the invariants: guards against failures under combinations of faults that no scenario covers", func() {
		limit := time.Duration(*soakMinutes * float64(time.Minute))
		if failed, _ := runScenario(scenario{name: "soak", seed: 1, run: func(w *world) { soak(w, limit) }}, scenarioRunner.bin); failed != "" {
			Fail(failed)
		}
	})
})

// soak injects randomly chosen faults, determined by the seed, until the limit
// is reached.
func soak(w *world, limit time.Duration) {
	actions := []func(w *world){soakKill, soakHerd, soakSuspend, soakCut, soakPlatform, soakDelay, soakStop, soakTickets}
	w.minAnswered = herdMinAnswered
	w.start(defaultTargets)
	w.startLoad(defaultRate / 2)
	for end := time.Now().Add(limit); time.Now().Before(end); {
		actions[w.random.IntN(len(actions))](w)
		w.pause(w.randomDuration(time.Second, maxSoakPause))
		w.accept(newRouteTicket(w.nextNumber(), fmt.Sprintf("soak-%d", w.next)))
	}
}

func soakKill(w *world) {
	vm := w.vm(1 + w.random.IntN(8))
	from := time.Now()
	w.killDaemon(vm)
	w.pause(w.randomDuration(0, 6*time.Second))
	w.restartDaemon(vm)
	w.waitReady()
	w.addOutage("", from, time.Now())
}

func soakHerd(w *world) { w.restartTogether(w.random.Perm(len(w.fleet.VMs()))[:2+w.random.IntN(7)]) }

func soakSuspend(w *world) {
	w.suspendDaemon(w.vm(1+w.random.IntN(8)), w.randomDuration(time.Second, 9*time.Second))
}

func soakCut(w *world) {
	var group []string
	for _, i := range w.random.Perm(8)[:1+w.random.IntN(4)] {
		group = append(group, w.vm(i+1).Name)
	}
	w.cutGroup(group, w.randomDuration(2*time.Second, 10*time.Second))
}

func soakPlatform(w *world) {
	from := time.Now()
	choices := []standin.Faults{{Outage: true}, {DropConnections: true}, {LoseResponseRate: 0.3}, {LatencyMillis: 500, ThrottleRate: 0.1}}
	w.setPlatformFaults(choices[w.random.IntN(len(choices))])
	w.pause(w.randomDuration(time.Second, 10*time.Second))
	w.setPlatformFaults(noPlatformFaults)
	w.addOutage("", from, time.Now())
}

func soakDelay(w *world) {
	from := time.Now()
	f := faults.Fault{Latency: w.randomDuration(0, 300*time.Millisecond), Jitter: 200 * time.Millisecond, DropAfterBytes: 8000}
	w.Expect(w.net.Set(faults.RelayLinks, f)).To(gomega.Succeed())
	w.pause(w.randomDuration(time.Second, 5*time.Second))
	w.Expect(w.net.Heal()).To(gomega.Succeed())
	w.addOutage("", from, time.Now())
}

func soakStop(w *world) {
	vm := w.vm(1 + w.random.IntN(3))
	from := time.Now()
	w.replace(vm, targetConfig{order, "v1"})
	w.addOutage("", from, time.Now())
}

func soakTickets(w *world) {
	for range 1 + w.random.IntN(10) {
		w.accept(newRouteTicket(w.nextNumber(), fmt.Sprintf("soak-%d", w.next)))
	}
}
