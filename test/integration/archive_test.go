package integration_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/fleet"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// The archive is an additional service on VMs that the scenarios' own faults
// avoid as far as possible. While a scenario's fault is active, one of the
// archive's VMs is replaced by a planned stop, and a bad version of the archive
// is taken back.
const (
	archive = "archive"
	// archiveNotes is a service that the ticket with the bad version adds. It
	// must be removed when the ticket is taken back.
	archiveNotes = "archive-notes"
	// archiveRate is the load of lookups, in requests a second. 5% of it must be
	// enough evidence to detect a bad version within seconds.
	archiveRate = 60
	// archiveUploadTime exceeds leaveLimit, so that the daemon still drains
	// after the time from which a new request counts as too late.
	archiveUploadTime = 8 * time.Second
	// archiveMoveTime is long enough that the bad version's health is decided
	// before it counts as proved, even if a new controller must take over first.
	archiveMoveTime = 60 * time.Second
	// archiveLinger is short, because no daemon forwards requests to the
	// stopping target.
	archiveLinger = "1s"
	// uploadStartLimit bounds the time until an upload runs on the VM that is
	// about to stop.
	uploadStartLimit = 20 * time.Second
)

// Numbers of the archive's VMs.
const (
	firstArchiveVM  = 9
	secondArchiveVM = 10
	badArchiveVM    = 11
)

// archiveTargets are added after the targets of a scenario, which are eight.
var archiveTargets = []targetConfig{{archive, "v1"}, {archive, "v1"}, {archive, "v2"}}

func archiveRoutes() []model.Route {
	return []model.Route{
		{Name: "archive-lookup", PathPrefix: "/archive/lookup", Service: archive, Class: model.Urgent, Idempotent: true},
		{Name: "archive-scan", PathPrefix: "/archive/scan", Service: archive, Class: model.Bulk},
	}
}

// archiveActions are the actions on the archive that run while a scenario's
// fault is active.
type archiveActions struct {
	// ticket is the number of the ticket with the bad version.
	ticket     uint64
	replacedVM *fleet.VM
	// stopped receives the result of the planned stop: nil, or the panic value
	// of a failed expectation.
	stopped chan any
}

// startArchiveActions starts a planned stop and a move to a bad version.
func (w *world) startArchiveActions() *archiveActions {
	actions := w.startReplacement()
	actions.ticket = w.submitBadArchiveTicket()
	return actions
}

// submitBadArchiveTicket submits a ticket that moves the archive to a version
// that fails most requests and returns the ticket's number. The ticket also adds
// a service and a route.
func (w *world) submitBadArchiveTicket() uint64 {
	w.breakArchiveVersion()
	t := w.newBadArchiveTicket()
	w.accept(t)
	return t.Number
}

// breakArchiveVersion makes the archive's v2 fail most requests.
func (w *world) breakArchiveVersion() {
	w.Expect(w.vm(badArchiveVM).SetBehaviour(map[string]any{"fail_fraction": 0.9, "lie_health": true})).To(gomega.Succeed())
	w.logf("%s v2 now fails most requests", archive)
}

// cutStopLimit bounds the time until a bad version stops getting requests while
// links are cut. Neither the evidence nor a brake reaches the daemons on the
// other side before the links are restored and the tree has converged.
func cutStopLimit(cut time.Duration) time.Duration { return cut + inForceLimit + stopLimit }

// newBadArchiveTicket returns the ticket that moves the archive to its bad
// version and makes the checker require that it is taken back.
func (w *world) newBadArchiveTicket() *model.Ticket {
	t := newRouteTicket(w.nextNumber(), archiveNotes)
	t.Note = "move the archive to v2"
	t.Services = append(t.Services, model.Service{Name: archive, Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": model.TotalShare}})
	t.Moves = []model.Move{{Service: archive, Finish: time.Now().Add(archiveMoveTime).Truncate(time.Millisecond), Prefer: model.OnTime}}
	w.expectTakenBack(t, checker.BadVersion{MaxShare: unprovedShareLimit, StopLimit: w.archiveStopLimit})
	return t
}

// startReplacement starts the planned stop of a VM with uploads in flight. The
// target runs until the daemon has ended: if both drained at the same time, the
// drain of one would hide that the other still accepts late requests.
func (w *world) startReplacement() *archiveActions {
	vm := w.chooseReplacedVM()
	w.startCaller("archive-uploads", "--rate", "4", "--get-weight", "0", "--once-weight", "0", "--upload-weight", "1",
		"--upload-path", "/archive/scan", "--upload-bytes", "262144", "--upload-time", archiveUploadTime.String(), "--timeout", "45s")
	uploads := w.callers[len(w.callers)-1].process
	w.waitUntil("an upload runs on "+vm.Name, uploadStartLimit, func() bool { return openUploads(vm.RecordPath(vm.TargetStarts())) > 0 })
	w.setStopping(vm, true)
	actions := &archiveActions{replacedVM: vm, stopped: make(chan any, 1)}
	go func() {
		// A failed expectation panics; finishReplacement panics with the same
		// value in the scenario's goroutine.
		defer func() { actions.stopped <- recover() }()
		w.stopDaemon(vm)
		w.stopTarget(vm)
	}()
	w.pause(time.Second)
	uploads.Signal(syscall.SIGTERM)
	return actions
}

// chooseReplacedVM returns an archive VM whose daemon is not the controller,
// because scenarios kill, suspend or cut off the controller.
func (w *world) chooseReplacedVM() *fleet.VM {
	if first := w.vm(firstArchiveVM); first != w.controller() {
		return first
	}
	return w.vm(secondArchiveVM)
}

// finishReplacement waits for the end of the planned stop and restarts the
// VM's daemon and target.
func (w *world) finishReplacement(actions *archiveActions) {
	if failed := <-actions.stopped; failed != nil {
		panic(failed)
	}
	vm := actions.replacedVM
	w.restartDaemon(vm)
	w.endPlannedStop(vm)
	w.setStopping(vm, false)
	w.waitReady()
	w.Expect(vm.StartTarget(archive, "v1", "--linger", archiveLinger)).To(gomega.Succeed())
}

// finishArchiveActions completes the replacement and waits until the bad
// version's ticket is taken back.
func (w *world) finishArchiveActions(actions *archiveActions) {
	w.finishReplacement(actions)
	w.waitState(actions.ticket, "taken-back")
}

// openUploads returns the number of uploads in flight according to a target's
// record.
func openUploads(path string) int {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	open := map[uint64]bool{}
	for line := range strings.Lines(string(content)) {
		var e target.Entry
		if json.Unmarshal([]byte(line), &e) != nil || !strings.HasPrefix(e.Path, "/archive/scan") {
			continue
		}
		if e.Phase == target.PhaseRunStarted {
			open[e.Run] = true
		} else {
			delete(open, e.Run)
		}
	}
	return len(open)
}

// isStopping reports whether the VM's planned stop is in progress.
func (w *world) isStopping(vm *fleet.VM) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stoppingVMs[vm.Name]
}

func (w *world) setStopping(vm *fleet.VM, stopping bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stoppingVMs[vm.Name] = stopping
}

// partialTicket returns a violation if a state contains some but not all parts
// of the bad archive's ticket, and nothing otherwise.
func partialTicket(vm string, state *admin.StateBody) []string {
	parts := map[string]bool{"the new version": false, "the new service": false, "the new route": false}
	for _, s := range state.Services {
		if s.Name == archive && len(s.Versions) > 1 {
			parts["the new version"] = true
		}
		if s.Name == archiveNotes {
			parts["the new service"] = true
		}
	}
	for _, r := range state.Routes {
		if r.Name == archiveNotes {
			parts["the new route"] = true
		}
	}
	if parts["the new version"] == parts["the new service"] && parts["the new service"] == parts["the new route"] {
		return nil
	}
	return []string{fmt.Sprintf("%s at revision %d has only some parts of the archive's ticket: %v", vm, state.Revision, parts)}
}
