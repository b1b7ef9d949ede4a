package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// vmFault is a way in which a simulated VM fails.
type vmFault struct {
	name string
	// unreachable makes connections to and from the VM hang, and refused makes them
	// fail. storeUnreachable makes its calls to the store hang, and storeRefused makes
	// them fail, those that are pending at the time too.
	unreachable, refused, storeUnreachable, storeRefused bool
	// table, if set, limits the fault of the store to one of its tables.
	table string
	// delay is added to each message that the VM receives or sends.
	delay time.Duration
	// lasts is how long the fault lasts; zero means for good.
	lasts time.Duration
}

// simulatedVM is a VM of a simulatedMesh.
type simulatedVM struct {
	mesh   *simulatedMesh
	daemon *Daemon
	name   string
	domain string
	mu     sync.Mutex
	fault  *vmFault
	// repaired is closed when the fault ends, and reset when the store resets the VM's
	// connections.
	repaired, reset chan struct{}
	// suspended is the time for which the VM was suspended, and killed ends the daemon.
	suspended atomic.Int64
	kill      context.CancelFunc
}

// fail starts the fault.
func (vm *simulatedVM) fail(f *vmFault) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	repaired := make(chan struct{})
	vm.fault, vm.repaired = f, repaired
	if f.storeRefused {
		close(vm.reset)
		vm.reset = make(chan struct{})
	}
	if f.lasts == 0 {
		return
	}
	time.AfterFunc(f.lasts, func() {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		vm.fault = nil
		close(repaired)
	})
}

// faulty reports whether the VM currently has a fault.
func (vm *simulatedVM) faulty() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.fault != nil
}

// transfer waits as long as a message to or from the VM takes. It fails when ctx ends
// or the VM refuses connections. table is set for a message to or from the store.
func (vm *simulatedVM) transfer(ctx context.Context, table string) error {
	vm.mu.Lock()
	f, repaired := vm.fault, vm.repaired
	vm.mu.Unlock()
	store := table != "" && f != nil && (f.table == "" || f.table == table)
	switch {
	case f == nil:
	case f.refused || f.storeRefused && store:
		return fault.New(fault.Unavailable, "connection refused")
	case f.unreachable || f.storeUnreachable && store:
		select {
		case <-repaired:
		case <-ctx.Done():
		}
	default:
		sleep(ctx, f.delay)
	}
	return ctx.Err()
}

// simulatedMesh is a mesh of daemons whose store, network and clock are simulated.
// It must be created in a synctest bubble.
type simulatedMesh struct {
	vms       []*simulatedVM
	addresses map[string]*simulatedVM

	mu      sync.Mutex
	version uint64
	rows    map[rows.Key]rows.Row
	// removed holds the version of the removal of each row that does not exist any more.
	removed map[rows.Key]uint64
	changed chan struct{}
	// era counts the restores of the store.
	era uint64
	// settings changes the configuration of each daemon; it may be nil.
	settings func(*Config)
	// reads counts the lists and watches that have reached the store, and attempts all
	// that daemons have begun.
	reads, attempts int
}

const (
	// networkLatency and storeLatency are the times that a message between two VMs
	// and a call of the store take.
	networkLatency = time.Millisecond
	storeLatency   = 4 * time.Millisecond
	// storeCallMargin is how much longer than its wait time a call of the store may
	// take before the client of the store gives up.
	storeCallMargin = 700 * time.Millisecond
)

// newSimulatedMesh starts the daemons of VMs in the failure domains and waits until
// they follow rows. All of them end with the test.
func newSimulatedMesh(t *testing.T, vms, domains int) *simulatedMesh {
	return newSimulatedMeshWith(t, vms, domains, nil)
}

// newSimulatedMeshWith is newSimulatedMesh with changed settings.
func newSimulatedMeshWith(t *testing.T, vms, domains int, settings func(*Config)) *simulatedMesh {
	m := &simulatedMesh{addresses: map[string]*simulatedVM{}, rows: map[rows.Key]rows.Row{}, removed: map[rows.Key]uint64{}, changed: make(chan struct{}), settings: settings}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	m.configure(1)
	for i := range vms {
		m.addVM(fmt.Sprintf("vm%d", i), fmt.Sprintf("domain%d", i%domains))
	}
	for _, vm := range m.vms {
		vm.start(ctx)
	}
	time.Sleep(5 * time.Second)
	return m
}

func (m *simulatedMesh) addVM(name, domain string) {
	vm := &simulatedVM{mesh: m, name: name, domain: domain, reset: make(chan struct{})}
	peer := name + ":1"
	vm.create()
	m.vms, m.addresses[peer] = append(m.vms, vm), vm
	m.write((&mesh.TargetRecord{VM: name, Incarnation: 1, Sequence: 1, State: "ready", Domain: domain, Inbound: name + ":2", Peer: peer}).Row())
}

// create sets the daemon of the VM, which is not started.
func (vm *simulatedVM) create() {
	config := Config{
		VM: vm.name, Domain: vm.domain, Service: "order", Inbound: vm.name + ":2", Peer: vm.name + ":1",
		Store: vm, Evacuation: 5 * time.Second, Operators: versionedOperators{}, Logger: logging.Discard().Component("test"), Boottime: vm.boottime,
	}
	if vm.mesh.settings != nil {
		vm.mesh.settings(&config)
	}
	vm.daemon = New(config)
	vm.daemon.longPollClient.Transport, vm.daemon.peerClient.Transport = vm, vm
	vm.daemon.target.applyHeartbeat(time.Now(), Heartbeat{Instance: "i-" + vm.name, StartUnixMS: 1, Sequence: 1, Service: "order", Version: "v1", Slots: 4})
}

// start starts the daemon of the VM until ctx ends or kill is called.
func (vm *simulatedVM) start(ctx context.Context) {
	ctx, vm.kill = context.WithCancel(ctx)
	vm.daemon.backgroundContext = ctx
	go vm.daemon.run(ctx)
	go vm.daemon.followRows(ctx)
	if vm.mesh.settings != nil {
		go vm.daemon.runGossip(ctx)
	}
}

// boottime is the clock of the VM that includes the time for which it was suspended.
func (vm *simulatedVM) boottime() time.Duration {
	return time.Since(simulationEpoch) + time.Duration(vm.suspended.Load())
}

// simulationEpoch is before the start of the time in a synctest bubble.
var simulationEpoch = time.Unix(0, 0)

// restore replaces the rows of the store by those of a backup.
func (m *simulatedMesh) restore(backup map[rows.Key]rows.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	newest := uint64(0)
	m.rows = map[rows.Key]rows.Row{}
	for key, row := range backup {
		newest = max(newest, rows.Counter(row.Version))
		row.Version = rows.Version(m.era, row.Version)
		m.rows[key] = row
	}
	m.version = rows.Version(m.era, newest)
	close(m.changed)
	m.changed = make(chan struct{})
}

// backup returns the rows of the store.
func (m *simulatedMesh) backup() map[rows.Key]rows.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.rows)
}

// write stores a row.
func (m *simulatedMesh) write(row rows.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	row.Version = m.version
	m.rows[row.Key] = row
	delete(m.removed, row.Key)
	close(m.changed)
	m.changed = make(chan struct{})
}

// remove removes a row.
func (m *simulatedMesh) remove(key rows.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	delete(m.rows, key)
	m.removed[key] = m.version
	close(m.changed)
	m.changed = make(chan struct{})
}

// configure stores the version of the configuration.
func (m *simulatedMesh) configure(version int) {
	m.write(rows.Row{Key: rows.Key{Table: "operators", Name: "config"}, Value: []byte(strconv.Itoa(version))})
}

// configuration returns the version of the configuration in force on the VM.
func (vm *simulatedVM) configuration() (version uint64) {
	vm.daemon.loop.call(func(time.Time) {
		if c := vm.daemon.node.Configuration(); c != nil {
			version = c.Version
		}
	})
	return version
}

// readers returns the VMs whose daemons read the store.
func (m *simulatedMesh) readers() (readers []*simulatedVM) {
	for _, vm := range m.vms {
		if vm.daemon.reading.Load() {
			readers = append(readers, vm)
		}
	}
	return readers
}

// storeReads returns the number of lists and watches of all daemons.
func (m *simulatedMesh) storeReads() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// storeAttempts returns the number of lists and watches that all daemons have begun.
func (m *simulatedMesh) storeAttempts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.attempts
}

// RoundTrip implements http.RoundTripper for the requests of the VM's daemon to other
// daemons.
func (vm *simulatedVM) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	other := vm.mesh.addresses[r.URL.Host]
	pass := func() error {
		sleep(ctx, networkLatency)
		if err := vm.transfer(ctx, ""); err != nil {
			return err
		}
		return other.transfer(ctx, "")
	}
	if err := pass(); err != nil {
		return nil, err
	}
	served := r.Clone(ctx)
	served.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	if r.URL.Path == lostStatePath {
		other.daemon.serveLostState(recorder, served)
	} else {
		other.daemon.serveGossip(recorder, served)
	}
	if err := pass(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// call plays the way of a call to the store, counts it and returns the rows of the
// table that were written or removed after the version.
func (vm *simulatedVM) call(ctx context.Context, table string, after uint64, wait time.Duration) ([]rows.Change, uint64, error) {
	m := vm.mesh
	ctx, cancel := context.WithTimeout(ctx, wait+storeCallMargin)
	defer cancel()
	m.mu.Lock()
	m.attempts++
	m.mu.Unlock()
	vm.mu.Lock()
	reset := vm.reset
	vm.mu.Unlock()
	if err := vm.transfer(ctx, table); err != nil {
		return nil, 0, fault.Wrap(err, fault.Unavailable, "the store did not respond")
	}
	m.mu.Lock()
	m.reads++
	m.mu.Unlock()
	sleep(ctx, storeLatency)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for waiting := true; ; {
		m.mu.Lock()
		var newer []rows.Change
		for _, row := range m.rows {
			if row.Table == table && row.Version > after {
				newer = append(newer, rows.Change{Row: row})
			}
		}
		for key, version := range m.removed {
			if key.Table == table && version > after {
				newer = append(newer, rows.Change{Row: rows.Row{Key: key, Version: version}, Removed: true})
			}
		}
		version, changed := m.version, m.changed
		m.mu.Unlock()
		if after > 0 && rows.Era(version) > rows.Era(after) {
			return nil, 0, fault.New(fault.Stale, "the store was restored")
		}
		if len(newer) > 0 || !waiting {
			if err := vm.transfer(ctx, table); err != nil {
				return nil, 0, fault.Wrap(err, fault.Unavailable, "the store did not respond")
			}
			return newer, version, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-reset:
			return nil, 0, fault.New(fault.Unavailable, "connection reset")
		case <-ctx.Done():
			return nil, 0, fault.Wrap(ctx.Err(), fault.Unavailable, "canceled")
		}
	}
}

// List implements rows.Store.
func (vm *simulatedVM) List(ctx context.Context, table string) (rows.Snapshot, error) {
	all, version, err := vm.call(ctx, table, 0, 0)
	snapshot := rows.Snapshot{Version: version}
	for _, c := range all {
		if !c.Removed {
			snapshot.Rows = append(snapshot.Rows, c.Row)
		}
	}
	return snapshot, err
}

// Watch implements rows.Store.
func (vm *simulatedVM) Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]rows.Change, uint64, error) {
	return vm.call(ctx, table, after, wait)
}

// Commit implements rows.Store. The simulated daemons write nothing.
func (vm *simulatedVM) Commit(context.Context, rows.Transaction) (uint64, error) {
	return 0, fault.New(fault.ConditionFailed, "the simulated store takes no writes")
}

// Clock implements rows.Store.
func (vm *simulatedVM) Clock() (time.Duration, bool) { return 0, false }
