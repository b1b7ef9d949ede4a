package main

import (
	"fmt"
	"sync"
	"time"
)

// maxPending bounds the requests of the traffic that have no answer yet.
const maxPending = 200

// traffic sends harmless requests from machines in turn, each on a connection of its
// own, until it is stopped.
type traffic struct {
	record   *recorder
	machines []*machine
	interval time.Duration
	// next returns the request with the number.
	next func(i int) request

	mu             sync.Mutex
	served, failed int
	stopping       chan struct{}
	finished       chan struct{}
}

func (t *traffic) start() {
	t.stopping, t.finished = make(chan struct{}), make(chan struct{})
	go t.run()
}

// stop ends the traffic and waits until all requests are answered.
func (t *traffic) stop() {
	close(t.stopping)
	<-t.finished
	t.record.add("traffic  served %d, not served %d", t.served, t.failed)
}

func (t *traffic) run() {
	defer close(t.finished)
	pending := make(chan struct{}, maxPending)
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-t.stopping:
			for range maxPending {
				pending <- struct{}{}
			}
			return
		}
		m, q := t.machines[i%len(t.machines)], t.next(i)
		pending <- struct{}{}
		go func() {
			defer func() { <-pending }()
			t.send(m, q)
		}()
	}
}

func (t *traffic) send(m *machine, q request) {
	a := m.send(q)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.status == 200 && a.signed {
		t.served++
	} else {
		t.failed++
	}
}

// enough fails with errUnfit when so few requests were served that the run shows
// nothing. It is called after stop.
func (t *traffic) enough(least int) error {
	if t.served < least {
		return fmt.Errorf("%d requests were served, fewer than %d: %w", t.served, least, errUnfit)
	}
	return nil
}
