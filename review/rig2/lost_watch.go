package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/quota"
)

// Terms of the tenant's quota, with the bounds of the users' larger sites.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	tenantRate     = 60.0
	tenantBurst    = 60.0
)

// isHome reports whether the daemon on the machine holds a part of the tenant's quota.
func isHome(tenant, vm string, machines []*machine) bool {
	var daemons []quota.Daemon
	for _, m := range machines {
		daemons = append(daemons, quota.Daemon{VM: m.name, Domain: "lj-a", Peer: m.address(firstInternalPort)})
	}
	terms := quota.Terms{Window: quotaWindow, Overshoot: quotaOvershoot, Slack: quotaSlack}
	members := quota.NewMembership(terms, map[string]quota.Limit{tenant: {RatePerSecond: tenantRate, Burst: tenantBurst}}, daemons, 1)
	home := quota.NewHome(vm)
	home.Update(time.Hour, members, quota.FirstStart)
	return !home.Lend(time.Hour+time.Second, 0, quota.Question{Tenant: tenant, Need: 1}).NotLending
}

// chooseTenant returns the name of a tenant one of whose holders is replaced when the last
// machine is added, and that holder.
func chooseTenant(machines []*machine) (string, *machine) {
	before, added := machines[:len(machines)-1], machines[len(machines)-1]
	for i := 0; ; i++ {
		tenant := fmt.Sprintf("bank-%d", i)
		if !isHome(tenant, added.name, machines) {
			continue
		}
		for _, m := range before {
			if isHome(tenant, m.name, before) && !isHome(tenant, m.name, machines) {
				return tenant, m
			}
		}
	}
}

// lostWatch plays this: a server is added. The answer in which the store tells one machine
// of that is lost. Some seconds later the tenant sends many times its usual. Without the
// disruption no answer is lost.
func lostWatch(rec *recorder, trouble bool) (verdict, error) {
	w, err := newWorld(rec, "desk", "desk", "desk", "desk", "desk")
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	w.bounds = map[string]any{"quota_window": "5s", "quota_overshoot": quotaOvershoot, "quota_slack": quotaSlack}
	tenant, stale := chooseTenant(w.machines)
	w.tenants = []map[string]any{{"name": tenant, "api_keys": []string{"key-1"}, "priority": 1, "rate_per_s": tenantRate, "burst": tenantBurst}}
	w.configure([]string{"desk"}, route{"r-look", "desk.example", "/look/", "safe", "desk"})
	added := w.machines[4]
	w.spare = added
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	rec.add("script", "tenant %s: the daemon of %s holds a part of the quota until that of %s is added", tenant, stale.name, added.name)
	time.Sleep(8 * time.Second)

	// The pending watch of the machine has just begun; it lasts 20 s.
	begun := stale.feeds.Load()
	for stale.feeds.Load() == begun {
		time.Sleep(10 * time.Millisecond)
	}
	stale.loseFeed.Store(trouble)
	added.bootstrapped = true
	if err := added.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4300 * time.Millisecond)
	stale.loseFeed.Store(false)
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var ran []time.Time
	sent := 0
	for _, m := range w.machines {
		m.server.work = 20 * time.Millisecond
		m.server.onRun = func(_ string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, at)
		}
	}
	answers := map[string]int{}
	traffic := startTraffic(w, 4*time.Millisecond, func(i int) request {
		return request{machine: w.machines[i%5], method: "GET", host: "desk.example", path: "/look/x", id: fmt.Sprintf("look-%d", i), header: map[string]string{"Authorization": "Bearer key-1"}}
	}, func(_ request, _ time.Time, a answer) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		answers[a.String()]++
	})
	time.Sleep(6300 * time.Millisecond)
	traffic.stop()
	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(ran, time.Time.Compare)
	most := 0
	for first, last := 0, 0; last < len(ran); last++ {
		for ran[last].Sub(ran[first]) >= quotaWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack
	return verdict{float64(most) > allowed, fmt.Sprintf("QUOTA: %d requests of the tenant ran in a window of %s; allowed %.0f. %d were sent; answers: %v", most, quotaWindow, allowed, sent, answers)}, nil
}
