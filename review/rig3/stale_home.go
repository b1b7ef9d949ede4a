package main

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// The quota of the hot tenant and the bounds of the site krsra-mesh-grown.
const (
	tenantRate     = 60.0
	tenantBurst    = 10.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	// noResponseTime is how long the store gives one machine no response.
	noResponseTime = 600 * time.Millisecond
	// usualInterval and hotInterval are the times between two requests of tenant-2 at a
	// machine. hotTime is how long it sends many times its usual.
	usualInterval = 200 * time.Millisecond
	hotInterval   = 40 * time.Millisecond
	hotTime       = 8 * time.Second
)

// staleHome: a server joins, and at this moment the store gives one of the seven other
// machines no response for 0.6 s. From 4.5 s later on, one tenant sends six times its usual,
// for 8 s.
func staleHome(d *deployment, trouble bool) (int, error) {
	const host = "seats.example"
	d.bounds = map[string]any{
		"ack": "5000ms", "catch_up": "6s", "drain": "2500ms", "config_apply": "2500ms", "strict_revocation": true, "revoke": "5000ms",
		"budget_slack": 178, "quota_window": "5s", "quota_overshoot": quotaOvershoot, "quota_slack": int(quotaSlack),
	}
	zones := []string{"z-a", "z-b"}
	for i := range 7 {
		if _, err := d.add(zones[i%2], "seats"); err != nil {
			return couldNot, err
		}
	}
	var tenants []map[string]any
	for i := 1; i <= 6; i++ {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{fmt.Sprintf("key-of-tenant-%d", i)}, "priority": 1, "rate_per_s": tenantRate, "burst": tenantBurst})
	}
	c7 := config(7, host, []string{"seats"}, route("r-map", "/map/", "safe", "seats", "4000ms", "500ms", 2, 2))
	c7["tenants"] = tenants
	d.store.put("op", "config", c7)
	if err := d.start(12, 20*time.Millisecond); err != nil {
		return couldNot, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	// The names of machines are chosen so that this one takes the place of sidecar-z-a-3 for
	// tenant-2.
	joiner, err := d.addNamed("sidecar-z-a-33", "z-a", "seats", false)
	if err != nil {
		return couldNot, err
	}
	c := newClients(d.rec)
	stop := make(chan struct{})
	send := func(m *machine, interval time.Duration, stop <-chan struct{}) {
		c.streamWithKey(m, host, func(i int) string { return fmt.Sprintf("/map/%d", i) }, "key-of-tenant-2", time.Second, interval, stop)
	}
	for _, m := range d.machines[:7] {
		send(m, usualInterval, stop)
	}
	time.Sleep(3 * time.Second)
	if err := d.startDaemon(joiner); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	victim := d.machines[2]
	<-d.store.nextWatch(victim.name, "op")
	if trouble {
		d.store.setSilent(victim.name, true)
	}
	windowEnd := time.Now().Add(noResponseTime)
	time.Sleep(50 * time.Millisecond)
	if _, err := d.newServer(joiner, "i-000033", "v1", 12, 20*time.Millisecond); err != nil {
		return couldNot, err
	}
	time.Sleep(time.Until(windowEnd))
	if trouble {
		d.store.setSilent(victim.name, false)
	}
	time.Sleep(time.Second)
	send(joiner, usualInterval, stop)
	time.Sleep(3500 * time.Millisecond)
	d.rec.line("tenant-2 begins to send six times its usual")
	hotEnd := make(chan struct{})
	for _, m := range d.machines {
		send(m, hotInterval, hotEnd)
	}
	time.Sleep(hotTime)
	close(hotEnd)
	time.Sleep(time.Second)
	close(stop)
	c.group.Wait()

	most, from := busiestWindow(c.list(), d.runs.list(), quotaWindow)
	bound := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack
	d.rec.result("most requests of tenant-2 that were sent and arrived at a server that ran them within %s: %d, from %.3f s on; allowed: %.0f",
		quotaWindow, most, from.Sub(d.rec.started).Seconds(), bound)
	for second := 0.0; second < time.Since(d.rec.started).Seconds(); second += 2.5 {
		d.rec.line("runs in the 2.5 s from %.1f s on: %d", second, runsBetween(d.runs.list(), d.rec.started.Add(time.Duration(second*float64(time.Second))), 2500*time.Millisecond))
	}
	if float64(most) > bound {
		return broken, nil
	}
	return held, nil
}

// busiestWindow returns the largest number of requests that were both sent and arrived
// within one span of the length, and the begin of that span.
func busiestWindow(all []sent, runs []run, length time.Duration) (most int, from time.Time) {
	sentAt := map[string]time.Time{}
	for _, s := range all {
		if s.method == http.MethodGet {
			sentAt[s.id] = s.at
		}
	}
	type event struct{ sent, arrived time.Time }
	var events []event
	for _, r := range runs {
		if at, ok := sentAt[r.id]; ok {
			events = append(events, event{at, r.arrived})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].sent.Before(events[j].sent) })
	for i, first := range events {
		n := 0
		for _, e := range events[i:] {
			if e.sent.After(first.sent.Add(length)) {
				break
			}
			if !e.arrived.After(first.sent.Add(length)) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}

func runsBetween(runs []run, from time.Time, length time.Duration) int {
	n := 0
	for _, r := range runs {
		if r.arrived.After(from) && !r.arrived.After(from.Add(length)) {
			n++
		}
	}
	return n
}
