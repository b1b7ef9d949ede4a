package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the case. drain and contact are the bounds of the site.
const (
	drain   = 2 * time.Second
	contact = 3 * time.Second
	// downTime is how long the crashed server is away.
	downTime = 2 * time.Second
	// serveAfterLeave is how long the leaving server goes on serving.
	serveAfterLeave = 9 * time.Second
	// lateAfterLeave is when the late heartbeat arrives after the leave notice.
	lateAfterLeave = time.Second
)

// lateHeartbeat: a server crashes and starts again under its id; later it leaves with DELETE.
// A heartbeat of its earlier run, which a partition delayed, arrives after that.
func lateHeartbeat(d *deployment, trouble bool) (int, error) {
	const host = "shop.example"
	for range 3 {
		if _, err := d.add("z-a", "orders"); err != nil {
			return couldNot, err
		}
	}
	d.store.put("op", "config", config(7, host, []string{"orders"},
		route("r-place", "/place/", "unsafe", "orders", "1200ms", "500ms", 1, 2),
		route("r-look", "/look/", "safe", "orders", "1000ms", "400ms", 2, 2)))
	if err := d.start(9, 120*time.Millisecond); err != nil {
		return couldNot, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(d.rec)
	stop := make(chan struct{})
	for _, m := range d.machines {
		c.stream(m, host, http.MethodPost, func(i int) string { return fmt.Sprintf("/place/%d", i) }, 1200*time.Millisecond, 60*time.Millisecond, stop)
		c.stream(m, host, http.MethodGet, func(i int) string { return fmt.Sprintf("/look/%d", i) }, time.Second, 60*time.Millisecond, stop)
	}
	time.Sleep(5 * time.Second)

	m := d.machines[0]
	first := m.server
	first.mu.Lock()
	first.silent = true
	first.mu.Unlock()
	late, sequence := first.announcement("ready")
	lateSent := time.Now()
	d.rec.line("server %s: sends its heartbeat of sequence %d, born %d; it is held up on its way", m.name, sequence, first.born)
	time.Sleep(200 * time.Millisecond)
	first.end()
	time.Sleep(downTime)
	second, err := d.newServer(m, first.instance, "v1", 9, 120*time.Millisecond)
	if err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	acknowledged := second.deregister()
	time.Sleep(lateAfterLeave)
	lateArrived := time.Now()
	if trouble {
		status := first.call(http.MethodPut, late)
		d.rec.line("server %s: the heartbeat of sequence %d, born %d arrives %.1f s late: %d", m.name, sequence, first.born, time.Since(lateSent).Seconds(), status)
	}
	time.Sleep(time.Until(acknowledged.Add(serveAfterLeave)))
	second.end()
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	c.group.Wait()

	// Judged are requests that were sent so late that also a machine that was out of touch
	// until the late heartbeat came is in touch again.
	judgedFrom := acknowledged.Add(drain)
	if t := lateArrived.Add(contact); t.After(judgedFrom) {
		judgedFrom = t
	}
	at := map[string]sent{}
	for _, s := range c.list() {
		at[s.id] = s
	}
	reached, early, cut, cutUnsafe := 0, 0, 0, 0
	for _, r := range d.runs.list() {
		s, ok := at[r.id]
		if !ok || r.server != m.name || !r.arrived.After(acknowledged.Add(drain)) {
			continue
		}
		if !s.at.After(judgedFrom) {
			early++
			continue
		}
		reached++
		d.rec.line("reached the server %.3f s after the acknowledgement of its leaving: %s, the client got %d", r.arrived.Sub(acknowledged).Seconds(), r.id, s.status)
		if r.cut {
			cut++
			if r.method == http.MethodPost {
				cutUnsafe++
			}
		}
	}
	d.rec.result("requests: %d; reached the server later than %s after the acknowledgement: %d, and %d more that were sent within %s of the late heartbeat",
		len(at), drain, reached, early, contact)
	d.rec.result("of these, cut off by the server's end: %d, unsafe ones %d", cut, cutUnsafe)
	if reached > 0 {
		return broken, nil
	}
	return held, nil
}
