package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the `heartbeat` of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// server is the application server beside a daemon, as PROTOCOL.md describes it.
type server struct {
	machine *machine
	slots   int
	work    time.Duration
	// crashOn tells whether a request crashes the server that begins to run it.
	crashOn func(r *http.Request, body []byte) bool
	// crashAfter is how long the server runs such a request until it crashes.
	crashAfter time.Duration
	// onRun is called when the server begins to run a request.
	onRun func(at time.Time, id string)

	mu      sync.Mutex
	run     *serverRun
	starts  int
	crashes []time.Time
}

// serverRun is one start of a server.
type serverRun struct {
	s        *server
	id       string
	born     int64
	listener net.Listener
	http     *http.Server
	busy     chan struct{}
	ended    chan struct{}
	leaving  atomic.Bool
	sequence atomic.Int64
	once     sync.Once
}

// start starts the server under the id, or under a new one if it is empty.
func (s *server) start(id string, born int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	if id == "" {
		id = fmt.Sprintf("i-%s-%d", s.machine.name, s.starts)
	}
	listener, err := net.Listen("tcp", s.machine.address(s.machine.rig.ports.app))
	if err != nil {
		return err
	}
	run := &serverRun{s: s, id: id, born: born, listener: listener, busy: make(chan struct{}, s.slots), ended: make(chan struct{})}
	run.http = &http.Server{Handler: run}
	s.run = run
	s.machine.rig.record.add("%s  server starts: id %s, born %d", s.machine.name, id, born)
	go func() { _ = run.http.Serve(listener) }()
	go run.beat()
	return nil
}

// current returns the current start of the server, or nil.
func (s *server) current() *serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run
}

// crash ends the server at once: its connections break and its port is closed.
func (s *server) crash() {
	if run := s.current(); run != nil {
		run.end()
	}
}

func (run *serverRun) end() {
	run.once.Do(func() {
		close(run.ended)
		_ = run.http.Close()
		run.s.mu.Lock()
		defer run.s.mu.Unlock()
		if run.s.run == run {
			run.s.run = nil
		}
	})
}

// crashAndReturn crashes the server, which is back after the time with a new id.
func (run *serverRun) crashAndReturn(after time.Duration) {
	s := run.s
	run.once.Do(func() {
		close(run.ended)
		s.machine.rig.record.add("%s  server %s crashes", s.machine.name, run.id)
		s.mu.Lock()
		s.crashes = append(s.crashes, time.Now())
		if s.run == run {
			s.run = nil
		}
		s.mu.Unlock()
		go func() {
			_ = run.http.Close()
			time.Sleep(after)
			_ = s.start("", time.Now().UnixMilli())
		}()
	})
}

// beat sends heartbeats until the run ends or has deregistered.
func (run *serverRun) beat() {
	for {
		if run.leaving.Load() {
			return
		}
		run.sendBeat(run.heartbeat("ready"))
		select {
		case <-time.After(heartbeatInterval):
		case <-run.ended:
			return
		}
	}
}

// heartbeat returns the next heartbeat of the run.
func (run *serverRun) heartbeat(state string) []byte {
	m := run.s.machine
	data, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.address(m.rig.ports.app), "zone": m.zone, "version": "v1", "slots": run.s.slots, "state": state,
		"cold_remaining": "0ms", "sequence": run.sequence.Add(1), "born": run.born,
	})
	return data
}

// sendBeat sends a heartbeat and reports whether it was acknowledged.
func (run *serverRun) sendBeat(data []byte) bool { return run.s.machine.control("PUT", run.id, data) }

// deregister sends the leave notice and reports whether it was acknowledged.
func (run *serverRun) deregister() bool {
	run.leaving.Store(true)
	return run.s.machine.control("DELETE", run.id, nil)
}

// control calls the daemon's control address. An acknowledgement has to arrive
// within a second.
func (m *machine) control(method, id string, data []byte) bool {
	r, err := http.NewRequest(method, "http://"+m.address(m.rig.ports.control)+"/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP answers as the platform's servers do.
func (run *serverRun) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Magnoliamount-Instance-Id", run.id)
	h.Set("X-Magnoliamount-Server-Load", fmt.Sprintf("%d,0,%d", len(run.busy), run.s.slots))
	if r.URL.Path == "/health" {
		if run.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Magnoliamount-Request-Id")
	h.Set("X-Magnoliamount-Request-Id", id)
	if expected := r.Header.Get("X-Magnoliamount-Expected-Instance"); expected != "" && expected != run.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case run.busy <- struct{}{}:
	case <-time.After(300 * time.Millisecond):
		h.Set("X-Magnoliamount-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-run.busy }()
	now := time.Now()
	run.s.machine.rig.record.add("%s  server %s runs %s", run.s.machine.name, run.id, id)
	if run.s.onRun != nil {
		run.s.onRun(now, id)
	}
	if run.s.crashOn != nil && run.s.crashOn(r, body) {
		time.Sleep(run.s.crashAfter)
		run.crashAndReturn(serverDownTime)
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(run.s.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Magnoliamount-Server-Signature", "signed."+id)
	_, _ = io.WriteString(w, strings.Repeat("answer to "+id+"\n", 20))
}

// serverDownTime is how long a crashed server is down.
const serverDownTime = 3 * time.Second
