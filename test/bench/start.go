package bench

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// meshConfig configures the start of a mesh.
type meshConfig struct {
	daemons int
	// network places a forwarder between each pair of daemons, to inject faults.
	network bool
	// authority signs the daemons' certificates; nil disables TLS.
	authority *fleet.Authority
	// fronts is the number of platformFronts between the daemons and the
	// platform: none, one for all daemons, or one for each region.
	fronts int
}

// startMesh starts n daemons with default options and waits until all are ready.
func startMesh(o *Options, dir string, n int) (*mesh, error) {
	return startMeshWithConfig(o, dir, meshConfig{daemons: n})
}

func startMeshWithConfig(o *Options, dir string, c meshConfig) (*mesh, error) {
	config := fleet.Config{Bin: o.Bin, Dir: dir, Authority: c.authority}
	if o.Processors != "" {
		config.Settings = "[limits]\nprocessors = " + o.Processors
	}
	f, err := fleet.New(config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{fleet: f, ctx: ctx, cancel: cancel, http: &http.Client{Timeout: announceTimeout}, placement: spreadPlacement}
	if err := m.startComponents(c); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *mesh) startComponents(c meshConfig) error {
	if c.network {
		m.network = faults.New(m.daemonNamesByPID)
	}
	for range c.fronts {
		front, err := startPlatformProxy(m.fleet.PlatformAddress)
		if err != nil {
			return err
		}
		m.fronts = append(m.fronts, front)
	}
	for i := range c.daemons {
		if err := m.startVM(i); err != nil {
			return err
		}
		time.Sleep(startInterval)
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

// daemonNamesByPID maps process ids to VM names. The network uses it to find
// which daemon a connection belongs to.
func (m *mesh) daemonNamesByPID() map[int]string {
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
