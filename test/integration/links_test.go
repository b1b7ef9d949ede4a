package integration_test

import (
	"fmt"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/faults"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

var linkScenarios = []scenario{
	{"updates-disordered", "an older update that wins because updates arrive late, crossed or twice", 401, updatesDisordered},
	{"link-daemons", "a daemon that loses requests or tickets when its link to one other daemon is cut", 402, linkDaemons},
	{"link-domains", "a failure domain that reverts or misses tickets when it is cut off", 403, linkDomains},
	{"link-regions", "a region that stops serving, moves on without evidence, or misses tickets when it is cut off", 404, linkRegions},
}

// updatesDisordered delays the frames of each link differently and breaks
// links after some bytes, so that daemons change their parents and get updates
// again, while tickets follow one another quickly. Requests and answers between
// daemons are delayed, too.
func updatesDisordered(w *world) {
	w.start(usual)
	w.startLoad(usualRate)
	from := time.Now()
	acts := w.beginArchive()
	late := faults.Fault{Latency: 50 * time.Millisecond, Jitter: 50 * time.Millisecond}
	w.Expect(w.net.Set(func(l faults.Link) bool { return faults.Mesh(l) && !l.Peer }, late)).To(gomega.Succeed())
	for round := range 4 {
		for _, vm := range w.fleet.VMs() {
			f := faults.Fault{Latency: w.between(0, 400*time.Millisecond), Jitter: 200 * time.Millisecond, DropAfterBytes: 8000 + w.random.Int64N(16000)}
			to := vm.Name
			w.Expect(w.net.Set(func(l faults.Link) bool { return l.Peer && l.To == to }, f)).To(gomega.Succeed())
		}
		for n := range 4 {
			w.accept(addRoute(w.number(), fmt.Sprintf("update-%d-%d", round, n)))
			w.pause(w.between(0, 300*time.Millisecond))
		}
		w.pause(w.between(500*time.Millisecond, time.Second))
	}
	w.Expect(w.net.Heal()).To(gomega.Succeed())
	w.disturbed("", from, time.Now())
	w.finishArchive(acts)
}

// linkDaemons cuts single links, one after another, during a move.
func linkDaemons(w *world) {
	w.start(usual)
	w.startLoad(usualRate)
	t := w.moveBoth(moveTime)
	w.accept(t)
	acts := w.beginArchive()
	w.rotate()
	stranger := w.startStranger()
	for range 3 {
		a := w.controller().Name
		b := w.vm(1 + w.random.IntN(8)).Name
		for b == a {
			b = w.vm(1 + w.random.IntN(8)).Name
		}
		w.note("cut %s from %s", a, b)
		w.cut(faults.Pair(a, b), []string{a, b}, w.between(3*time.Second, 5*time.Second), func() {
			w.accept(addRoute(w.number(), fmt.Sprintf("cut-%d", w.next)))
		})
	}
	w.finishArchive(acts)
	w.waitState(t.Number, "done")
	w.expectKeptOut(stranger)
}

// Bounds of the times for which domains and regions are cut off.
const (
	longestDomainCut = 9 * time.Second
	longestRegionCut = 12 * time.Second
)

// linkDomains cuts the controller's domain off, then another one.
func linkDomains(w *world) {
	w.start(usual)
	w.startLoad(usualRate)
	w.archiveStopLimit = cutStopLimit(2*longestDomainCut + 2*time.Second)
	acts := w.beginArchive()
	for _, domain := range []string{w.controller().Domain, fmt.Sprintf("domain-%d", 1+w.random.IntN(4))} {
		group := w.names(func(vm *fleet.VM) bool { return vm.Domain == domain })
		w.cutGroup(group, w.between(7*time.Second, longestDomainCut))
		w.pause(2 * time.Second)
	}
	w.finishArchive(acts)
}

// cutGroup cuts a group off while operators on both sides submit tickets. The
// whole mesh may lack news, because the controller may be on either side.
func (w *world) cutGroup(group []string, d time.Duration) {
	outside := w.names(func(vm *fleet.VM) bool { return !contains(group, vm.Name) })
	w.cut(faults.Between(group...), append(group, outside...), d, func() {
		for _, name := range []string{group[0], outside[0]} {
			w.pause(time.Second)
			client, err := w.fleet.Client(w.fleet.VM(name))
			w.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = w.submit(client, addRoute(w.number(), "cut-"+name+fmt.Sprint(w.next)))
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

// linkRegions cuts the regions from each other during a move.
func linkRegions(w *world) {
	w.start(usual)
	w.startLoad(usualRate)
	t := w.moveBoth(moveTime)
	w.accept(t)
	w.waitProgress(t.Number, 10)
	w.archiveStopLimit = cutStopLimit(longestRegionCut)
	acts := w.beginArchive()
	group := w.names(func(vm *fleet.VM) bool { return vm.Region == "region-2" })
	w.cutGroup(group, w.between(8*time.Second, longestRegionCut))
	w.finishArchive(acts)
	w.waitState(t.Number, "done")
}
