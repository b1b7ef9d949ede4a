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
	// inForceLimit is the design's bound on the time from the acceptance of a
	// ticket until all daemons apply it.
	inForceLimit = 10 * time.Second
	// leaveLimit bounds the time after a planned stop begins in which the
	// leaving target may still get new requests.
	leaveLimit = 5 * time.Second
	// convergeLimit bounds the time in which the mesh converges after faults.
	convergeLimit = 60 * time.Second
	// readyLimit bounds the time until a started fleet is ready.
	readyLimit = 40 * time.Second
	// defaultMinAnswered is the fraction of requests that must be answered in a
	// scenario, so that a mesh that rejects all requests does not pass.
	defaultMinAnswered = 0.8
)

// targetConfig is the service and version of a VM's target.
type targetConfig struct{ service, version string }

// defaultTargets has two services, each with targets of an old and a new
// version.
var defaultTargets = []targetConfig{
	{order, "v1"}, {order, "v1"}, {order, "v1"}, {order, "v2"},
	{order, "v2"}, {mandate, "v1"}, {mandate, "v1"}, {mandate, "v2"},
}

// world is the test environment of one scenario: the fleet, the fault
// injection, the load, and what was recorded for the checker.
type world struct {
	gomega.Gomega
	name   string
	seed   uint64
	random *rand.Rand
	dir    string
	fleet  *fleet.Fleet
	net    *faults.Network
	// authority signs the daemons' certificates; retiredAuthority signed them
	// before the rotation. Both are nil without mutual TLS.
	authority, retiredAuthority *fleet.Authority
	client                      *admin.Client
	check                       checker.Options
	// minAnswered is the fraction of requests that must be answered.
	minAnswered float64
	// mustResend requires that callers re-sent at least one request.
	mustResend bool
	// archiveStopLimit overrides the stop bound of the archive's bad version; 0
	// uses the default.
	archiveStopLimit time.Duration
	// next is the number of the next ticket; callersStarted numbers the callers.
	next           uint64
	callers        []runningCaller
	callersStarted int
	monitor        *stateMonitor

	mu         sync.Mutex
	accepted   []checker.Acceptance
	namesByPID map[int]string
	// currentPIDs holds the process id of the last started daemon of each VM.
	currentPIDs map[string]int
	logLines    []string
	// stopFailure lists the bad versions that got requests for too long.
	stopFailure string
	// stoppingVMs holds the VMs whose planned stop is in progress.
	stoppingVMs map[string]bool
}

// failure is the panic value of a failed expectation. runScenario recovers it.
type failure struct{ message string }

// runScenario runs a scenario. It returns the scenario's failure and the failure
// of the bad version to stop getting requests in time; each is empty if there
// is none.
func runScenario(s scenario, bin string) (failed, stops string) {
	seed := s.seed
	if *seedFlag != 0 {
		seed = *seedFlag
	}
	w := &world{
		name: s.name, seed: seed, minAnswered: defaultMinAnswered, random: rand.New(rand.NewPCG(seed, 0)), next: 1,
		namesByPID: map[int]string{}, currentPIDs: map[string]int{}, stoppingVMs: map[string]bool{},
	}
	w.Gomega = gomega.NewGomega(func(message string, _ ...int) { panic(failure{message}) })
	defer func() {
		stops = w.stopFailure
		if p, ok := recover().(failure); ok {
			failed = fmt.Sprintf("scenario %q with seed %d: %s\nrecords are in %s\n%s", s.name, seed, p.message, w.dir, w.logText())
		}
		w.close(failed == "")
	}()
	w.open(bin)
	s.run(w)
	w.finish()
	return "", w.stopFailure
}

// open creates the scenario's directory, fleet and fault-injecting network.
func (w *world) open(bin string) {
	var err error
	w.dir, err = os.MkdirTemp("", "magnoliamount-"+w.name+"-")
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.authority = w.newAuthority()
	w.fleet, err = fleet.New(fleet.Config{Bin: bin, Dir: w.dir, Authority: w.authority})
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.net = faults.New(w.daemonNames)
	w.fleet.PlatformDialAddress, err = w.net.Proxy(faults.Platform, w.fleet.PlatformAddress)
	w.Expect(err).NotTo(gomega.HaveOccurred())
}

// close stops all processes and removes the scenario's directory if it passed.
func (w *world) close(passed bool) {
	if w.monitor != nil {
		w.monitor.cancel()
		w.monitor.done.Wait()
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

// daemonNames returns the VM names of all started daemons by process id. The
// network identifies the sources of connections with it.
func (w *world) daemonNames() map[int]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[int]string{}
	for pid, name := range w.namesByPID {
		copied[pid] = name
	}
	return copied
}

// recordPID stores the process id of the VM's daemon.
func (w *world) recordPID(vm *fleet.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.namesByPID[vm.Daemon.PID()] = vm.Name
	w.currentPIDs[vm.Name] = vm.Daemon.PID()
}

// logf adds a line with a time stamp to the scenario's log.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	w.logLines = append(w.logLines, line)
}

func (w *world) logText() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := ""
	for _, line := range w.logLines {
		all += line + "\n"
	}
	return all
}

// start starts a VM for each target and those of the archive, in four failure
// domains of two regions, and accepts the first ticket.
func (w *world) start(targets []targetConfig, targetArgs ...string) {
	for i, p := range concat(targets, archiveTargets) {
		args := targetArgs
		if p.service == archive {
			args = []string{"--linger", archiveLinger}
		}
		name := fmt.Sprintf("vm-%d", i+1)
		domain := i%4 + 1
		vm, err := w.fleet.AddVM(fleet.VMConfig{
			Name: name, Domain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", (domain+1)/2), Proxy: w.net.ProxyVM(name),
		})
		w.Expect(err).NotTo(gomega.HaveOccurred())
		w.recordPID(vm)
		w.Expect(vm.StartTarget(p.service, p.version, args...)).To(gomega.Succeed())
	}
	w.waitReady()
	var err error
	w.client, err = w.fleet.Client(w.fleet.VMs()...)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.waitTargets()
	w.startMonitor()
	w.accept(w.newSetupTicket())
	w.waitState(1, "done")
}

// waitReady waits until all daemons without a planned stop in progress are ready.
func (w *world) waitReady() {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	for _, vm := range w.fleet.VMs() {
		if !w.isStopping(vm) {
			w.Expect(vm.WaitReady(ctx)).To(gomega.Succeed())
		}
	}
}

// waitTargets waits until every daemon lists the target of every VM as ready.
func (w *world) waitTargets() {
	w.waitUntil("every daemon lists all targets as ready", readyLimit, func() bool {
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

// vm returns the VM with the number, counted from 1.
func (w *world) vm(number int) *fleet.VM { return w.fleet.VM(fmt.Sprintf("vm-%d", number)) }

// waitUntil polls the condition and fails the scenario if it does not hold
// within the limit.
func (w *world) waitUntil(what string, limit time.Duration, condition func() bool) {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			w.Expect(what).To(gomega.BeEmpty(), "not reached within %s", limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// status requests a daemon's status and reports whether it answered.
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

// controller returns the VM that the first daemon with a known controller
// reports, once that VM's daemon runs.
func (w *world) controller() *fleet.VM {
	var found *fleet.VM
	w.waitUntil("a daemon reports a running controller", convergeLimit, func() bool {
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

// pause waits between two steps of a scenario.
func (w *world) pause(d time.Duration) { time.Sleep(d) }

// randomDuration returns a random duration from low to high, so that the seed
// varies the timing of faults.
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// writeJSONLines writes one JSON object a line to a file of the scenario and
// returns its path.
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
