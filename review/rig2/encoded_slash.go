package main

import (
	"fmt"
	"strings"
	"time"
)

// encodedSlash plays this: a change of the configuration adds a route whose prefix lies
// within that of another. Requests on the other route have a key with an encoded slash in
// their path. Without the disruption the change adds a route elsewhere.
func encodedSlash(rec *recorder, trouble bool) (verdict, error) {
	w, err := newWorld(rec, "desk", "vault")
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	services := []string{"desk", "vault"}
	first := route{"r-place", "desk.example", "/orders/", "unsafe", "desk"}
	w.configure(services, first)
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	foreign := 0
	send := func(phase string, count int) {
		for i := range count {
			id := fmt.Sprintf("%s-%d", phase, i)
			a := w.send(request{machine: w.machines[i%2], method: "POST", host: "desk.example", path: "/orders/archive%2F" + id, id: id, body: []byte("one order")})
			if strings.HasPrefix(a.body, "done by vault") {
				foreign++
			}
		}
	}
	send("before", 10)
	added := route{"r-archive", "desk.example", "/archive/", "unsafe", "vault"}
	if trouble {
		added.prefix = "/orders/archive/"
	}
	w.configure(services, first, added)
	time.Sleep(configApply + time.Second)
	send("after", 20)
	return verdict{foreign > 0, fmt.Sprintf("ROUTE: %d of 30 requests on the route to desk were run by vault; allowed 0", foreign)}, nil
}
