package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// oddHeartbeat plays this: a server leaves. It deregisters, and serves on for some seconds.
// Meanwhile a heartbeat of another writer arrives under its id, without the fields
// sequence and born. Without the disruption that heartbeat does not come.
func oddHeartbeat(rec *recorder, trouble bool) (verdict, error) {
	w, err := newWorld(rec, slices.Repeat([]string{"desk"}, 8)...)
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	w.configure([]string{"desk"}, route{"r-place", "desk.example", "/place/", "unsafe", "desk"})
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	// The daemons have run for a while, as on a usual day.
	time.Sleep(12 * time.Second)

	for _, m := range w.machines {
		m.server.work = 250 * time.Millisecond
	}
	leaver := w.machines[0].server
	var mu sync.Mutex
	var ranAt []time.Time
	var ranIDs []string
	leaver.onRun = func(id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		ranAt, ranIDs = append(ranAt, at), append(ranIDs, id)
	}
	sentAt := map[string]time.Time{}
	failed := map[string]string{}
	traffic := startTraffic(w, 10*time.Millisecond, func(i int) request {
		return request{machine: w.machines[1+i%7], method: "POST", host: "desk.example", path: "/place/order", id: fmt.Sprintf("order-%d", i), body: []byte("one order")}
	}, func(q request, at time.Time, a answer) {
		mu.Lock()
		defer mu.Unlock()
		sentAt[q.id] = at
		if a.status != 200 {
			failed[q.id] = a.String()
		}
	})
	time.Sleep(3 * time.Second)
	status, err := leaver.deregister()
	if err != nil || status != 200 {
		return verdict{}, fmt.Errorf("the leave notice got %d, %v", status, err)
	}
	acknowledged := time.Now()
	rec.add("server", "%s leaves with DELETE; acknowledged with %d", leaver.instance, status)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"lj-a","version":"v1","slots":%d,"state":"ready","cold_remaining":"0ms"}`, leaver.m.address(appPort), slots)
		status, err := leaver.sendHeartbeat("/instances/"+leaver.instance, []byte(body))
		rec.add("writer", "sends a heartbeat without sequence and born: %s: %d, %v", body, status, err)
	}
	time.Sleep(5 * time.Second)
	ended := time.Now()
	rec.add("server", "%s exits", leaver.instance)
	leaver.end()
	time.Sleep(2 * time.Second)
	traffic.stop()

	mu.Lock()
	defer mu.Unlock()
	late, cut := 0, 0
	for i, at := range ranAt {
		if at.Sub(acknowledged) <= drain || at.After(ended) {
			continue
		}
		late++
		if failed[ranIDs[i]] != "" {
			cut++
			rec.add("script", "%s reached the server %d ms after its leaving was acknowledged; its client got %s", ranIDs[i], at.Sub(acknowledged).Milliseconds(), failed[ranIDs[i]])
		}
	}
	return verdict{late > 0, fmt.Sprintf("DRAIN: %d of %d requests reached the server later than %s after the acknowledgement; allowed 0. %d of them had begun to run and were lost at its end.", late, len(sentAt), drain, cut)}, nil
}

// traffic sends requests at a fixed rate.
type traffic struct {
	quit chan struct{}
	done sync.WaitGroup
}

// startTraffic sends the request that next returns each interval, and passes its answer
// to finished.
func startTraffic(w *world, interval time.Duration, next func(i int) request, finished func(request, time.Time, answer)) *traffic {
	t := &traffic{quit: make(chan struct{})}
	t.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 1; ; i++ {
			select {
			case <-ticker.C:
			case <-t.quit:
				return
			}
			q, at := next(i), time.Now()
			t.done.Go(func() { finished(q, at, w.send(q)) })
		}
	})
	return t
}

// stop stops sending and waits for the answers.
func (t *traffic) stop() {
	close(t.quit)
	t.done.Wait()
}
