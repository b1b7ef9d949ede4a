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

// healthyPlatform has no faults.
var healthyPlatform = standin.Faults{}

// platformFaults sets the faults of the stand-in.
func (w *world) platformFaults(f standin.Faults) {
	body, err := json.Marshal(f)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.Post(fmt.Sprintf("http://%s/_standin/faults", w.fleet.PlatformAddress), "application/json", bytes.NewReader(body))
	w.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	w.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	w.note("platform faults: %s", body)
}

// killDaemon ends a daemon without a stop. Requests through it may be cut.
func (w *world) killDaemon(vm *fleet.VM) {
	w.note("kill %s", vm.Name)
	w.avoid(vm)
	vm.Daemon.Kill()
	_ = vm.Daemon.Wait()
	w.check.KilledListeners = append(w.check.KilledListeners, vm.Caller)
	w.check.KilledVMs = append(w.check.KilledVMs, vm.Name)
}

// restartDaemon starts an ended daemon again, with a new incarnation.
func (w *world) restartDaemon(vm *fleet.VM) {
	w.Expect(vm.StartDaemon()).To(gomega.Succeed())
	w.own(vm)
	w.note("start %s", vm.Name)
}

// freeze stops a daemon for a time, as a paused VM. Callers of the paused
// daemon wait; nothing of theirs may be cut.
func (w *world) freeze(vm *fleet.VM, d time.Duration) {
	w.note("freeze %s for %s", vm.Name, d)
	w.avoid(vm)
	from := time.Now()
	vm.Daemon.Freeze()
	time.Sleep(d)
	vm.Daemon.Thaw()
	w.disturbed(vm.Name, from, time.Now())
	w.note("thaw %s", vm.Name)
}

// disturbed tells the checker that a daemon could not get news; an empty name
// means all daemons.
func (w *world) disturbed(vm string, from, to time.Time) {
	w.check.Outages = append(w.check.Outages, checker.Outage{VM: vm, From: from, To: to})
}

// breakingScenarios break requests between daemons, by cut links or by daemons
// that are killed, so that uploads to a stopping VM may end with them.
var breakingScenarios = []string{
	"controller-killed", "updates-disordered", "link-daemons", "link-domains", "link-regions", "herd", "controller-killed-and-region-cut", "soak",
}

// stopDaemon carries out a planned stop.
func (w *world) stopDaemon(vm *fleet.VM) {
	w.note("planned stop of the daemon on %s", vm.Name)
	w.check.PlannedStops = append(w.check.PlannedStops, checker.PlannedStop{VM: vm.Name, At: time.Now(), ExpectCompleteRuns: !slices.Contains(breakingScenarios, w.name)})
	w.Expect(vm.StopDaemon(loadStopLimit)).To(gomega.Succeed())
	w.note("the daemon on %s has stopped", vm.Name)
}

// returned ends the departure of a VM.
func (w *world) returned(vm *fleet.VM) {
	for i := range w.check.PlannedStops {
		d := &w.check.PlannedStops[i]
		if d.VM == vm.Name && d.RestartedAt.IsZero() {
			d.RestartedAt = time.Now()
		}
	}
}

// avoid makes the operator use another daemon first.
func (w *world) avoid(avoided *fleet.VM) {
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

// stopTarget carries out the planned stop of a target.
func (w *world) stopTarget(vm *fleet.VM) {
	w.note("planned stop of the target on %s", vm.Name)
	vm.Target.Signal(syscall.SIGTERM)
	w.Expect(vm.Target.WaitTimeout(loadStopLimit)).To(gomega.Succeed())
	w.note("the target on %s has stopped", vm.Name)
}

// names returns the names of the VMs that the condition holds for.
func (w *world) names(condition func(vm *fleet.VM) bool) []string {
	var names []string
	for _, vm := range w.fleet.VMs() {
		if condition(vm) {
			names = append(names, vm.Name)
		}
	}
	return names
}

// cut cuts links for a time. The VMs of the group cannot get news meanwhile.
func (w *world) cut(links faults.Links, group []string, d time.Duration, during func()) {
	w.note("cut %v", group)
	from := time.Now()
	w.Expect(w.net.Set(links, faults.Fault{Cut: true})).To(gomega.Succeed())
	during()
	time.Sleep(time.Until(from.Add(d)))
	w.Expect(w.net.Heal()).To(gomega.Succeed())
	for _, name := range group {
		w.disturbed(name, from, time.Now())
	}
	w.note("healed")
}
