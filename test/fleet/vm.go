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

// VM is a daemon and the target beside it.
type VM struct {
	Name   string
	Domain string
	Region string
	// Addresses of the daemon's listeners.
	Caller  string
	Inbound string
	Peer    string
	Admin   string
	// PeerVia and InboundVia are the addresses that others use, such as those
	// of a fault-injecting proxy.
	PeerVia    string
	InboundVia string

	Daemon *Process
	Target *Process

	// TargetAddress is where the target takes requests.
	TargetAddress string

	fleet     *Fleet
	authority *Authority
	index     int
	starts    int
}

// VMConfig describes a VM.
type VMConfig struct {
	Name   string
	Domain string
	Region string
	// IP is a loopback address; empty means 127.0.0.1.
	IP string
	// Via replaces the advertised peer and inbound addresses by others that
	// lead there; nil keeps them.
	Via func(peer, inbound string) (viaPeer, viaInbound string, err error)
	// Stranger is another authority that signs the certificate of this VM,
	// which is then not among the fleet's VMs; nil takes the fleet's.
	Stranger *Authority
}

// AddVM chooses the addresses of a VM and starts its daemon.
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
	if c.Via != nil {
		vm.PeerVia, vm.InboundVia, err = c.Via(vm.Peer, vm.Inbound)
		if err != nil {
			return nil, err
		}
	}
	if vm.authority = c.Stranger; c.Stranger == nil {
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

func (vm *VM) writeCertificate() error {
	if vm.authority == nil {
		return nil
	}
	if err := vm.Trust(vm.authority); err != nil {
		return err
	}
	return vm.authority.Issue(vm)
}

// StartDaemon starts the daemon, also after it ended.
func (vm *VM) StartDaemon() error {
	path := vm.fleet.Path(vm.Name + ".ini")
	if err := os.WriteFile(path, []byte(settingsText(vm.fleet, vm)), 0o600); err != nil {
		return fault.Wrap(err, fault.Internal, "write settings of %s", vm.Name)
	}
	daemon, err := vm.fleet.start(vm.Name, daemonBinary, "daemon", "--config", path)
	vm.Daemon = daemon
	return err
}

// StartTarget starts a target of the service and version. The record of its
// runs is the file that Record returns.
func (vm *VM) StartTarget(service, version string, args ...string) error {
	vm.starts++
	all := []string{
		"--vm", vm.Name, "--service", service, "--version", version,
		"--listen", vm.TargetAddress, "--daemon", vm.Caller, "--record", vm.Record(vm.starts),
	}
	target, err := vm.fleet.start(vm.Name+"-target", targetBinary, append(all, args...)...)
	vm.Target = target
	return err
}

// Starts returns how often the target was started.
func (vm *VM) Starts() int { return vm.starts }

// Record names the record file of a start of the target, counted from 1.
func (vm *VM) Record(start int) string {
	return vm.fleet.Path(vm.Name + "-target-" + strconv.Itoa(start) + ".jsonl")
}

// Records names the record files of all starts of the target.
func (vm *VM) Records() []string {
	var names []string
	for i := range vm.starts {
		names = append(names, vm.Record(i+1))
	}
	return names
}

// StopDaemon begins the planned stop and waits for its end.
func (vm *VM) StopDaemon(limit time.Duration) error {
	vm.Daemon.Signal(syscall.SIGTERM)
	return vm.Daemon.WaitTimeout(limit)
}

// WaitReady waits until the daemon serves.
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

// Behave changes the behaviour of the target.
func (vm *VM) Behave(behaviour map[string]any) error {
	body, err := json.Marshal(behaviour)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode behaviour")
	}
	response, err := http.Post(fmt.Sprintf("http://%s/_target/behaviour", vm.TargetAddress), "application/json", bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "set behaviour of %s", vm.Name)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fault.New(fault.Invalid, "target of %s refused its behaviour: %s", vm.Name, response.Status)
	}
	return nil
}
