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

// The archive is a further service on VMs that the scenarios' own faults leave
// alone as far as possible. While the fault is active, one of its VMs is
// replaced as planned, and a bad version of it is taken back.
const (
	archive = "archive"
	// archiveNotes is a service that the ticket with the bad version adds. It
	// must go when the ticket is taken back.
	archiveNotes = "archive-notes"
	// archiveRate is the rate of lookups. 5% of it must show a bad version
	// within seconds.
	archiveRate = 60
	// archiveUploadTime exceeds leaveLimit, so that the daemon still drains
	// when late work would arrive.
	archiveUploadTime = 8 * time.Second
	// archiveMoveTime leaves the bad version unproved until it is judged, also
	// when a controller must be found first.
	archiveMoveTime = 60 * time.Second
	// archiveLinger is short, because no daemon forwards work to the target
	// that stops.
	archiveLinger = "1s"
	// uploadsSeenLimit bounds the time until an upload runs on the VM.
	uploadsSeenLimit = 20 * time.Second
)

// Numbers of the archive's VMs.
const (
	firstArchiveVM  = 9
	secondArchiveVM = 10
	badVM           = 11
)

// archivePlaces follow the places of a scenario, which are eight.
var archivePlaces = []place{{archive, "v1"}, {archive, "v1"}, {archive, "v2"}}

func archiveRoutes() []model.Route {
	return []model.Route{
		{Name: "archive-lookup", PathPrefix: "/archive/lookup", Service: archive, Class: model.Urgent, Idempotent: true},
		{Name: "archive-scan", PathPrefix: "/archive/scan", Service: archive, Class: model.Bulk},
	}
}

// archiveActs are the acts that run while a scenario's fault is active.
type archiveActs struct {
	ticket  uint64
	leaving *fleet.VM
	stopped chan any
}

// beginArchive begins both acts.
func (w *world) beginArchive() *archiveActs {
	acts := w.beginReplacement()
	acts.ticket = w.beginBadArchive()
	return acts
}

// beginBadArchive submits a ticket that moves the archive to a version that
// fails most requests. The ticket also adds a service and a route.
func (w *world) beginBadArchive() uint64 {
	w.spoilArchive()
	t := w.badArchive()
	w.accept(t)
	return t.Number
}

// spoilArchive makes the archive's second version fail most requests.
func (w *world) spoilArchive() {
	w.Expect(w.vm(badVM).Behave(map[string]any{"fail_fraction": 0.9, "lie_health": true})).To(gomega.Succeed())
	w.note("%s v2 fails", archive)
}

// cutStopLimit bounds the stop of a bad version while links are cut for a
// time. Neither the evidence nor a brake reaches the daemons on the other side
// before the links are healed and the tree has come together.
func cutStopLimit(cut time.Duration) time.Duration { return cut + inForceLimit + stopLimit }

func (w *world) badArchive() *model.Ticket {
	t := addRoute(w.number(), archiveNotes)
	t.Note = "move the archive to v2"
	t.Services = append(t.Services, model.Service{Name: archive, Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": model.TotalShare}})
	t.Moves = []model.Move{{Service: archive, Finish: time.Now().Add(archiveMoveTime).Truncate(time.Millisecond), Prefer: model.OnTime}}
	w.expectTakenBack(t, checker.BadVersion{MaxShare: smallShare, StopLimit: w.archiveStopLimit})
	return t
}

// beginReplacement starts the planned stop of a VM with uploads in flight. The
// target stays until the daemon has ended: if both drained together, the drain
// of either would hide that the other one lets late work in.
func (w *world) beginReplacement() *archiveActs {
	vm := w.leavingVM()
	w.startCaller("archive-uploads", "--rate", "4", "--get-weight", "0", "--once-weight", "0", "--upload-weight", "1",
		"--upload-path", "/archive/scan", "--upload-bytes", "262144", "--upload-time", archiveUploadTime.String(), "--timeout", "45s")
	uploads := w.loads[len(w.loads)-1].process
	w.until("an upload runs on "+vm.Name, uploadsSeenLimit, func() bool { return openUploads(vm.Record(vm.Starts())) > 0 })
	w.setAway(vm, true)
	acts := &archiveActs{leaving: vm, stopped: make(chan any, 1)}
	go func() {
		// A failed expectation panics; finishArchive passes it on.
		defer func() { acts.stopped <- recover() }()
		w.stopDaemon(vm)
		w.stopTarget(vm)
	}()
	w.pause(time.Second)
	uploads.Signal(syscall.SIGTERM)
	return acts
}

// leavingVM chooses a VM that is not the controller's, since scenarios kill,
// freeze or cut off the controller.
func (w *world) leavingVM() *fleet.VM {
	if first := w.vm(firstArchiveVM); first != w.controller() {
		return first
	}
	return w.vm(secondArchiveVM)
}

// finishReplacement waits for the end of the planned stop and starts the VM again.
func (w *world) finishReplacement(acts *archiveActs) {
	if failed := <-acts.stopped; failed != nil {
		panic(failed)
	}
	vm := acts.leaving
	w.restartDaemon(vm)
	w.returned(vm)
	w.setAway(vm, false)
	w.waitReady()
	w.Expect(vm.StartTarget(archive, "v1", "--linger", archiveLinger)).To(gomega.Succeed())
}

// finishArchive ends both acts after the fault.
func (w *world) finishArchive(acts *archiveActs) {
	w.finishReplacement(acts)
	w.waitState(acts.ticket, "taken-back")
}

// openUploads counts the uploads that a target runs, from its record.
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
		if e.Phase == target.Started {
			open[e.Run] = true
		} else {
			delete(open, e.Run)
		}
	}
	return len(open)
}

// away reports whether the VM's planned stop is under way.
func (w *world) away(vm *fleet.VM) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awayVMs[vm.Name]
}

func (w *world) setAway(vm *fleet.VM, away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awayVMs[vm.Name] = away
}

// split lists the parts of the bad archive's ticket that a state has without
// the others.
func split(vm string, state *admin.StateBody) []string {
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
	return []string{fmt.Sprintf("%s at revision %d has the archive's ticket in part: %v", vm, state.Revision, parts)}
}
