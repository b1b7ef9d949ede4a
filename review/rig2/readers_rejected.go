package main

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rejectTime is how long the store rejects the machines, and rejectedPerZone the number of
// them in each zone.
const (
	rejectTime      = 8800 * time.Millisecond
	rejectedPerZone = 3
)

// maxStretch is how much later a configuration may be in force while the store rejects
// some machines, at those that it serves.
const maxStretch = 5 * time.Second

// readersAndNext returns the machines of each zone that read the store for the others there,
// and the one that is next in turn.
func readersAndNext(w *world) []*machine {
	var chosen []*machine
	for _, zone := range w.zones {
		var all []*machine
		for _, m := range w.machines {
			if m.zone == zone {
				all = append(all, m)
			}
		}
		slices.SortFunc(all, func(a, b *machine) int { return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)) })
		chosen = append(chosen, all[:rejectedPerZone]...)
	}
	return chosen
}

// readersRejected plays this: the store rejects 6 of 20 machines with resets and serves the
// others. Right after that begins the operator adds a route. The machines that the store
// serves are asked for it. Without the disruption it serves all.
func readersRejected(rec *recorder, trouble bool) (verdict, error) {
	w, err := newWorld(rec, slices.Repeat([]string{"desk"}, 20)...)
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	w.zones = []string{"lj-a", "lj-b"}
	for i, m := range w.machines {
		m.zone = w.zones[i%2]
	}
	first := route{"r-look", "desk.example", "/look/", "safe", "desk"}
	w.configure([]string{"desk"}, first)
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(15 * time.Second)

	rejected := readersAndNext(w)
	var others []*machine
	for _, m := range w.machines {
		if !slices.Contains(rejected, m) {
			others = append(others, m)
		}
	}
	if trouble {
		for _, m := range rejected {
			rec.add("store", "rejects %s in %s from now on", m.name, m.zone)
			m.rejected.Store(true)
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.configure([]string{"desk"}, first, route{"r-new", "desk.example", "/new/", "safe", "desk"})
	acknowledged := time.Now()
	var mu sync.Mutex
	late, sent := map[string]int{}, 0
	var latest time.Duration
	bound := configApply
	if trouble {
		bound += maxStretch
	}
	// Clients ask from the acknowledgement on; what counts is sent after the bound.
	traffic := startTraffic(w, 20*time.Millisecond, func(i int) request {
		return request{machine: others[i%len(others)], method: "GET", host: "desk.example", path: "/new/x", id: fmt.Sprintf("new-%d", i)}
	}, func(q request, at time.Time, a answer) {
		after := at.Sub(acknowledged)
		if after <= bound {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.status == 404 {
			late[q.machine.name]++
			latest = max(latest, after)
		}
	})
	time.Sleep(rejectTime - 100*time.Millisecond)
	rec.add("store", "serves all machines again")
	for _, m := range rejected {
		m.rejected.Store(false)
	}
	time.Sleep(3 * time.Second)
	traffic.stop()
	mu.Lock()
	defer mu.Unlock()
	refused := 0
	for name, count := range late {
		refused += count
		rec.add("script", "%s, which the store serves, refused %d requests with 404", name, count)
	}
	return verdict{refused > 0, fmt.Sprintf("CONFIG: %d of %d requests on the added route, sent later than %s after its acknowledgement, got 404 from %d of %d machines that the store serves, the last one %.1f s after it; allowed 0", refused, sent, bound, len(late), len(others), latest.Seconds())}, nil
}
