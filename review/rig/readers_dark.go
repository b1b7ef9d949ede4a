package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// configApply is the bound `config_apply` of the settings.
	configApply = 2 * time.Second
	// darkTime is how long the machines have no power.
	darkTime = 3500 * time.Millisecond
	// darkMachines of relayMachines lose power, which is a share of 0.1.
	relayMachines = 20
	darkMachines  = 2
)

// readsStore reports whether the daemon's log says that it reads the store itself.
func (m *machine) readsStore() (bool, error) {
	data, err := os.ReadFile(filepath.Join(m.rig.dir, m.name+".log"))
	if err != nil {
		return false, err
	}
	reads := false
	for line := range bytes.Lines(data) {
		var entry struct{ Event, Source string }
		if json.Unmarshal(line, &entry) == nil && entry.Event == "rows-from" {
			reads = entry.Source == "store"
		}
	}
	return reads, nil
}

// addedRoute counts the answers to requests on a route that was just added.
type addedRoute struct {
	mu              sync.Mutex
	served, refused int
}

// ask sends requests on the added route from the machine and counts those that are
// refused with 404 although they are sent later than `config_apply` after the
// acknowledgement.
func (a *addedRoute) ask(m *machine, acknowledged time.Time) {
	for i := 0; time.Since(acknowledged) < 2*configApply; i++ {
		sent := time.Now()
		got := m.send(request{id: fmt.Sprintf("%s-%d", m.name, i), method: "GET", path: "/added/1", deadline: time.Second})
		late := sent.Sub(acknowledged) > configApply
		a.mu.Lock()
		switch {
		case got.status == 200 && got.signed:
			a.served++
		case got.status == 404 && late:
			a.refused++
			m.rig.record.add("%s  404 on the added route for a request that was sent %.3f s after the acknowledgement", m.name, sent.Sub(acknowledged).Seconds())
		}
		a.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// losePower makes the machine silent, and starts its daemon and its server again
// after darkTime. A stopped process answers as little as a machine without power.
func (m *machine) losePower() {
	m.signal(syscall.SIGSTOP)
	m.server.crash()
	time.AfterFunc(darkTime, func() {
		m.kill()
		if err := errors.Join(m.start(false), m.server.start("", time.Now().UnixMilli())); err != nil {
			m.rig.record.add("%s  not started again: %v", m.name, err)
		}
	})
}

// readersDark shows rule CONFIG: the machines of both daemons that read the store for
// their zone lose power, and a route is added right after that.
func readersDark(record *recorder, trouble bool) (bool, error) {
	look := route("look", "safe", "desk")
	r, err := newRig(record, "desk", relayMachines, look)
	if err != nil {
		return false, err
	}
	defer r.stop()
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var dark, others []*machine
	for _, m := range r.machines {
		reads, err := m.readsStore()
		if err != nil {
			return false, err
		}
		switch {
		case reads && m.zone == r.machines[0].zone:
			dark = append(dark, m)
		case !reads:
			others = append(others, m)
		}
	}
	if len(dark) != darkMachines {
		return false, fmt.Errorf("%d daemons of the zone read the store: %w", len(dark), errUnfit)
	}
	if trouble {
		for _, m := range dark {
			m.losePower()
		}
	}
	if err := r.configure(look, route("added", "safe", "desk")); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	var count addedRoute
	var group sync.WaitGroup
	for _, m := range others {
		group.Go(func() { count.ask(m, acknowledged) })
	}
	group.Wait()
	time.Sleep(time.Second)
	record.add("requests on the added route: served %d, refused with 404 later than `config_apply` %d", count.served, count.refused)
	if count.served == 0 {
		return false, fmt.Errorf("nothing was served: %w", errUnfit)
	}
	return count.refused > 0, nil
}
