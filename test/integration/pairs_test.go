package integration_test

import (
	"time"

	"github.com/magnoliamount/magnoliamount/test/checker"
	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

var pairScenarios = []scenario{
	{"bad-version-and-outage", "a bad version that keeps its traffic because the platform is unavailable", 601, badVersionAndOutage},
	{"replaced-and-answers-lost", "a once-only request that runs twice when its daemon stops and responses to claims are lost", 602, replacedAndAnswersLost},
	{"controller-killed-and-region-cut", "a mesh that does not converge after its controller is killed while a region is cut off", 603, controllerKilledAndRegionCut},
}

// badVersionAndOutage starts an outage of the platform before the version starts
// to fail.
func badVersionAndOutage(w *world) {
	w.start(defaultTargets)
	w.startLoad(badVersionRate)
	w.setOrderV2Behaviour(map[string]any{"fail_fraction": 0.5, "after_requests": 30})
	t := w.newMoveTicket(badVersionMoveTime)
	w.expectTakenBack(t, checker.BadVersion{StopLimit: stopLimit})
	w.accept(t)
	w.waitProgress(t.Number, 10)
	w.setPlatformFaults(standin.Faults{Outage: true})
	actions := w.startReplacement()
	w.pause(w.randomDuration(10*time.Second, 12*time.Second))
	w.setPlatformFaults(noPlatformFaults)
	w.finishReplacement(actions)
	w.waitState(t.Number, "taken-back")
	w.pause(4 * time.Second)
}

// replacedAndAnswersLost replaces a VM while responses to claims are lost.
func replacedAndAnswersLost(w *world) {
	w.start(defaultTargets, "--linger", longLinger)
	w.startLoad(defaultRate / 2)
	w.startCaller("reorders", "--rate", "30", "--get-weight", "0", "--once-weight", "1", "--upload-weight", "0", "--timeout", "20s", "--attempts", "4")
	w.setPlatformFaults(standin.Faults{LoseResponseRate: 0.3})
	w.pause(w.randomDuration(time.Second, 2*time.Second))
	w.accept(newRouteTicket(w.nextNumber(), "before-stop"))
	badTicket := w.submitBadArchiveTicket()
	w.replace(w.vm(1), targetConfig{order, "v1"})
	w.waitState(badTicket, "taken-back")
	w.pause(2 * time.Second)
}

// controllerKilledAndRegionCut kills the controller during a move while the links
// between the regions are cut.
func controllerKilledAndRegionCut(w *world) {
	w.start(defaultTargets)
	w.startLoad(defaultRate)
	t := w.newMoveTicket(moveTime)
	w.accept(t)
	w.waitProgress(t.Number, 10)
	w.archiveStopLimit = cutStopLimit(longestRegionCut)
	actions := w.startArchiveActions()
	vm := w.controller()
	group := w.vmNames(func(vm *fleet.VM) bool { return vm.Region == "region-2" })
	all := w.vmNames(func(*fleet.VM) bool { return true })
	w.cutLinks(faults.LinksAcross(group...), all, w.randomDuration(9*time.Second, 11*time.Second), func() {
		w.pause(time.Second)
		w.killDaemon(vm)
		w.accept(newRouteTicket(w.nextNumber(), "without-controller"))
		w.waitTakeover(vm)
		w.restartDaemon(vm)
	})
	w.finishArchiveActions(actions)
	w.waitState(t.Number, "done")
}
