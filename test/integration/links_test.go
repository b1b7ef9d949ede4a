package integration_test

import (
	"fmt"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

var linkScenarios = []scenario{
	{"updates-disordered", "an older update that replaces a newer one when updates arrive late, out of order or twice", 401, updatesDisordered},
	{"link-daemons", "a daemon that loses requests or tickets when its link to one other daemon is cut", 402, linkDaemons},
	{"link-domains", "a failure domain that reverts or misses tickets when its links are cut", 403, linkDomains},
	{"link-regions", "a region that stops serving, continues a move without evidence or misses tickets when its links are cut", 404, linkRegions},
}

// updatesDisordered delays the frames of each link differently and closes
// connections after a number of bytes, so that daemons change their parents and
// receive updates again, while tickets are accepted in quick succession.
// Requests and responses between daemons are delayed, too.
func updatesDisordered(w *world) {
	w.start(defaultTargets)
	w.startLoad(defaultRate)
	from := time.Now()
	actions := w.startArchiveActions()
	late := faults.Fault{Latency: 50 * time.Millisecond, Jitter: 50 * time.Millisecond}
	w.Expect(w.net.Set(func(l faults.Link) bool { return faults.MeshLinks(l) && !l.Peer }, late)).To(gomega.Succeed())
	for round := range 4 {
		for _, vm := range w.fleet.VMs() {
			f := faults.Fault{Latency: w.randomDuration(0, 400*time.Millisecond), Jitter: 200 * time.Millisecond, DropAfterBytes: 8000 + w.random.Int64N(16000)}
			to := vm.Name
			w.Expect(w.net.Set(func(l faults.Link) bool { return l.Peer && l.To == to }, f)).To(gomega.Succeed())
		}
		for n := range 4 {
			w.accept(newRouteTicket(w.nextNumber(), fmt.Sprintf("update-%d-%d", round, n)))
			w.pause(w.randomDuration(0, 300*time.Millisecond))
		}
		w.pause(w.randomDuration(500*time.Millisecond, time.Second))
	}
	w.Expect(w.net.Heal()).To(gomega.Succeed())
	w.addOutage("", from, time.Now())
	w.finishArchiveActions(actions)
}

// linkDaemons cuts single links, one after another, during a move.
func linkDaemons(w *world) {
	w.start(defaultTargets)
	w.startLoad(defaultRate)
	t := w.newMoveTicket(moveTime)
	w.accept(t)
	actions := w.startArchiveActions()
	w.rotateAuthority()
	untrusted := w.startUntrustedDaemon()
	for range 3 {
		a := w.controller().Name
		b := w.vm(1 + w.random.IntN(8)).Name
		for b == a {
			b = w.vm(1 + w.random.IntN(8)).Name
		}
		w.logf("cut the link between %s and %s", a, b)
		w.cutLinks(faults.LinksBetween(a, b), []string{a, b}, w.randomDuration(3*time.Second, 5*time.Second), func() {
			w.accept(newRouteTicket(w.nextNumber(), fmt.Sprintf("cut-%d", w.next)))
		})
	}
	w.finishArchiveActions(actions)
	w.waitState(t.Number, "done")
	w.expectRejected(untrusted)
}

// Upper bounds of the times for which the links of domains and regions are cut.
const (
	longestDomainCut = 9 * time.Second
	longestRegionCut = 12 * time.Second
)

// linkDomains cuts the links of the controller's domain, then those of a random
// domain.
func linkDomains(w *world) {
	w.start(defaultTargets)
	w.startLoad(defaultRate)
	w.archiveStopLimit = cutStopLimit(2*longestDomainCut + 2*time.Second)
	actions := w.startArchiveActions()
	for _, domain := range []string{w.controller().Domain, fmt.Sprintf("domain-%d", 1+w.random.IntN(4))} {
		group := w.vmNames(func(vm *fleet.VM) bool { return vm.Domain == domain })
		w.cutGroup(group, w.randomDuration(7*time.Second, longestDomainCut))
		w.pause(2 * time.Second)
	}
	w.finishArchiveActions(actions)
}

// cutGroup cuts the links between a group and the other VMs while operators on
// both sides submit tickets. All VMs count as unable to receive updates, because
// the controller may be on either side.
func (w *world) cutGroup(group []string, d time.Duration) {
	outside := w.vmNames(func(vm *fleet.VM) bool { return !contains(group, vm.Name) })
	w.cutLinks(faults.LinksAcross(group...), append(group, outside...), d, func() {
		for _, name := range []string{group[0], outside[0]} {
			w.pause(time.Second)
			client, err := w.fleet.Client(w.fleet.VM(name))
			w.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = w.submit(client, newRouteTicket(w.nextNumber(), "cut-"+name+fmt.Sprint(w.next)))
			w.Expect(err).NotTo(gomega.HaveOccurred())
		}
	})
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// linkRegions cuts the links between the regions during a move.
func linkRegions(w *world) {
	w.start(defaultTargets)
	w.startLoad(defaultRate)
	t := w.newMoveTicket(moveTime)
	w.accept(t)
	w.waitProgress(t.Number, 10)
	w.archiveStopLimit = cutStopLimit(longestRegionCut)
	actions := w.startArchiveActions()
	group := w.vmNames(func(vm *fleet.VM) bool { return vm.Region == "region-2" })
	w.cutGroup(group, w.randomDuration(8*time.Second, longestRegionCut))
	w.finishArchiveActions(actions)
	w.waitState(t.Number, "done")
}
