package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/test/caller"
	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

const (
	service = "orders"
	// moveTime is the time from the creation of a move's ticket to its finish
	// time.
	moveTime = 12 * time.Second
)

// demo is a fleet and an operator's client for it.
type demo struct {
	fleet  *fleet.Fleet
	client *admin.Client
}

// runDemo carries out the demo with a fleet that keeps its files in dir.
func runDemo(ctx context.Context, dir string) error {
	f, err := fleet.New(fleet.Config{Bin: "bin", Dir: dir})
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demo{fleet: f}
	if err := d.startVMs(ctx); err != nil {
		return err
	}
	if err := d.accept(ctx, newSetupTicket()); err != nil {
		return err
	}
	if err := d.waitState(ctx, 1, "done"); err != nil {
		return err
	}
	load, err := d.startCaller()
	if err != nil {
		return err
	}
	if err := d.move(ctx, 2, "v2", string(model.Done)); err != nil {
		return err
	}
	if err := d.breakVersion("v3"); err != nil {
		return err
	}
	if err := d.move(ctx, 3, "v3", string(model.TakenBack)); err != nil {
		return err
	}
	return d.finish(load)
}

// startVMs starts six VMs in two failure domains, two for each version.
func (d *demo) startVMs(ctx context.Context) error {
	for i, version := range []string{"v1", "v1", "v2", "v2", "v3", "v3"} {
		name := fmt.Sprintf("vm-%d", i+1)
		vm, err := d.fleet.AddVM(fleet.VMConfig{Name: name, Domain: fmt.Sprintf("domain-%d", i%2+1), Region: "region-1"})
		if err != nil {
			return err
		}
		if err := vm.StartTarget(service, version); err != nil {
			return err
		}
	}
	if err := d.fleet.WaitReady(ctx); err != nil {
		return err
	}
	client, err := d.fleet.Client(d.fleet.VMs()...)
	d.client = client
	fmt.Println("6 daemons in 2 failure domains are ready")
	return err
}

func newSetupTicket() *model.Ticket {
	routes := []model.Route{
		{Name: "lookup", PathPrefix: "/lookup", Service: service, Class: model.Urgent, Idempotent: true},
		{Name: "reorder", PathPrefix: "/reorder", Service: service, Class: model.Normal, Once: true},
		{Name: "scan", PathPrefix: "/scan", Service: service, Class: model.Bulk},
	}
	return &model.Ticket{
		Number: 1, Note: "set up the order service", Routes: routes,
		Services: []model.Service{{Name: service, Versions: []string{"v1"}, Shares: map[string]uint32{"v1": model.TotalShare}}},
	}
}

// newMoveTicket returns a ticket that moves the service between two versions.
func newMoveTicket(number uint64, from, to string) *model.Ticket {
	return &model.Ticket{
		Number: number, Note: "move to " + to,
		Services: []model.Service{{Name: service, Versions: []string{from, to}, Shares: map[string]uint32{to: model.TotalShare}}},
		Moves:    []model.Move{{Service: service, Finish: time.Now().Add(moveTime), Prefer: model.OnTime}},
	}
}

// move accepts a ticket that moves the service and waits until it ends in the
// wanted state.
func (d *demo) move(ctx context.Context, number uint64, to, want string) error {
	from := map[string]string{"v2": "v1", "v3": "v2"}[to]
	ticket := newMoveTicket(number, from, to)
	if err := d.accept(ctx, ticket); err != nil {
		return err
	}
	return d.waitState(ctx, number, want)
}

// accept submits a ticket and waits until it is in force on all proxies.
func (d *demo) accept(ctx context.Context, t *model.Ticket) error {
	started := time.Now()
	status, err := d.client.Submit(ctx, t)
	if err != nil {
		return err
	}
	fmt.Printf("ticket %d (%s) accepted as revision %d\n", t.Number, t.Note, status.Revision)
	for !status.InForce {
		if status, err = d.poll(ctx, t.Number); err != nil {
			return err
		}
	}
	fmt.Printf("ticket %d is in force on %d of %d proxies after %s\n", t.Number, status.Applied, status.Members, time.Since(started).Round(10*time.Millisecond))
	return nil
}

// poll requests the ticket's status after a pause of 100 ms.
func (d *demo) poll(ctx context.Context, number uint64) (admin.TicketStatus, error) {
	select {
	case <-ctx.Done():
		return admin.TicketStatus{}, fault.New(fault.Timeout, "waiting for ticket %d", number)
	case <-time.After(100 * time.Millisecond):
	}
	return d.client.Ticket(ctx, number)
}

// waitState prints the progress of a ticket until it is no longer open, and
// returns an error if its state is not the wanted one.
func (d *demo) waitState(ctx context.Context, number uint64, want string) error {
	progress := uint32(0)
	for {
		status, err := d.poll(ctx, number)
		if err != nil {
			return err
		}
		if status.Progress > progress {
			progress = status.Progress
			fmt.Printf("ticket %d: %.1f%% of the traffic has moved\n", number, float64(progress)/10)
		}
		if status.State == "open" {
			continue
		}
		fmt.Printf("ticket %d is %s %s\n", number, status.State, status.Reason)
		if status.State != want {
			return fault.New(fault.Internal, "ticket %d is %s, not %s", number, status.State, want)
		}
		return nil
	}
}

func (d *demo) startCaller() (*fleet.Process, error) {
	args := []string{"--rate", "200", "--upload-weight", "1", "--upload-time", "1s", "--record", d.fleet.Path("caller.jsonl")}
	for _, vm := range d.fleet.VMs() {
		args = append(args, "--listener", vm.Caller)
	}
	return d.fleet.StartCaller("caller", args...)
}

// breakVersion makes the targets of v3, which run on the last two VMs, fail 30%
// of their requests.
func (d *demo) breakVersion(version string) error {
	for _, vm := range d.fleet.VMs()[4:] {
		if err := vm.SetBehaviour(map[string]any{"fail_fraction": 0.3}); err != nil {
			return err
		}
	}
	fmt.Printf("targets of %s now fail 30%% of the requests\n", version)
	return nil
}

// finish stops the caller and compares the responses that it recorded with the
// requests that the targets ran.
func (d *demo) finish(load *fleet.Process) error {
	load.Signal(syscall.SIGTERM)
	if err := load.WaitTimeout(10 * time.Second); err != nil {
		return err
	}
	output, err := os.ReadFile(d.fleet.Path("caller.log"))
	if err != nil {
		return fault.Wrap(err, fault.Internal, "read the caller's summary")
	}
	var summary caller.Summary
	if err := json.Unmarshal(output, &summary); err != nil {
		return fault.Wrap(err, fault.Internal, "decode the caller's summary")
	}
	records, _ := filepath.Glob(d.fleet.Path("*-target-*.jsonl"))
	recorded, err := checker.Read(checker.Files{Callers: []string{d.fleet.Path("caller.jsonl")}, Targets: records})
	if err != nil {
		return err
	}
	report := checker.Check(recorded, checker.Options{})
	fmt.Printf("requests: sent %d, answered %d, failed by the bad version %d, not run %d, lost %d, doubled %d, cut %d, crossed %d\n",
		summary.Sent, summary.Answered, summary.Failed, summary.NotRun,
		report.Count(checker.Lost), report.Count(checker.Doubled), report.Count(checker.Cut), report.Count(checker.Crossed))
	if len(report.Findings) > 0 {
		return fault.New(fault.Internal, "%d findings, the first is %v", len(report.Findings), report.Findings[0])
	}
	return nil
}
