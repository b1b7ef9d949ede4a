package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drainBound is the bound `drain` of the settings.
	drainBound = 2 * time.Second
	// heldUp is how long the heartbeat of the earlier start is held up. The pages
	// say "seconds late".
	heldUp = 5 * time.Second
	// servesOn is how long the leaving server serves beyond `drain`. The pages say
	// "a little longer (at times many seconds)".
	servesOn = 8 * time.Second
)

// leavingServer counts the requests that reach a server after the acknowledgement
// of its leave notice.
type leavingServer struct {
	record *recorder

	mu           sync.Mutex
	acknowledged time.Time
	before, late int
}

func (l *leavingServer) ran(at time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch after := at.Sub(l.acknowledged); {
	case l.acknowledged.IsZero():
		l.before++
	case after > drainBound:
		l.late++
		l.record.add("m1  %s reached the server %.3f s after its leave notice was acknowledged", id, after.Seconds())
	}
}

// lateHeartbeat shows rule DRAIN: a server that has deregistered gets requests
// again, after a heartbeat that its earlier start under the same id had sent.
func lateHeartbeat(record *recorder, trouble bool) (bool, error) {
	r, err := newRig(record, "desk", 8, route("place", "unsafe", "desk"))
	if err != nil {
		return false, err
	}
	defer r.stop()
	if err := r.startAll(); err != nil {
		return false, err
	}
	server, counter := r.machines[0].server, &leavingServer{record: record}
	server.onRun = counter.ran
	// The clients are on the other machines, on which nothing is disturbed.
	clients := &traffic{record: record, machines: r.machines[1:], interval: 3 * time.Millisecond, next: func(i int) request {
		return request{id: fmt.Sprintf("r%05d", i), method: "POST", path: "/place/", body: fmt.Sprintf("reorder %d", i), deadline: time.Second}
	}}
	clients.start()
	time.Sleep(3 * time.Second)
	if trouble {
		if err := restartWithLateHeartbeat(record, server); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	last := server.current()
	if !last.deregister() {
		return false, fmt.Errorf("the leave notice was not acknowledged: %w", errUnfit)
	}
	counter.mu.Lock()
	counter.acknowledged = time.Now()
	counter.mu.Unlock()
	record.add("m1  the leave notice of %s (born %d) is acknowledged", last.id, last.born)
	time.Sleep(drainBound + servesOn)
	last.end()
	record.add("m1  server %s exits", last.id)
	time.Sleep(time.Second)
	clients.stop()
	record.add("m1  requests that reached the server before its leave notice %d, later than `drain` after it %d", counter.before, counter.late)
	if counter.before == 0 {
		return false, fmt.Errorf("the server got no requests before its leave notice: %w", errUnfit)
	}
	return counter.late > 0, clients.enough(300)
}

// restartWithLateHeartbeat makes the server send a heartbeat that is held up on its
// way, crash, and start again under its id a second later.
func restartWithLateHeartbeat(record *recorder, s *server) error {
	first := s.current()
	heartbeat := first.heartbeat("ready")
	record.add("m1  heartbeat %d of %s (born %d) is sent and held up", first.sequence.Load(), first.id, first.born)
	time.AfterFunc(heldUp, func() {
		ok := first.sendBeat(heartbeat)
		record.add("m1  the held-up heartbeat of %s (born %d) arrives %.0f s late; acknowledged: %t", first.id, first.born, heldUp.Seconds(), ok)
	})
	record.add("m1  server %s crashes", first.id)
	first.end()
	time.Sleep(time.Second)
	return s.start(first.id, time.Now().UnixMilli())
}
