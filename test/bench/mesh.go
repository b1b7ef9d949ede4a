package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
	"github.com/magnoliamount/magnoliamount/test/standin"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// Dimensions of the measured mesh, which follow the size in the design.
const (
	domains              = 7
	firstRegionDomains   = 4
	services             = 86
	routesPerService     = 2
	slotsPerTarget       = 10
	connectionsPerTarget = 120
)

const (
	// readyTimeout limits the wait until all daemons are ready.
	readyTimeout = 60 * time.Second
	// startInterval is the pause between daemon starts; it keeps process
	// startup from saturating the machine's processors.
	startInterval = 20 * time.Millisecond
	// announceTimeout is the timeout of one announcement of a target.
	announceTimeout = 2 * time.Second
)

// mesh is a fleet of daemons with one target each. This process announces the
// targets, so that a target needs no process of its own.
type mesh struct {
	fleet  *fleet.Fleet
	vms    []*fleet.VM
	ticket uint64 // number of the last accepted ticket
	ctx    context.Context
	cancel context.CancelFunc
	http   *http.Client
	// network injects faults into the links between the daemons; it is nil
	// without fault injection.
	network *faults.Network
	fronts  []*platformProxy
	// pids maps process ids to VM names.
	pids sync.Map
	// placement returns the service and version of each target.
	placement targetPlacement
	// targets maps VM names to the HTTP servers of the targets that serve calls.
	targets sync.Map
	// unannounced is the set of VM names whose targets are not announced, because
	// their daemon is stopped and would not respond.
	unannounced sync.Map
}

// targetPlacement returns the service and version of the target of VM i.
type targetPlacement func(i int) (service, version string)

// spreadPlacement distributes the targets evenly over all services.
func spreadPlacement(i int) (string, string) { return serviceName(i), "v1" }

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domains+1) }

func regionOf(i int) string {
	if i%domains < firstRegionDomains {
		return regions[0]
	}
	return regions[1]
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i%services) }

// addressOf returns a loopback address of its own for each VM. On a shared
// address another process can bind a port between the check that it is free and
// the bind by the daemon; one start of 100 daemons failed for this reason.
func addressOf(i int) string { return fmt.Sprintf("127.7.0.%d", i+1) }

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }

func (m *mesh) waitReady() error {
	ctx, cancel := context.WithTimeout(m.ctx, readyTimeout)
	defer cancel()
	return m.fleet.WaitReady(ctx)
}

func (m *mesh) close() {
	m.cancel()
	m.fleet.Close()
	if m.network != nil {
		m.network.Close()
	}
	for _, f := range m.fronts {
		f.close()
	}
}

// setUp submits a ticket with the services and routes of the design's size and
// starts to announce the targets.
func (m *mesh) setUp() error {
	t := &model.Ticket{Note: "set up all services"}
	for i := range services {
		name := serviceName(i)
		t.Services = append(t.Services, model.Service{Name: name, Versions: []string{"v1"}, Shares: map[string]uint32{"v1": model.TotalShare}})
		for r := range routesPerService {
			t.Routes = append(t.Routes, routeOf(i, r, model.DefaultTimeout))
		}
	}
	if _, err := m.submit(m.vms[0], t); err != nil {
		return err
	}
	for i := range m.vms {
		go m.announce(i)
	}
	return nil
}

func routeOf(service, number int, timeout time.Duration) model.Route {
	name := serviceName(service)
	return model.Route{
		Name: fmt.Sprintf("%s-route-%d", name, number), PathPrefix: fmt.Sprintf("/%s/%d", name, number),
		Service: name, Class: model.Normal, Idempotent: true, Timeout: timeout,
	}
}

// submit sends t to a daemon as the next ticket and returns its revision.
func (m *mesh) submit(vm *fleet.VM, t *model.Ticket) (uint64, error) {
	client, err := m.fleet.Client(vm)
	if err != nil {
		return 0, err
	}
	t.Number = m.ticket + 1
	status, err := client.Submit(m.ctx, t)
	if err != nil {
		return 0, err
	}
	m.ticket++
	return status.Revision, nil
}

// change returns a small ticket that changes the timeout of one route.
func (m *mesh) change() *model.Ticket {
	n := int(m.ticket)
	timeout := model.DefaultTimeout + time.Duration(n%1000+1)*time.Millisecond
	return &model.Ticket{Note: fmt.Sprintf("change %d", n), Routes: []model.Route{routeOf(n%services, n%routesPerService, timeout)}}
}

// announce sends the announcements of the target of VM i until the mesh closes.
func (m *mesh) announce(i int) {
	vm := m.vms[i]
	service, version := m.placement(i)
	body, _ := json.Marshal(target.Announcement{
		Service: service, Version: version, Address: vm.TargetAddress, Slots: slotsPerTarget, Connections: connectionsPerTarget,
	})
	ticker := time.NewTicker(target.AnnounceInterval)
	defer ticker.Stop()
	for {
		if _, frozen := m.unannounced.Load(vm.Name); !frozen {
			// An announcement to a daemon that is restarting fails; the next
			// one replaces it.
			_ = m.post("http://"+vm.Caller+proxy.TargetPath, body)
		}
		select {
		case <-ticker.C:
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *mesh) post(url string, body []byte) error {
	response, err := m.http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "post to %s", url)
	}
	return response.Body.Close()
}

// controller returns the name of the VM that holds the lease, as reported by
// the first daemon that responds with one, or "".
func (m *mesh) controller() string {
	for _, vm := range m.vms {
		client, err := m.fleet.Client(vm)
		if err != nil {
			continue
		}
		if status, err := client.Status(m.ctx); err == nil && status.Controller != "" {
			return status.Controller
		}
	}
	return ""
}

// domainWithout returns the VMs of the highest-numbered failure domain that does
// not contain the controller.
func (m *mesh) domainWithout(controller string) []*fleet.VM {
	for d := domains - 1; d >= 0; d-- {
		var vms []*fleet.VM
		hasController := false
		for i, vm := range m.vms {
			if i%domains == d {
				vms = append(vms, vm)
				hasController = hasController || strings.EqualFold(vm.Name, controller)
			}
		}
		if !hasController && len(vms) > 0 {
			return vms
		}
	}
	return nil
}

// setPlatformFaults sets the faults that the platform stand-in injects.
func (m *mesh) setPlatformFaults(f standin.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode faults")
	}
	return m.post("http://"+m.fleet.PlatformAddress+"/_standin/faults", body)
}
