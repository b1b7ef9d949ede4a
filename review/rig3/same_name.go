package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// sameName: a configuration adds a second host. Its route has the same name as a route of the
// first host, and leads to the same service.
func sameName(d *deployment, trouble bool) (int, error) {
	const first, second = "shop.example", "branch.example"
	for i := range 5 {
		service := "front"
		if i >= 2 {
			service = "orders"
		}
		if _, err := d.add("z-a", service); err != nil {
			return couldNot, err
		}
	}
	front := route("root", "/", "unsafe", "front", "1000ms", "400ms", 2, 2)
	orders := route("place", "/place/", "unsafe", "orders", "1200ms", "500ms", 1, 2)
	v7 := config(7, first, []string{"front", "orders"}, front, orders)
	d.store.put("op", "config", v7)
	if err := d.start(9, 30*time.Millisecond); err != nil {
		return couldNot, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(d.rec)
	stop := make(chan struct{})
	for _, m := range d.machines {
		c.stream(m, first, http.MethodPost, func(i int) string { return fmt.Sprintf("/place/%d", i) }, 1200*time.Millisecond, 50*time.Millisecond, stop)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		v9 := config(9, first, []string{"front", "orders"}, front, orders)
		hosts := v9["virtual_hosts"].([]map[string]any)
		v9["virtual_hosts"] = append(hosts, map[string]any{"host": second, "paths": []map[string]any{orders}})
		d.store.put("op", "config", v9)
		d.rec.line("the operator's version 9 adds host %s with a route of its own of the name place", second)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	c.group.Wait()

	services := map[string]string{}
	for _, m := range d.machines {
		services[m.name] = m.service
	}
	runs, foreign := 0, 0
	for _, r := range d.runs.list() {
		if !strings.HasPrefix(r.uri, "/place/") {
			continue
		}
		runs++
		if services[r.server] != "orders" {
			foreign++
			d.rec.line("run by service %s: %s %s", services[r.server], r.id, r.uri)
		}
	}
	d.rec.result("requests of the route to orders that ran: %d; run by another service: %d", runs, foreign)
	if runs == 0 {
		return couldNot, fmt.Errorf("no request ran")
	}
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}
