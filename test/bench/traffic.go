package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

// serveTargets starts an HTTP server for the target of every VM, in this process.
func (m *mesh) serveTargets() error {
	for _, vm := range m.vms {
		server := &http.Server{Addr: vm.TargetAddress, Handler: http.HandlerFunc(handleRequest)}
		if err := m.serve(vm, server); err != nil {
			return err
		}
	}
	return nil
}

func handleRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "answer\n")
}

func (m *mesh) serve(vm *fleet.VM, server *http.Server) error {
	go func() { _ = server.ListenAndServe() }()
	m.targets.Store(vm.Name, server)
	context.AfterFunc(m.ctx, func() { _ = server.Close() })
	return fleet.WaitListening(vm.TargetAddress, readyTimeout)
}

// fail simulates the failure of VMs at the same time: it kills the daemons,
// closes the target servers and stops the callers.
func (m *mesh) fail(vms []*fleet.VM) {
	for _, vm := range vms {
		m.unannounced.Store(vm.Name, true)
		vm.Daemon.Kill()
		if server, ok := m.targets.Load(vm.Name); ok {
			_ = server.(*http.Server).Close()
		}
	}
	for _, vm := range vms {
		_ = vm.Daemon.Wait()
	}
}

// outcomePollInterval is the interval at which the open tickets are polled.
const outcomePollInterval = time.Second

// traffic is a running load of calls through all daemons to several services.
type traffic struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	tally  *tally
}

// startTraffic starts calls through each daemon at the given rate per second, to
// the first servicesCalled services in turn.
func (m *mesh) startTraffic(servicesCalled int, rate float64) *traffic {
	ctx, cancel := context.WithCancel(m.ctx)
	t := &traffic{cancel: cancel, tally: newTally()}
	client := newCaller()
	for i, vm := range m.vms {
		t.group.Go(func() { m.callFrom(ctx, client, vm, i, servicesCalled, rate, t.tally) })
	}
	return t
}

func (m *mesh) callFrom(ctx context.Context, client *http.Client, vm *fleet.VM, first, servicesCalled int, rate float64, t *tally) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := first; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, stopped := m.unannounced.Load(vm.Name); stopped {
			return
		}
		// The end of the traffic must not cancel a call in flight.
		call := load{client: client, url: fmt.Sprintf("http://%s/%s/0", vm.Caller, serviceName(n%servicesCalled))}
		call.call(context.WithoutCancel(ctx), t)
	}
}

// stop ends the traffic, waits for its calls and returns their results.
func (t *traffic) stop() *tally {
	t.cancel()
	t.group.Wait()
	return t.tally
}

// waitOutcomes waits until no ticket is open and returns the number of tickets
// from first to last by outcome. It polls the list of open tickets, because a
// ticket's status, unlike that list, is read from the platform.
func (m *mesh) waitOutcomes(first, last uint64, limit time.Duration) (map[model.Result]int, error) {
	client, err := m.fleet.Client(m.vms[0])
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(limit); ; time.Sleep(outcomePollInterval) {
		status, err := client.Status(m.ctx)
		if err == nil && status.LastTicket >= last && len(status.OpenTickets) == 0 {
			break
		}
		if time.Now().After(deadline) {
			return nil, fault.New(fault.Timeout, "tickets %v are open after %s", status.OpenTickets, limit)
		}
	}
	results := map[model.Result]int{}
	for number := first; number <= last; number++ {
		status, err := client.Ticket(m.ctx, number)
		if err != nil {
			return results, err
		}
		results[model.Result(status.State)]++
	}
	return results, nil
}
