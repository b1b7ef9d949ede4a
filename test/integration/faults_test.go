package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

// noPlatformFaults clears the faults of the simulated platform.
var noPlatformFaults = standin.Faults{}

// setPlatformFaults replaces the faults that the simulated platform injects.
func (w *world) setPlatformFaults(f standin.Faults) {
	body, err := json.Marshal(f)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.Post(fmt.Sprintf("http://%s/_standin/faults", w.fleet.PlatformAddress), "application/json", bytes.NewReader(body))
	w.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	w.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	w.logf("platform faults: %s", body)
}

// killDaemon kills a daemon without a planned stop. The checker allows cut
// connections through it.
func (w *world) killDaemon(vm *fleet.VM) {
	w.logf("kill %s", vm.Name)
	w.deprioritizeDaemon(vm)
	vm.Daemon.Kill()
	_ = vm.Daemon.Wait()
	w.check.KilledListeners = append(w.check.KilledListeners, vm.Caller)
	w.check.KilledVMs = append(w.check.KilledVMs, vm.Name)
}

// restartDaemon starts a daemon that has ended, as a new incarnation.
func (w *world) restartDaemon(vm *fleet.VM) {
	w.Expect(vm.StartDaemon()).To(gomega.Succeed())
	w.recordPID(vm)
	w.logf("start %s", vm.Name)
}

// suspendDaemon suspends a daemon's process for d, like a paused VM. Its callers
// wait meanwhile, and none of their connections may be cut.
func (w *world) suspendDaemon(vm *fleet.VM, d time.Duration) {
	w.logf("suspend %s for %s", vm.Name, d)
	w.deprioritizeDaemon(vm)
	from := time.Now()
	vm.Daemon.Suspend()
	time.Sleep(d)
	vm.Daemon.Resume()
	w.addOutage(vm.Name, from, time.Now())
	w.logf("resume %s", vm.Name)
}

// addOutage makes the checker extend its in-force bound by a period in
// which a daemon could not receive updates. An empty name means all daemons.
func (w *world) addOutage(vm string, from, to time.Time) {
	w.check.Outages = append(w.check.Outages, checker.Outage{VM: vm, From: from, To: to})
}

// requestBreakingScenarios names the scenarios that break requests between
// daemons by cutting links or killing daemons. In these, uploads to a stopping
// VM may fail.
var requestBreakingScenarios = []string{
	"controller-killed", "updates-disordered", "link-daemons", "link-domains", "link-regions", "herd", "controller-killed-and-region-cut", "soak",
}

// signalInterval is the time between the signals that a stopping daemon gets. All of
// them arrive before it refuses new requests.
const signalInterval = 300 * time.Millisecond

// stopDaemon carries out the planned stop of a daemon and waits for its end. A reload
// of the daemon's settings and another stop overlap with it.
func (w *world) stopDaemon(vm *fleet.VM) {
	w.logf("planned stop of the daemon on %s", vm.Name)
	w.check.PlannedStops = append(w.check.PlannedStops, checker.PlannedStop{VM: vm.Name, At: time.Now(), ExpectCompleteRuns: !slices.Contains(requestBreakingScenarios, w.name)})
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		vm.Daemon.Signal(signal)
		w.pause(signalInterval)
	}
	w.Expect(vm.Daemon.WaitTimeout(loadStopLimit)).To(gomega.Succeed())
	w.logf("the daemon on %s has stopped", vm.Name)
}

// endPlannedStop records that a VM whose daemon was stopped runs again.
func (w *world) endPlannedStop(vm *fleet.VM) {
	for i := range w.check.PlannedStops {
		d := &w.check.PlannedStops[i]
		if d.VM == vm.Name && d.RestartedAt.IsZero() {
			d.RestartedAt = time.Now()
		}
	}
}

// deprioritizeDaemon makes the operator's client try the daemon of this VM
// last.
func (w *world) deprioritizeDaemon(avoided *fleet.VM) {
	var others []*fleet.VM
	for _, vm := range w.fleet.VMs() {
		if vm != avoided && !vm.Daemon.Ended() {
			others = append(others, vm)
		}
	}
	client, err := w.fleet.Client(append(others, avoided)...)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.client = client
}

// stopTarget carries out the planned stop of a target and waits for its end.
func (w *world) stopTarget(vm *fleet.VM) {
	w.logf("planned stop of the target on %s", vm.Name)
	vm.Target.Signal(syscall.SIGTERM)
	w.Expect(vm.Target.WaitTimeout(loadStopLimit)).To(gomega.Succeed())
	w.logf("the target on %s has stopped", vm.Name)
}

// vmNames returns the names of the VMs that satisfy the condition.
func (w *world) vmNames(condition func(vm *fleet.VM) bool) []string {
	var names []string
	for _, vm := range w.fleet.VMs() {
		if condition(vm) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// cutLinks cuts links for at least d and calls during meanwhile. The VMs of the
// group count as unable to receive updates until the links are restored.
func (w *world) cutLinks(links faults.LinkFilter, group []string, d time.Duration, during func()) {
	w.logf("links of %v cut", group)
	from := time.Now()
	w.Expect(w.net.Set(links, faults.Fault{Cut: true})).To(gomega.Succeed())
	during()
	time.Sleep(time.Until(from.Add(d)))
	w.Expect(w.net.Heal()).To(gomega.Succeed())
	for _, name := range group {
		w.addOutage(name, from, time.Now())
	}
	w.logf("links restored")
}
