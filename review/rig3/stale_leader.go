package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Times of the case. The exposure bounds are those of the site.
const (
	goodMove        = 12 * time.Second
	badMove         = 16 * time.Second
	lostAnswersTime = 3 * time.Second
	work            = 160 * time.Millisecond
	maxLostShare    = 0.35
	exposureShare   = 0.1
	exposureSlack   = 50
)

// staleLeader: a good version takes over. Then a bad version is ordered, of whose answers
// every second is a failure, and the store loses the answer of one write, of three or more in 3 s.
func staleLeader(d *deployment, trouble bool) (int, error) {
	const host = "shop.example"
	d.bounds = map[string]any{"ack": "5000ms", "catch_up": "6s", "drain": "2500ms", "config_apply": "2500ms", "budget_slack": 202}
	for i := range 7 {
		m, err := d.add("z-a", "orders")
		if err != nil {
			return couldNot, err
		}
		// Machines have links of 10 to 200 Mbit/s.
		m.linkMbps = 10
		if i == 4 {
			m.linkMbps = 200
		}
		if err := d.writeSettings(m, true); err != nil {
			return couldNot, err
		}
	}
	d.store.put("op", "config", config(7, host, []string{"orders"},
		route("r-place", "/place/", "unsafe", "orders", "1200ms", "500ms", 1, 2),
		route("r-look", "/look/", "safe", "orders", "1000ms", "400ms", 2, 2)))
	for i, m := range d.machines {
		if err := d.startDaemon(m); err != nil {
			return couldNot, err
		}
		if i < 4 {
			if _, err := d.newServer(m, fmt.Sprintf("i-old-%d", i+1), "v1", 9, work); err != nil {
				return couldNot, err
			}
		}
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * time.Second)
	c := newClients(d.rec)
	stop := make(chan struct{})
	for _, m := range d.machines {
		c.stream(m, host, http.MethodPost, func(i int) string { return fmt.Sprintf("/place/%d", i) }, 1200*time.Millisecond, 140*time.Millisecond, stop)
		c.stream(m, host, http.MethodGet, func(i int) string { return fmt.Sprintf("/look/%d", i) }, time.Second, 140*time.Millisecond, stop)
	}
	defer c.group.Wait()
	defer close(stop)
	for i, m := range d.machines[4:] {
		if _, err := d.newServer(m, fmt.Sprintf("i-good-%d", i+1), "v2", 9, work); err != nil {
			return couldNot, err
		}
	}
	time.Sleep(2 * time.Second)
	d.order("v2", goodMove)
	if state := d.awaitMove("v2", goodMove+6*time.Second); state != "completed" {
		return couldNot, fmt.Errorf("the good version is %q", state)
	}
	for _, m := range d.machines[:4] {
		m.server.end()
	}
	time.Sleep(3 * time.Second)
	for i, m := range d.machines[:4] {
		s, err := d.newServer(m, fmt.Sprintf("i-bad-%d", i+1), "v3", 9, work)
		if err != nil {
			return couldNot, err
		}
		s.setFails(true)
	}
	time.Sleep(3 * time.Second)
	ordered := time.Now()
	if trouble {
		d.store.loseOneAnswer(true)
	}
	d.order("v3", badMove)
	written := make(chan int, 1)
	go func() {
		time.Sleep(lostAnswersTime)
		written <- d.store.loseOneAnswer(false)
	}()
	state := d.awaitMove("v3", badMove)
	ended := time.Since(ordered)
	if state == "completed" {
		// The old servers stop immediately, without draining.
		for _, m := range d.machines[4:] {
			m.server.end()
		}
	}
	time.Sleep(time.Until(ordered.Add(badMove)))
	if trouble {
		writes := <-written
		d.rec.result("writes in the %s: %d; answers lost: 1", lostAnswersTime, writes)
		if 1 > maxLostShare*float64(writes) {
			return couldNot, fmt.Errorf("one of %d answers is more than the share of %.2f", writes, maxLostShare)
		}
	}

	// Judged are only requests that were sent when all machines are in touch: contact after
	// the end of the store's disruption.
	judgedFrom, deadline := ordered.Add(lostAnswersTime+contact), ordered.Add(badMove)
	at := map[string]sent{}
	for _, s := range c.list() {
		at[s.id] = s
	}
	all, exposed, total, cut, cutUnsafe := 0, 0, 0, 0, 0
	for _, r := range d.runs.list() {
		s, ok := at[r.id]
		if !ok || s.at.Before(ordered) || s.at.After(deadline) {
			continue
		}
		all++
		if r.cut {
			cut++
			if r.method == http.MethodPost {
				cutUnsafe++
			}
		}
		if !strings.HasPrefix(r.instance, "i-bad-") {
			continue
		}
		total++
		if s.at.After(judgedFrom) {
			exposed++
		}
	}
	bound := exposureShare*float64(all) + exposureSlack
	d.rec.result("status of the bad version %.1f s after its order: %q", ended.Seconds(), state)
	d.rec.result("requests that the old servers were at work on when they were stopped: %d, unsafe ones %d", cut, cutUnsafe)
	d.rec.result("requests of the service between the order and its deadline: %d; at the bad version: %d, sent by machines in touch: %d; allowed: %.0f", all, total, exposed, bound)
	if float64(exposed) > bound {
		return broken, nil
	}
	return held, nil
}

// order writes the operator's order to move the service to the version.
func (d *deployment) order(version string, within time.Duration) {
	d.rec.line("the operator orders version %s within %s", version, within)
	d.store.put("op", "rollout/orders", map[string]any{"service": "orders", "target": version, "duration": fmt.Sprintf("%ds", int(within.Seconds()))})
}

// moveState returns the state of the move to the version as the operator reads it, or "".
func (d *deployment) moveState(version string) string {
	var status struct{ Target, State string }
	_ = json.Unmarshal([]byte(d.store.value("status", "rollout/orders")), &status)
	if status.Target != version {
		return ""
	}
	return status.State
}

// awaitMove waits until the move has ended and returns its state.
func (d *deployment) awaitMove(version string, limit time.Duration) string {
	state := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if now := d.moveState(version); now != state {
			state = now
			d.rec.line("the status of version %s is %q", version, state)
		}
		if state == "completed" || state == "rolled_back" {
			return state
		}
	}
	return state
}
