package integration_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// sampleInterval is the pause between two samples.
const sampleInterval = 100 * time.Millisecond

// stateMonitor samples the states of the daemons in turn. In each state, every
// route must refer to a service and version of the same state, and the bad
// archive's ticket must be present completely or not at all. The revision of a
// daemon must not decrease during the lifetime of its process.
type stateMonitor struct {
	cancel     context.CancelFunc
	done       sync.WaitGroup
	samples    int
	violations []string
	// highestRevisions holds the highest sampled revision by process id.
	highestRevisions map[int]uint64
}

// startMonitor starts the sampling of states in the background.
func (w *world) startMonitor() {
	ctx, cancel := context.WithCancel(context.Background())
	w.monitor = &stateMonitor{cancel: cancel, highestRevisions: map[int]uint64{}}
	vms := w.fleet.VMs()
	var clients []*admin.Client
	for _, vm := range vms {
		client, err := w.fleet.Client(vm)
		w.Expect(err).NotTo(gomega.HaveOccurred())
		clients = append(clients, client)
	}
	w.monitor.done.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			vm := vms[n%len(vms)]
			pid := w.daemonPID(vm)
			state, err := fetchState(ctx, clients[n%len(vms)])
			// If the daemon restarted during the request, the sample may come from
			// either process and is dropped.
			if err == nil && pid == w.daemonPID(vm) {
				w.monitor.sample(vm, pid, &state)
			}
			time.Sleep(sampleInterval)
		}
	})
}

// daemonPID returns the process id of the VM's last started daemon.
func (w *world) daemonPID(vm *fleet.VM) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentPIDs[vm.Name]
}

// fetchState requests a daemon's state with a timeout of 1 s.
func fetchState(ctx context.Context, client *admin.Client) (admin.StateBody, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return client.State(ctx)
}

// sample checks the state of one daemon's process and records violations.
func (a *stateMonitor) sample(vm *fleet.VM, pid int, state *admin.StateBody) {
	a.samples++
	a.violations = append(a.violations, danglingRoutes(vm.Name, state)...)
	a.violations = append(a.violations, partialTicket(vm.Name, state)...)
	if state.Revision < a.highestRevisions[pid] {
		a.violations = append(a.violations, fmt.Sprintf("%s reports revision %d after revision %d", vm.Name, state.Revision, a.highestRevisions[pid]))
	}
	a.highestRevisions[pid] = max(a.highestRevisions[pid], state.Revision)
}

// danglingRoutes returns a violation for each route that refers to a service or
// version that the state does not contain.
func danglingRoutes(vm string, state *admin.StateBody) []string {
	versions := map[string][]string{}
	for _, s := range state.Services {
		versions[s.Name] = s.Versions
	}
	var broken []string
	for _, r := range state.Routes {
		known, ok := versions[r.Service]
		if !ok || (r.Version != "" && !slices.Contains(known, r.Version)) {
			broken = append(broken, fmt.Sprintf("%s at revision %d: route %s refers to missing %s %s", vm, state.Revision, r.Name, r.Service, r.Version))
		}
	}
	return broken
}

// stopMonitor stops the sampling and expects at least one sample and no
// violations.
func (w *world) stopMonitor() {
	w.monitor.cancel()
	w.monitor.done.Wait()
	w.logf("%d states sampled", w.monitor.samples)
	w.Expect(w.monitor.violations).To(gomega.BeEmpty())
	w.Expect(w.monitor.samples).To(gomega.BeNumerically(">", 0))
}

var _ = It("finds a route that refers to a service or version missing from the state: guards against a state monitor that never fails", func() {
	service := admin.ServiceBody{Service: ticketfile.Service{Name: order, Versions: []string{"v1"}}}
	state := &admin.StateBody{Services: []admin.ServiceBody{service}, Routes: []ticketfile.Route{
		{Name: "good", Service: order, Version: "v1"}, {Name: "bad-version", Service: order, Version: "v2"}, {Name: "bad-service", Service: mandate},
	}}
	gomega.Expect(danglingRoutes("vm-1", state)).To(gomega.HaveExactElements(gomega.ContainSubstring("bad-version"), gomega.ContainSubstring("bad-service")))
	gomega.Expect(danglingRoutes("vm-1", &admin.StateBody{Services: state.Services, Routes: state.Routes[:1]})).To(gomega.BeEmpty())
})

var _ = It("finds a ticket that a state contains only in part: guards against a state monitor that never fails", func() {
	moved := admin.ServiceBody{Service: ticketfile.Service{Name: archive, Versions: []string{"v1", "v2"}}}
	added := admin.ServiceBody{Service: ticketfile.Service{Name: archiveNotes, Versions: []string{"v1"}}}
	route := ticketfile.Route{Name: archiveNotes, Service: archiveNotes}
	gomega.Expect(partialTicket("vm-1", &admin.StateBody{Services: []admin.ServiceBody{moved, added}})).To(gomega.HaveLen(1))
	gomega.Expect(partialTicket("vm-1", &admin.StateBody{Services: []admin.ServiceBody{added}, Routes: []ticketfile.Route{route}})).To(gomega.HaveLen(1))
	gomega.Expect(partialTicket("vm-1", &admin.StateBody{Services: []admin.ServiceBody{moved, added}, Routes: []ticketfile.Route{route}})).To(gomega.BeEmpty())
	gomega.Expect(partialTicket("vm-1", &admin.StateBody{})).To(gomega.BeEmpty())
})
