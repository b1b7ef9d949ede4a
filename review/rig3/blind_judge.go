package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Times of the case. rollback is a bound of the site.
const (
	rollback     = 5 * time.Second
	lateAfter    = 3 * time.Second
	flapPeriod   = 1300 * time.Millisecond
	flaps        = 5
	badAnswers   = 50
	blindMove    = 16 * time.Second
	callInterval = 8 * time.Millisecond
)

// blindJudge: a version of two servers goes bad 3 s after its order: every second answer is a
// failure. From then on, for 6.5 s, one of its two servers goes down and up by turns.
func blindJudge(d *deployment, trouble bool) (int, error) {
	const host = "shop.example"
	d.bounds = map[string]any{"ack": "5000ms", "catch_up": "6s", "drain": "2500ms", "config_apply": "2500ms", "budget_slack": 202}
	for range 8 {
		if _, err := d.add("z-a", "orders"); err != nil {
			return couldNot, err
		}
	}
	d.store.put("op", "config", config(7, host, []string{"orders"},
		route("r-place", "/place/", "unsafe", "orders", "1200ms", "500ms", 1, 2),
		route("r-look", "/look/", "safe", "orders", "1000ms", "400ms", 2, 2)))
	const shortWork = 20 * time.Millisecond
	for i, m := range d.machines {
		if err := d.startDaemon(m); err != nil {
			return couldNot, err
		}
		if i < 6 {
			if _, err := d.newServer(m, fmt.Sprintf("i-old-%d", i+1), "v1", 9, shortWork); err != nil {
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
		c.stream(m, host, http.MethodPost, func(i int) string { return fmt.Sprintf("/place/%d", i) }, 1200*time.Millisecond, 4*callInterval, stop)
		c.stream(m, host, http.MethodGet, func(i int) string { return fmt.Sprintf("/look/%d", i) }, time.Second, callInterval, stop)
	}
	defer c.group.Wait()
	defer close(stop)
	for i, m := range d.machines[6:] {
		if _, err := d.newServer(m, fmt.Sprintf("i-bad-%d", i+1), "v2", 9, shortWork); err != nil {
			return couldNot, err
		}
	}
	time.Sleep(3 * time.Second)
	ordered := time.Now()
	d.order("v2", blindMove)
	time.Sleep(lateAfter)
	d.rec.line("version v2 goes bad")
	for _, m := range d.machines[6:] {
		m.server.setFails(true)
	}
	flapping := d.machines[7]
	if trouble {
		for i := range flaps {
			flapping.server.end()
			time.Sleep(flapPeriod / 2)
			s, err := d.newServer(flapping, fmt.Sprintf("i-bad-2-%d", i), "v2", 9, shortWork)
			if err != nil {
				return couldNot, err
			}
			s.setFails(true)
			time.Sleep(flapPeriod / 2)
		}
		d.rec.line("server %s: goes down no more", flapping.name)
	}
	time.Sleep(time.Until(ordered.Add(blindMove)))
	state := d.moveState("v2")

	at := map[string]sent{}
	for _, s := range c.list() {
		at[s.id] = s
	}
	var bad []time.Time
	for _, s := range at {
		if s.status == http.StatusInternalServerError && s.signed {
			bad = append(bad, s.end)
		}
	}
	sort.Slice(bad, func(i, j int) bool { return bad[i].Before(bad[j]) })
	if len(bad) < badAnswers {
		d.rec.result("bad answers: %d; status after %s: %q", len(bad), blindMove, state)
		return held, nil
	}
	all, exposed := 0, 0
	for _, r := range d.runs.list() {
		if s, ok := at[r.id]; ok && s.at.After(ordered) && s.at.Before(ordered.Add(blindMove)) {
			all++
			if strings.HasPrefix(r.instance, "i-bad-") {
				exposed++
			}
		}
	}
	d.rec.result("requests of the service between the order and its deadline: %d, at the bad version: %d; allowed: %.0f", all, exposed, exposureShare*float64(all)+exposureSlack)
	limit := bad[badAnswers-1].Add(rollback)
	late, last := 0, time.Time{}
	for _, r := range d.runs.list() {
		if s, ok := at[r.id]; ok && strings.HasPrefix(r.instance, "i-bad-") && s.at.After(limit) {
			late++
			if s.at.After(last) {
				last = s.at
			}
		}
	}
	d.rec.result("status after %s: %q; bad answers: %d; the 50th %.1f s after the order", blindMove, state, len(bad), bad[badAnswers-1].Sub(ordered).Seconds())
	if late > 0 {
		d.rec.result("requests at the bad version that were sent later than %s after its 50th bad answer: %d, the last one %.1f s after it", rollback, late, last.Sub(bad[badAnswers-1]).Seconds())
		return broken, nil
	}
	d.rec.result("requests at the bad version that were sent later than %s after its 50th bad answer: 0", rollback)
	return held, nil
}
