package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

const (
	// inForceLimit is the design's bound from acceptance to in force.
	inForceLimit = 10 * time.Second
	// leaveLimit bounds the time in which a leaving target may get new work.
	leaveLimit = 5 * time.Second
	// settleLimit bounds the time in which the mesh comes together after faults.
	settleLimit = 60 * time.Second
	// readyLimit bounds the start of a fleet.
	readyLimit = 40 * time.Second
	// minAnswered is the fraction of requests that must be answered in a
	// scenario, so that a mesh that refuses everything does not pass.
	minAnswered = 0.8
)

// place is the VM of a target.
type place struct{ service, version string }

// usual has two services, each with an old and a new version.
var usual = []place{
	{order, "v1"}, {order, "v1"}, {order, "v1"}, {order, "v2"},
	{order, "v2"}, {mandate, "v1"}, {mandate, "v1"}, {mandate, "v2"},
}

// world is the mesh of one scenario.
type world struct {
	gomega.Gomega
	name   string
	seed   uint64
	random *rand.Rand
	dir    string
	fleet  *fleet.Fleet
	net    *faults.Network
	// authority signs the daemons' certificates, retired did so before; nil
	// without mutual TLS.
	authority, retired *fleet.Authority
	client             *admin.Client
	check              checker.Options
	// minAnswered is the fraction of requests that must be answered.
	minAnswered float64
	// mustResend expects that callers re-sent once-only requests.
	mustResend bool
	// archiveStopLimit replaces stopLimit for the archive's bad version.
	archiveStopLimit time.Duration
	// next is the number of the next ticket.
	next    uint64
	loads   []load
	started int
	watch   *watch

	mu       sync.Mutex
	accepted []checker.Acceptance
	pids     map[int]string
	// current holds the process id of each VM's daemon as last started.
	current map[string]int
	lines   []string
	// stops names the bad versions that got requests for too long.
	stops string
	// awayVMs holds the VMs whose planned stop is under way.
	awayVMs map[string]bool
}

// failure carries a failed expectation to the end of its scenario.
type failure struct{ message string }

// runScenario runs a scenario and returns its failure, or "", and the failure
// of a bad version to stop in time, or "".
func runScenario(s scenario, bin string) (failed, stops string) {
	seed := s.seed
	if *seedFlag != 0 {
		seed = *seedFlag
	}
	w := &world{
		name: s.name, seed: seed, minAnswered: minAnswered, random: rand.New(rand.NewPCG(seed, 0)), next: 1,
		pids: map[int]string{}, current: map[string]int{}, awayVMs: map[string]bool{},
	}
	w.Gomega = gomega.NewGomega(func(message string, _ ...int) { panic(failure{message}) })
	defer func() {
		stops = w.stops
		if p, ok := recover().(failure); ok {
			failed = fmt.Sprintf("scenario %q with seed %d: %s\nrecords are in %s\n%s", s.name, seed, p.message, w.dir, w.text())
		}
		w.close(failed == "")
	}()
	w.open(bin)
	s.run(w)
	w.finish()
	return "", w.stops
}

func (w *world) open(bin string) {
	var err error
	w.dir, err = os.MkdirTemp("", "magnoliamount-"+w.name+"-")
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.authority = w.newAuthority()
	w.fleet, err = fleet.New(fleet.Config{Bin: bin, Dir: w.dir, Authority: w.authority})
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.net = faults.New(w.owners)
	w.fleet.PlatformVia, err = w.net.Front(faults.Platform, w.fleet.PlatformAddress)
	w.Expect(err).NotTo(gomega.HaveOccurred())
}

func (w *world) close(passed bool) {
	if w.watch != nil {
		w.watch.cancel()
		w.watch.done.Wait()
	}
	if w.fleet != nil {
		w.fleet.Close()
	}
	if w.net != nil {
		w.net.Close()
	}
	if passed {
		_ = os.RemoveAll(w.dir)
	}
}

// owners names the daemons by process id, for the network.
func (w *world) owners() map[int]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[int]string{}
	for pid, name := range w.pids {
		copied[pid] = name
	}
	return copied
}

func (w *world) own(vm *fleet.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pids[vm.Daemon.PID()] = vm.Name
	w.current[vm.Name] = vm.Daemon.PID()
}

// note adds a line to the scenario's report.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	w.lines = append(w.lines, line)
}

func (w *world) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := ""
	for _, line := range w.lines {
		all += line + "\n"
	}
	return all
}

// start starts a VM per place and those of the archive, in four domains of two
// regions, with the first ticket.
func (w *world) start(places []place, targetArgs ...string) {
	for i, p := range concat(places, archivePlaces) {
		args := targetArgs
		if p.service == archive {
			args = []string{"--linger", archiveLinger}
		}
		name := fmt.Sprintf("vm-%d", i+1)
		domain := i%4 + 1
		vm, err := w.fleet.AddVM(fleet.VMConfig{
			Name: name, Domain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", (domain+1)/2), Via: w.net.Via(name),
		})
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.own(vm)
		w.Expect(vm.StartTarget(p.service, p.version, args...)).To(gomega.Succeed())
	}
	w.waitReady()
	var err error
	w.client, err = w.fleet.Client(w.fleet.VMs()...)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.waitTargets()
	w.startWatch()
	w.accept(w.setUp())
	w.waitState(1, "done")
}

func (w *world) waitReady() {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	for _, vm := range w.fleet.VMs() {
		if !w.away(vm) {
			w.Expect(vm.WaitReady(ctx)).To(gomega.Succeed())
		}
	}
}

// waitTargets waits until every daemon knows every VM's target.
func (w *world) waitTargets() {
	w.until("every daemon knows all targets", readyLimit, func() bool {
		vms := w.fleet.VMs()
		for _, vm := range vms {
			status, ok := w.status(vm)
			ready := 0
			for _, m := range status.Members {
				if m.Service != "" && m.State == "ready" {
					ready++
				}
			}
			if !ok || ready < len(vms) {
				return false
			}
		}
		return true
	})
}

// vm returns the VM of the number, from 1.
func (w *world) vm(number int) *fleet.VM { return w.fleet.VM(fmt.Sprintf("vm-%d", number)) }

// until waits for a condition.
func (w *world) until(what string, limit time.Duration, condition func() bool) {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			w.Expect(what).To(gomega.BeEmpty(), "not reached within %s", limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// status asks a daemon about itself.
func (w *world) status(vm *fleet.VM) (admin.Status, bool) {
	client, err := w.fleet.Client(vm)
	if err != nil {
		return admin.Status{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, err := client.Status(ctx)
	return status, err == nil
}

// controller returns the VM of the controller, as the daemons that answer see it.
func (w *world) controller() *fleet.VM {
	var found *fleet.VM
	w.until("a controller is known", settleLimit, func() bool {
		for _, vm := range w.fleet.VMs() {
			if vm.Daemon.Ended() {
				continue
			}
			if status, ok := w.status(vm); ok && status.Controller != "" {
				found = w.fleet.VM(status.Controller)
				return found != nil && !found.Daemon.Ended()
			}
		}
		return false
	})
	return found
}

// pause waits between two acts of a scenario.
func (w *world) pause(d time.Duration) { time.Sleep(d) }

// between draws a duration, which varies the moment of a fault by the seed.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) writeJSONLines(name string, values []checker.Acceptance) string {
	path := w.fleet.Path(name)
	file, err := os.Create(path)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = file.Close() }()
	encoder := json.NewEncoder(file)
	for _, v := range values {
		w.Expect(encoder.Encode(v)).To(gomega.Succeed())
	}
	return path
}
