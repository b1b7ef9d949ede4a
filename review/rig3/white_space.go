package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// whiteSpace: servers break off answers in whose head a space stands before the colon of
// Content-Length.
func whiteSpace(d *deployment, trouble bool) (int, error) {
	const host = "shop.example"
	for range 4 {
		if _, err := d.add("z-a", "orders"); err != nil {
			return couldNot, err
		}
	}
	d.store.put("op", "config", config(7, host, []string{"orders"}, route("r-look", "/look/", "safe", "orders", "1000ms", "400ms", 2, 2)))
	if err := d.start(9, 60*time.Millisecond); err != nil {
		return couldNot, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(d.rec)
	stop := make(chan struct{})
	for _, m := range d.machines {
		c.stream(m, host, http.MethodGet, func(i int) string { return fmt.Sprintf("/look/%d", i) }, time.Second, 30*time.Millisecond, stop)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, m := range d.machines[:1] {
			m.server.setSpoil(func(id, body string) []byte {
				if !strings.HasSuffix(id, "00") && !strings.HasSuffix(id, "50") {
					return nil
				}
				return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s\r\nContent-Length : %d\r\n\r\n%s", requestID, id, signature, id, len(body), body[:len(body)/2])
			})
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	c.group.Wait()
	answers, mixed := 0, 0
	for _, s := range c.list() {
		if s.status != http.StatusOK {
			continue
		}
		answers++
		if !strings.HasSuffix(s.body, " "+s.method+" "+s.path+"\n") {
			mixed++
			d.rec.line("a success without the whole body: %s %q", s.id, s.body)
		}
	}
	d.rec.result("successes: %d; without the server's whole body: %d", answers, mixed)
	if mixed > 0 {
		return broken, nil
	}
	return held, nil
}
