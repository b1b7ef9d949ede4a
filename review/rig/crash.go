package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// contact is the bound `contact` of the settings.
	contact = 3 * time.Second
	// crashMachines is the number of machines of the cases with a crashing request.
	crashMachines = 8
	// countedCrashes and allowedRetries are the figures of rule BUDGET: not more than
	// three retries later than `contact` after the third crash.
	countedCrashes = 3
	allowedRetries = 3
)

// deadly is a request that crashes each server that begins to run it, and comes
// again and again with the same path, caller and body.
type deadly struct {
	request
	// crashAfter is how long a server runs it until the crash.
	crashAfter time.Duration
	// pauses holds, for each sending, the time from its end to the next one.
	pauses []time.Duration

	mu      sync.Mutex
	crashes []time.Time
	reached map[string]int
}

// plant makes the servers crash on the request.
func (d *deadly) plant(machines []*machine) {
	d.reached = map[string]int{}
	for _, m := range machines {
		m.server.crashAfter = d.crashAfter
		m.server.crashOn = func(r *http.Request, body []byte) bool { return r.URL.Path == d.path && string(body) == d.body }
		m.server.onRun = d.ran
	}
}

func (d *deadly) ran(at time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if strings.HasPrefix(id, "deadly-") {
		d.reached[id]++
		d.crashes = append(d.crashes, at.Add(d.crashAfter))
	}
}

// counts reports whether a sending now is later than `contact` after the third crash.
func (d *deadly) counts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.crashes) >= countedCrashes && time.Since(d.crashes[countedCrashes-1]) > contact
}

// playDeadly sends the request again and again beside the traffic, and reports
// whether too many sendings reached servers.
func playDeadly(record *recorder, trouble bool, d *deadly, harmless func(i int) request) (bool, error) {
	r, err := newRig(record, "vault", crashMachines, route("look", "safe", "vault"))
	if err != nil {
		return false, err
	}
	defer r.stop()
	d.plant(r.machines)
	if err := r.startAll(); err != nil {
		return false, err
	}
	others := &traffic{record: record, machines: r.machines, interval: 20 * time.Millisecond, next: harmless}
	others.start()
	time.Sleep(3 * time.Second)
	retries := 0
	for i, pause := range d.pauses {
		if trouble {
			q, counted := d.request, d.counts()
			q.id = fmt.Sprintf("deadly-%d", i)
			r.machines[i%len(r.machines)].send(q)
			d.mu.Lock()
			reached := d.reached[q.id]
			d.mu.Unlock()
			record.add("client  %s reached %d servers; sent later than `contact` after the third crash: %t", q.id, reached, counted)
			if counted && reached > 0 {
				retries++
			}
		}
		time.Sleep(pause)
	}
	others.stop()
	record.add("servers  crashes %d; sendings later than `contact` after the third crash that reached servers %d, allowed %d", len(d.crashes), retries, allowedRetries)
	return retries > allowedRetries, others.enough(300)
}

// quick is a short pause between two sendings.
const quick = 50 * time.Millisecond

// spaced returns the pauses of 12 sendings. The servers that one of them crashed are
// back before the next one.
func spaced() []time.Duration { return slices.Repeat([]time.Duration{4 * time.Second}, 12) }

// crashLookalike shows rule BUDGET with a request whose body begins like those of
// harmless requests.
func crashLookalike(record *recorder, trouble bool) (bool, error) {
	// Scans of one scanner begin with the same 5 kB of format data.
	format := strings.Repeat("format data of the scanner, the same in each scan\n", 100)
	d := &deadly{request: request{method: "POST", path: "/look/scan", body: format + "mandate 4711", deadline: time.Second}, pauses: spaced()}
	return playDeadly(record, trouble, d, func(i int) request {
		return request{id: fmt.Sprintf("r%05d", i), method: "POST", path: "/look/scan", body: fmt.Sprintf("%smandate %d", format, 100000+i), deadline: time.Second}
	})
}

// crashAfterLeaving shows rule BUDGET with a request whose clients leave after half
// of the objective, before the server that runs it crashes.
func crashAfterLeaving(record *recorder, trouble bool) (bool, error) {
	d := &deadly{
		request:    request{method: "GET", path: "/look/deadly", deadline: time.Second, leaveAfter: objective / 2},
		crashAfter: 300 * time.Millisecond,
		// All sendings lie within 5.5 s.
		pauses: []time.Duration{0, 0, 3300 * time.Millisecond, quick, quick, quick, quick, quick, 3 * time.Second},
	}
	return playDeadly(record, trouble, d, func(i int) request {
		return request{id: fmt.Sprintf("r%05d", i), method: "GET", path: fmt.Sprintf("/look/%d", i), deadline: time.Second}
	})
}

// crashDistinct is crashLookalike with a body that begins unlike those of harmless
// requests. It is no case; the rule holds in it.
func crashDistinct(record *recorder, trouble bool) (bool, error) {
	d := &deadly{request: request{method: "POST", path: "/look/scan", body: strings.Repeat("another scanner\n", 300), deadline: time.Second}, pauses: spaced()}
	return playDeadly(record, trouble, d, func(i int) request {
		return request{id: fmt.Sprintf("r%05d", i), method: "POST", path: "/look/scan", body: fmt.Sprintf("mandate %d", 100000+i), deadline: time.Second}
	})
}
