// Package fleet starts the processes of a small mesh on loopback addresses: the
// stand-in for the platform's table and object store, and a daemon and a test
// target for each VM. Tests, the demo and the benchmarks use it; the product
// starts no processes.
package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Names of the binaries in Config.Bin.
const (
	daemonBinary  = "magnoliamount"
	standinBinary = "standin"
	targetBinary  = "target"
	callerBinary  = "caller"
)

// Tokens of the administration API and of the connections between daemons.
const (
	adminToken = "operators-token"
	peerToken  = "daemons-token"
)

// Config contains the settings of a fleet.
type Config struct {
	// Bin is the directory of the binaries.
	Bin string
	// Dir is the directory for settings files, logs and record files.
	Dir string
	// Authority signs the daemons' certificates; nil disables TLS between daemons.
	Authority *Authority
	// Settings is INI text that is appended to every daemon's settings file.
	Settings string
}

// Fleet is a running mesh.
type Fleet struct {
	config   Config
	Platform *Process
	// PlatformAddress is the address on which the stand-in listens.
	PlatformAddress string
	// PlatformDialAddress is the address at which daemons connect to the platform,
	// such as that of a proxy.
	PlatformDialAddress string

	mu        sync.Mutex
	vms       map[string]*VM
	processes []*Process
}

// New starts the stand-in for the platform and waits until it listens.
func New(config Config) (*Fleet, error) {
	if err := os.MkdirAll(config.Dir, 0o755); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "create %s", config.Dir)
	}
	addresses, err := FreeAddresses("127.0.0.1", 1)
	if err != nil {
		return nil, err
	}
	f := &Fleet{config: config, PlatformAddress: addresses[0], PlatformDialAddress: addresses[0], vms: map[string]*VM{}}
	f.Platform, err = f.start("standin", standinBinary, "--listen", f.PlatformAddress)
	if err != nil {
		return nil, err
	}
	return f, WaitListening(f.PlatformAddress, 10*time.Second)
}

// WaitListening waits until the address accepts connections.
func WaitListening(address string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fault.New(fault.Timeout, "no process listens on %s after %s", address, timeout)
}

// Client returns a client of the administration API that tries the daemons of
// the VMs in turn.
func (f *Fleet) Client(vms ...*VM) (*admin.Client, error) {
	var servers []string
	for _, vm := range vms {
		servers = append(servers, vm.Admin)
	}
	return admin.NewClient(admin.ClientConfig{Servers: servers, Token: adminToken})
}

// VMs returns the VMs in the order in which they were added.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []*VM
	for i := range len(f.vms) {
		for _, vm := range f.vms {
			if vm.index == i {
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// VM returns the VM with the name, or nil.
func (f *Fleet) VM(name string) *VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[name]
}

// WaitReady waits until every daemon reports that it is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, vm := range f.VMs() {
		if err := vm.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Path returns the path of a file in the fleet's directory.
func (f *Fleet) Path(name string) string { return filepath.Join(f.config.Dir, name) }

// Close kills all processes and waits for their exit. Daemons do not shut down
// gracefully.
func (f *Fleet) Close() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	for _, p := range processes {
		_ = p.Wait()
	}
}

// start starts a binary of the fleet, with its output in the log file of the name.
func (f *Fleet) start(name, binary string, args ...string) (*Process, error) {
	p, err := startProcess(name, filepath.Join(f.config.Bin, binary), f.Path(name+".log"), args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// StartCaller starts a caller with the arguments; it writes its summary to the
// log file of the name.
func (f *Fleet) StartCaller(name string, args ...string) (*Process, error) {
	return f.start(name, callerBinary, args...)
}

// settingsText returns the settings file of the VM's daemon.
func settingsText(f *Fleet, vm *VM) string {
	return fmt.Sprintf(`[vm]
name = %s
failure_domain = %s
region = %s
[listen]
caller = %s
inbound = %s
peer = %s
admin = %s
[advertise]
peer = %s
inbound = %s
[peers]
token = %s
%s[platform]
table_endpoint = http://%s
table = magnoliamount
object_endpoint = http://%s
bucket = magnoliamount
region = region-1
access_key = test-access-key
secret_key = test-secret-key
[admin]
token = %s
%s
`, vm.Name, vm.Domain, vm.Region, vm.Caller, vm.Inbound, vm.Peer, vm.Admin, vm.PeerVia, vm.InboundVia,
		peerToken, vm.tlsSettings(), f.PlatformDialAddress, f.PlatformDialAddress, adminToken, f.config.Settings)
}
