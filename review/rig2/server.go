package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// slots is the number of requests that a server runs at once, and queued the number of
// those that it lets wait.
const (
	slots  = 9
	queued = 36
)

// server is the application server of a machine. It may crash and start again; each start
// is a run of its own.
type server struct {
	m    *machine
	work time.Duration
	// misframes tells whether the next answer has a wrong framing. It may be nil.
	misframes func() bool
	// onRun is called when a server begins to work on a request. It may be nil.
	onRun func(id string, at time.Time)

	mu       sync.Mutex
	instance string
	born     int64
	sequence int
	leaving  bool
	up       bool
	http     *http.Server
	conns    map[net.Conn]bool
	stopBeat context.CancelFunc
	running  chan struct{}
	waiting  chan struct{}
}

func newServer(m *machine, instance string) *server {
	return &server{m: m, instance: instance, work: 100 * time.Millisecond}
}

// start starts a run of the server under its instance name and announces it.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.m.address(appPort))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.born, s.sequence, s.leaving, s.up = time.Now().UnixMilli(), 0, false, true
	s.conns = map[net.Conn]bool{}
	s.running, s.waiting = make(chan struct{}, slots), make(chan struct{}, slots+queued)
	s.stopBeat = cancel
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.track}
	current := s.http
	s.mu.Unlock()
	s.m.w.rec.add("server", "%s starts at %s, born %d", s.instance, s.m.name, s.born)
	go func() { _ = current.Serve(listener) }()
	go s.beat(ctx)
	return nil
}

func (s *server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = true
}

// end ends the run: the port closes and all connections are reset. It reports whether
// the server was up.
func (s *server) end() bool {
	s.mu.Lock()
	wasUp := s.up
	s.up = false
	if !wasUp {
		s.mu.Unlock()
		return false
	}
	s.stopBeat()
	current := s.http
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = current.Close()
	return true
}

// beat sends heartbeats until ctx ends.
func (s *server) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if path, body, ok := s.nextHeartbeat(); ok {
			_, _ = s.sendHeartbeat(path, body)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// nextHeartbeat returns the next heartbeat of the run, and false once the server leaves.
func (s *server) nextHeartbeat() (string, []byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || !s.up {
		return "", nil, false
	}
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.m.service, "address": s.m.address(appPort), "zone": s.m.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining": "0ms", "sequence": s.sequence, "born": s.born,
	})
	return "/instances/" + s.instance, body, true
}

// sendHeartbeat sends a heartbeat to the control address of the machine.
func (s *server) sendHeartbeat(path string, body []byte) (int, error) {
	return s.control(http.MethodPut, path, body)
}

// deregister says that the server leaves, without having reported "draining" before.
func (s *server) deregister() (int, error) {
	s.mu.Lock()
	s.leaving = true
	path := "/instances/" + s.instance
	s.mu.Unlock()
	return s.control(http.MethodDelete, path, nil)
}

func (s *server) control(method, path string, body []byte) (int, error) {
	r, err := http.NewRequest(method, "http://"+s.m.address(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := s.m.w.client.Do(r)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	instance, leaving, up, running, waiting := s.instance, s.leaving, s.up, s.running, s.waiting
	s.mu.Unlock()
	h := w.Header()
	h.Set("X-Magnoliamount-Server-Load", fmt.Sprintf("%d,%d,%d", len(running), max(0, len(waiting)-len(running)), slots))
	id := r.Header.Get("X-Magnoliamount-Request-Id")
	if id != "" {
		h.Set("X-Magnoliamount-Request-Id", id)
	}
	refuse := func(status int, why string) {
		s.m.w.rec.add("server", "%s at %s rejects %s: %s", instance, s.m.name, id, why)
		h.Set("X-Magnoliamount-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if r.URL.Path == "/health" {
		h.Set("X-Magnoliamount-Instance-Id", instance)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("X-Magnoliamount-Expected-Instance"); expected != "" && expected != instance {
		h.Set("X-Magnoliamount-Instance-Id", instance)
		refuse(http.StatusMisdirectedRequest, "it expects "+expected)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest, "it has no id")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !up {
		return
	}
	select {
	case waiting <- struct{}{}:
	default:
		refuse(http.StatusServiceUnavailable, "full")
		return
	}
	defer func() { <-waiting }()
	select {
	case running <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-running }()
	s.run(w, r, id, instance, body)
}

// run works on a request and answers it.
func (s *server) run(w http.ResponseWriter, r *http.Request, id, instance string, body []byte) {
	s.m.w.rec.add("server", "%s at %s runs %s: %s %s of %q, %d bytes", instance, s.m.name, id, r.Method, r.RequestURI, s.m.service, len(body))
	if s.onRun != nil {
		s.onRun(id, time.Now())
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.m.w.rec.add("server", "%s at %s breaks off %s, its connection is closed", instance, s.m.name, id)
		return
	}
	text := "done by " + s.m.service + " for " + id
	if s.misframes != nil && s.misframes() {
		s.misframe(w, id, instance, text)
		return
	}
	w.Header().Set("X-Magnoliamount-Server-Signature", "s."+instance+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
}

// misframe answers with the status line of HTTP/1.0 and a body in chunks, which HTTP/1.0
// does not have, and closes the connection.
func (s *server) misframe(w http.ResponseWriter, id, instance, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	s.m.w.rec.add("server", "%s at %s answers %s with HTTP/1.0 and chunks", instance, s.m.name, id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nX-Magnoliamount-Request-Id: %s\r\nX-Magnoliamount-Server-Signature: s.%s.%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		id, instance, id, len(text), text)
}
