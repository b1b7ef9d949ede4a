package main

import (
	"fmt"
	"net/http"
	"time"
)

// encodedSlash: an unsafe route and a safe route whose prefix is longer. The clients' paths
// begin with the unsafe route's prefix only: what follows is a reference in one segment, whose
// slash is encoded. Servers lose answers of requests that they have run.
func encodedSlash(d *deployment, trouble bool) (int, error) {
	const host = "shop.example"
	for range 5 {
		if _, err := d.add("z-a", "orders"); err != nil {
			return couldNot, err
		}
	}
	d.store.put("op", "config", config(7, host, []string{"orders"},
		route("r-place", "/reorder/", "unsafe", "orders", "1200ms", "500ms", 1, 2),
		route("r-past", "/reorder/2026/", "safe", "orders", "1000ms", "400ms", 2, 2)))
	if err := d.start(9, 160*time.Millisecond); err != nil {
		return couldNot, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(d.rec)
	stop := make(chan struct{})
	for _, m := range d.machines {
		c.stream(m, host, http.MethodPost, func(i int) string { return fmt.Sprintf("/reorder/2026%%2F%04d", i) }, 1200*time.Millisecond, 50*time.Millisecond, stop)
		c.stream(m, host, http.MethodGet, func(i int) string { return fmt.Sprintf("/reorder/2026/%04d", i) }, time.Second, 50*time.Millisecond, stop)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		// Three of five servers lose the answers of 0.4 of their requests, for 3.9 s.
		for _, m := range d.machines[:3] {
			// The third and the fifth of each five: never more than 0.4.
			n := 0
			m.server.setLoseAnswer(func(string) bool {
				n++
				return n%5 == 3 || n%5 == 0
			})
		}
		d.rec.line("three of five servers lose the answers of 0.4 of their requests")
	}
	time.Sleep(3900 * time.Millisecond)
	for _, m := range d.machines {
		m.server.setLoseAnswer(nil)
	}
	time.Sleep(time.Second)
	close(stop)
	c.group.Wait()

	counts := map[string]int{}
	for _, r := range d.runs.list() {
		if r.method == http.MethodPost {
			counts[r.id]++
		}
	}
	posts, twice := 0, 0
	for _, s := range c.list() {
		if s.method != http.MethodPost {
			continue
		}
		posts++
		if counts[s.id] > 1 {
			twice++
			d.rec.line("ran %d times: %s %s, the client got %d", counts[s.id], s.id, s.path, s.status)
		}
	}
	d.rec.result("requests of the unsafe route: %d; ran more than once: %d", posts, twice)
	if posts == 0 {
		return couldNot, fmt.Errorf("no request was sent")
	}
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
