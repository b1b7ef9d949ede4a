package bench

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// meshConfig describes a mesh that is to be started.
type meshConfig struct {
	daemons int
	// network puts a forwarder between each pair of daemons.
	network bool
	// authority signs the daemons' certificates; nil uses no TLS.
	authority *fleet.Authority
	// fronts is the number of platformFronts before the platform: none, one
	// for all daemons, or one for each region.
	fronts int
}

// startMesh starts n daemons and waits until all serve.
func startMesh(o *Options, dir string, n int) (*mesh, error) {
	return startMeshOf(o, dir, meshConfig{daemons: n})
}

func startMeshOf(o *Options, dir string, c meshConfig) (*mesh, error) {
	config := fleet.Config{Bin: o.Bin, Dir: dir, Authority: c.authority}
	if o.Processors != "" {
		config.Settings = "[limits]\nprocessors = " + o.Processors
	}
	f, err := fleet.New(config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{fleet: f, ctx: ctx, cancel: cancel, http: &http.Client{Timeout: announceTimeout}, place: usualPlace}
	if err := m.startAll(c); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *mesh) startAll(c meshConfig) error {
	if c.network {
		m.network = faults.New(m.owners)
	}
	for range c.fronts {
		front, err := openFront(m.fleet.PlatformAddress)
		if err != nil {
			return err
		}
		m.fronts = append(m.fronts, front)
	}
	for i := range c.daemons {
		if err := m.startVM(i); err != nil {
			return err
		}
		time.Sleep(startPause)
	}
	return m.waitReady()
}

func (m *mesh) startVM(i int) error {
	config := fleet.VMConfig{Name: vmName(i), Domain: domainOf(i), Region: regionOf(i), IP: addressOf(i)}
	if m.network != nil {
		config.Proxy = m.network.ProxyVM(config.Name)
	}
	if m.fronts != nil {
		m.fleet.PlatformDialAddress = m.fronts[min(slices.Index(regions, config.Region), len(m.fronts)-1)].address()
	}
	vm, err := m.fleet.AddVM(config)
	if err != nil {
		return err
	}
	m.vms = append(m.vms, vm)
	m.pids.Store(vm.Daemon.PID(), vm.Name)
	return nil
}

// owners names the daemons by process id, for the network.
func (m *mesh) owners() map[int]string {
	names := map[int]string{}
	m.pids.Range(func(pid, name any) bool {
		names[pid.(int)] = name.(string)
		return true
	})
	return names
}

// regions are the names that regionOf returns.
var regions = []string{"region-1", "region-2"}

// inRegion returns the VMs of a region.
func (m *mesh) inRegion(region string) []*fleet.VM {
	return slices.DeleteFunc(slices.Clone(m.vms), func(vm *fleet.VM) bool { return vm.Region != region })
}

func namesOf(vms []*fleet.VM) []string {
	var names []string
	for _, vm := range vms {
		names = append(names, vm.Name)
	}
	return names
}
