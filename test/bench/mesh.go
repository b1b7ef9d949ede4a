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

// Shape of the measured mesh, from the size that the design names.
const (
	domains        = 7
	firstRegion    = 4
	services       = 86
	routesEach     = 2
	slotsPerTarget = 10
	connections    = 120
)

const (
	// readyTimeout bounds the start of all daemons.
	readyTimeout = 60 * time.Second
	// startPause spreads the starts, so that the start of processes itself
	// does not use up the machine.
	startPause = 20 * time.Millisecond
	// announceTimeout bounds one announcement of a target.
	announceTimeout = 2 * time.Second
)

// mesh is a fleet of daemons. This process announces one target for each of
// them, so that a target needs no process of its own.
type mesh struct {
	fleet  *fleet.Fleet
	vms    []*fleet.VM
	ticket uint64
	ctx    context.Context
	cancel context.CancelFunc
	http   *http.Client
	// network is between the daemons, or nil.
	network *faults.Network
	fronts  []*platformFront
	pids    sync.Map
	// place of the targets.
	place place
	// targets are the servers of those that answer, by VM.
	targets sync.Map
	// frozen VMs are not announced; a stopped daemon does not answer.
	frozen sync.Map
}

// place says which service and version the target of a VM is of.
type place func(i int) (service, version string)

// usualPlace spreads the targets over all services.
func usualPlace(i int) (string, string) { return serviceName(i), "v1" }

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domains+1) }

func regionOf(i int) string {
	if i%domains < firstRegion {
		return regions[0]
	}
	return regions[1]
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i%services) }

// addressOf gives each VM its own loopback address. On a shared one, a port that
// was found free can be taken before the daemon binds it, and one start of 100
// daemons failed by that.
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

// setUp accepts the services and routes of the design's size and announces
// the targets.
func (m *mesh) setUp() error {
	t := &model.Ticket{Note: "set up all services"}
	for i := range services {
		name := serviceName(i)
		t.Services = append(t.Services, model.Service{Name: name, Versions: []string{"v1"}, Shares: map[string]uint32{"v1": model.TotalShare}})
		for r := range routesEach {
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

// submit sends the next ticket to a daemon and returns its revision.
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

// change is a small ticket: one route of one service gets another timeout.
func (m *mesh) change() *model.Ticket {
	n := int(m.ticket)
	timeout := model.DefaultTimeout + time.Duration(n%1000+1)*time.Millisecond
	return &model.Ticket{Note: fmt.Sprintf("change %d", n), Routes: []model.Route{routeOf(n%services, n%routesEach, timeout)}}
}

// announce plays the target beside a daemon until the end of the mesh.
func (m *mesh) announce(i int) {
	vm := m.vms[i]
	service, version := m.place(i)
	body, _ := json.Marshal(target.Announcement{
		Service: service, Version: version, Address: vm.TargetAddress, Slots: slotsPerTarget, Connections: connections,
	})
	ticker := time.NewTicker(target.AnnounceInterval)
	defer ticker.Stop()
	for {
		if _, frozen := m.frozen.Load(vm.Name); !frozen {
			// A daemon that restarts misses an announcement.
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

// controller returns the VM that holds the lease, as the first one that
// answers knows it.
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

// domainWithout returns the VMs of the highest failure domain that the
// controller is not in.
func (m *mesh) domainWithout(controller string) []*fleet.VM {
	for d := domains - 1; d >= 0; d-- {
		var vms []*fleet.VM
		holds := false
		for i, vm := range m.vms {
			if i%domains == d {
				vms = append(vms, vm)
				holds = holds || strings.EqualFold(vm.Name, controller)
			}
		}
		if !holds && len(vms) > 0 {
			return vms
		}
	}
	return nil
}

// platformFaults sets the behaviour of the stand-in.
func (m *mesh) platformFaults(f standin.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode faults")
	}
	return m.post("http://"+m.fleet.PlatformAddress+"/_standin/faults", body)
}
