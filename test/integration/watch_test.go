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

// watchInterval is the pause between two samples of daemons' states.
const watchInterval = 100 * time.Millisecond

// watch samples the states of the daemons in turn. In each, every route must
// point at a service and version of the same state, and a daemon's revision
// must not fall while its process lives. The bad archive's ticket is in the
// state as a whole or not at all.
type watch struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	samples int
	broken  []string
	highest map[int]uint64
}

func (w *world) startWatch() {
	ctx, cancel := context.WithCancel(context.Background())
	w.watch = &watch{cancel: cancel, highest: map[int]uint64{}}
	vms := w.fleet.VMs()
	var clients []*admin.Client
	for _, vm := range vms {
		client, err := w.fleet.Client(vm)
		w.Expect(err).NotTo(gomega.HaveOccurred())
		clients = append(clients, client)
	}
	w.watch.done.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			vm := vms[n%len(vms)]
			pid := w.pidOf(vm)
			state, err := stateOf(ctx, clients[n%len(vms)])
			// A sample across a restart may come from either process.
			if err == nil && pid == w.pidOf(vm) {
				w.watch.sample(vm, pid, &state)
			}
			time.Sleep(watchInterval)
		}
	})
}

// pidOf returns the process id of the VM's daemon as last started.
func (w *world) pidOf(vm *fleet.VM) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current[vm.Name]
}

func stateOf(ctx context.Context, client *admin.Client) (admin.StateBody, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return client.State(ctx)
}

// sample looks at the state of one daemon's process.
func (a *watch) sample(vm *fleet.VM, pid int, state *admin.StateBody) {
	a.samples++
	a.broken = append(a.broken, dangling(vm.Name, state)...)
	a.broken = append(a.broken, split(vm.Name, state)...)
	if state.Revision < a.highest[pid] {
		a.broken = append(a.broken, fmt.Sprintf("%s shows revision %d after %d", vm.Name, state.Revision, a.highest[pid]))
	}
	a.highest[pid] = max(a.highest[pid], state.Revision)
}

// dangling lists the routes that point at nothing.
func dangling(vm string, state *admin.StateBody) []string {
	versions := map[string][]string{}
	for _, s := range state.Services {
		versions[s.Name] = s.Versions
	}
	var broken []string
	for _, r := range state.Routes {
		known, ok := versions[r.Service]
		if !ok || (r.Version != "" && !slices.Contains(known, r.Version)) {
			broken = append(broken, fmt.Sprintf("%s at revision %d: route %s points at %s %s", vm, state.Revision, r.Name, r.Service, r.Version))
		}
	}
	return broken
}

// endWatch expects that no sample was broken.
func (w *world) endWatch() {
	w.watch.cancel()
	w.watch.done.Wait()
	w.note("%d samples of states", w.watch.samples)
	w.Expect(w.watch.broken).To(gomega.BeEmpty())
	w.Expect(w.watch.samples).To(gomega.BeNumerically(">", 0))
}

var _ = It("finds a route that points at a service or version that the state lacks: guards against a watch that never fails", func() {
	service := admin.ServiceBody{Service: ticketfile.Service{Name: order, Versions: []string{"v1"}}}
	state := &admin.StateBody{Services: []admin.ServiceBody{service}, Routes: []ticketfile.Route{
		{Name: "good", Service: order, Version: "v1"}, {Name: "bad-version", Service: order, Version: "v2"}, {Name: "bad-service", Service: mandate},
	}}
	gomega.Expect(dangling("vm-1", state)).To(gomega.HaveExactElements(gomega.ContainSubstring("bad-version"), gomega.ContainSubstring("bad-service")))
	gomega.Expect(dangling("vm-1", &admin.StateBody{Services: state.Services, Routes: state.Routes[:1]})).To(gomega.BeEmpty())
})

var _ = It("finds a ticket of which a state has a part only: guards against a watch that never fails", func() {
	moved := admin.ServiceBody{Service: ticketfile.Service{Name: archive, Versions: []string{"v1", "v2"}}}
	added := admin.ServiceBody{Service: ticketfile.Service{Name: archiveNotes, Versions: []string{"v1"}}}
	route := ticketfile.Route{Name: archiveNotes, Service: archiveNotes}
	gomega.Expect(split("vm-1", &admin.StateBody{Services: []admin.ServiceBody{moved, added}})).To(gomega.HaveLen(1))
	gomega.Expect(split("vm-1", &admin.StateBody{Services: []admin.ServiceBody{added}, Routes: []ticketfile.Route{route}})).To(gomega.HaveLen(1))
	gomega.Expect(split("vm-1", &admin.StateBody{Services: []admin.ServiceBody{moved, added}, Routes: []ticketfile.Route{route}})).To(gomega.BeEmpty())
	gomega.Expect(split("vm-1", &admin.StateBody{})).To(gomega.BeEmpty())
})
