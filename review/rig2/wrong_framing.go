package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// misframedOf is the number of answers of which a faulty server spoils one.
const misframedOf = 20

// wrongFraming plays this: for some seconds a part of the servers spoils some of their
// answers: these have the status line of HTTP/1.0 and a body in chunks. Without the
// disruption all answers are sound.
func wrongFraming(rec *recorder, trouble bool) (verdict, error) {
	w, err := newWorld(rec, "desk", "desk", "desk", "desk")
	if err != nil {
		return verdict{}, err
	}
	defer w.stop()
	w.configure([]string{"desk"}, route{"r-look", "desk.example", "/look/", "safe", "desk"})
	if err := w.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, m := range w.machines[:2] {
			var answered atomic.Int64
			m.server.misframes = func() bool { return answered.Add(1)%misframedOf == 0 }
		}
	}
	var mu sync.Mutex
	answers, wrong := map[string]int{}, 0
	traffic := startTraffic(w, 10*time.Millisecond, func(i int) request {
		return request{machine: w.machines[i%4], method: "GET", host: "desk.example", path: "/look/x", id: fmt.Sprintf("look-%d", i)}
	}, func(q request, _ time.Time, a answer) {
		mu.Lock()
		defer mu.Unlock()
		answers[a.String()]++
		if a.status == 200 && !(strings.HasPrefix(a.body, "done by desk for ") && strings.HasSuffix(a.body, " "+q.id)) {
			wrong++
			rec.add("script", "the client of %s got a complete 200 with the body %q", q.id, a.body)
		}
	})
	time.Sleep(4800 * time.Millisecond)
	traffic.stop()
	mu.Lock()
	defer mu.Unlock()
	return verdict{wrong > 0, fmt.Sprintf("MIXED: %d clients got a success whose body is not the server's; allowed 0; answers: %v", wrong, answers)}, nil
}
