package integration_test

import (
	"time"
)

var herdScenarios = []scenario{
	{"herd", "daemons that restart together and lose their state or overload the remaining ones", 501, herd},
}

// herdMinAnswered is lower than defaultMinAnswered, because no daemon serves
// from the moment when all are killed until the lease is taken over.
const herdMinAnswered = 0.3

// herd kills most daemons at the same time and restarts them at the same time,
// then does so with all daemons.
func herd(w *world) {
	w.minAnswered = herdMinAnswered
	w.start(defaultTargets)
	w.startLoad(defaultRate / 2)
	w.accept(newRouteTicket(w.nextNumber(), "before-herd"))
	actions := w.startArchiveActions()
	w.restartTogether(w.random.Perm(len(defaultTargets))[:6])
	w.accept(newRouteTicket(w.nextNumber(), "between-herds"))
	w.pause(w.randomDuration(3*time.Second, 4*time.Second))
	w.finishArchiveActions(actions)
	w.restartTogether(w.random.Perm(len(w.fleet.VMs())))
	w.accept(newRouteTicket(w.nextNumber(), "after-herd"))
	w.pause(4 * time.Second)
}

// restartTogether kills the chosen daemons and then starts them all again. The
// indexes count from 0.
func (w *world) restartTogether(chosen []int) {
	from := time.Now()
	for _, i := range chosen {
		w.killDaemon(w.vm(i + 1))
	}
	w.pause(w.randomDuration(0, time.Second))
	for _, i := range chosen {
		w.restartDaemon(w.vm(i + 1))
	}
	w.waitReady()
	w.addOutage("", from, time.Now())
}
