package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// VM is a simulated VM: a daemon and the target that runs beside it.
type VM struct {
	Name   string
	Domain string
	Region string
	// Addresses of the daemon's listeners.
	Caller  string
	Inbound string
	Peer    string
	Admin   string
	// PeerVia and InboundVia are the advertised addresses, at which other daemons
	// connect, such as those of a fault-injecting proxy.
	PeerVia    string
	InboundVia string

	Daemon *Process
	Target *Process

	// TargetAddress is the address on which the target listens for requests.
	TargetAddress string

	fleet        *Fleet
	authority    *Authority
	index        int
	targetStarts int
}

// VMConfig contains the settings of a VM.
type VMConfig struct {
	Name   string
	Domain string
	Region string
	// IP is a loopback address; empty means 127.0.0.1.
	IP string
	// Proxy returns the addresses of proxies for the peer and inbound
	// listeners, which the daemon then advertises; nil advertises the
	// listeners' own addresses.
	Proxy func(peer, inbound string) (proxiedPeer, proxiedInbound string, err error)
	// ForeignAuthority signs the certificate of this VM instead of the fleet's
	// authority, and the VM is not added to Fleet.VMs; nil uses the fleet's
	// authority.
	ForeignAuthority *Authority
}

// AddVM chooses free addresses for a VM and starts its daemon.
func (f *Fleet) AddVM(c VMConfig) (*VM, error) {
	if c.IP == "" {
		c.IP = "127.0.0.1"
	}
	addresses, err := FreeAddresses(c.IP, 5)
	if err != nil {
		return nil, err
	}
	vm := &VM{
		Name: c.Name, Domain: c.Domain, Region: c.Region, fleet: f,
		Caller: addresses[0], Inbound: addresses[1], Peer: addresses[2], Admin: addresses[3],
		PeerVia: addresses[2], InboundVia: addresses[1], TargetAddress: addresses[4],
	}
	if c.Proxy != nil {
		vm.PeerVia, vm.InboundVia, err = c.Proxy(vm.Peer, vm.Inbound)
		if err != nil {
			return nil, err
		}
	}
	if vm.authority = c.ForeignAuthority; c.ForeignAuthority == nil {
		vm.authority = f.config.Authority
		f.mu.Lock()
		vm.index = len(f.vms)
		f.vms[c.Name] = vm
		f.mu.Unlock()
	}
	if err := vm.writeCertificate(); err != nil {
		return nil, err
	}
	return vm, vm.StartDaemon()
}

// writeCertificate writes the daemon's TLS files, unless the VM has no authority.
func (vm *VM) writeCertificate() error {
	if vm.authority == nil {
		return nil
	}
	if err := vm.Trust(vm.authority); err != nil {
		return err
	}
	return vm.authority.Issue(vm)
}

// StartDaemon writes the settings file and starts the daemon. It also restarts a
// daemon that has exited.
func (vm *VM) StartDaemon() error {
	path := vm.fleet.Path(vm.Name + ".ini")
	if err := os.WriteFile(path, []byte(settingsText(vm.fleet, vm)), 0o600); err != nil {
		return fault.Wrap(err, fault.Internal, "write the settings of %s", vm.Name)
	}
	daemon, err := vm.fleet.start(vm.Name, daemonBinary, "daemon", "--config", path)
	vm.Daemon = daemon
	return err
}

// StartTarget starts a target of the service and version. The target records its
// runs of requests in the file that RecordPath returns for this start.
func (vm *VM) StartTarget(service, version string, args ...string) error {
	vm.targetStarts++
	allArgs := []string{
		"--vm", vm.Name, "--service", service, "--version", version,
		"--listen", vm.TargetAddress, "--daemon", vm.Caller, "--record", vm.RecordPath(vm.targetStarts),
	}
	target, err := vm.fleet.start(vm.Name+"-target", targetBinary, append(allArgs, args...)...)
	vm.Target = target
	return err
}

// TargetStarts returns how often the target was started.
func (vm *VM) TargetStarts() int { return vm.targetStarts }

// RecordPath returns the path of the record file of a start of the target. Starts
// count from 1.
func (vm *VM) RecordPath(start int) string {
	return vm.fleet.Path(vm.Name + "-target-" + strconv.Itoa(start) + ".jsonl")
}

// RecordPaths returns the paths of the record files of all starts of the target.
func (vm *VM) RecordPaths() []string {
	var paths []string
	for i := range vm.targetStarts {
		paths = append(paths, vm.RecordPath(i+1))
	}
	return paths
}

// StopDaemon starts the graceful shutdown of the daemon with SIGTERM and waits
// for its exit until the timeout.
func (vm *VM) StopDaemon(timeout time.Duration) error {
	vm.Daemon.Signal(syscall.SIGTERM)
	return vm.Daemon.WaitTimeout(timeout)
}

// WaitReady polls the daemon until it reports that it is ready.
func (vm *VM) WaitReady(ctx context.Context) error {
	for {
		response, err := http.Get(fmt.Sprintf("http://%s/readyz", vm.Admin))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Timeout, "daemon %s is not ready", vm.Name)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// SetBehaviour sends the fields of the behaviour to the target, which changes them.
func (vm *VM) SetBehaviour(behaviour map[string]any) error {
	body, err := json.Marshal(behaviour)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the behaviour")
	}
	response, err := http.Post(fmt.Sprintf("http://%s/_target/behaviour", vm.TargetAddress), "application/json", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "set the behaviour of the target of %s", vm.Name)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fault.New(fault.Invalid, "the target of %s rejected the behaviour: %s", vm.Name, response.Status)
	}
	return nil
}
