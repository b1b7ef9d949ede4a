package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	requestID    = "X-Magnoliamount-Request-Id"
	deadlineName = "X-Magnoliamount-Request-Deadline"
	expectedName = "X-Magnoliamount-Expected-Instance"
	instanceName = "X-Magnoliamount-Instance-Id"
	notExecuted  = "X-Magnoliamount-Not-Executed"
	signature    = "X-Magnoliamount-Server-Signature"
	loadName     = "X-Magnoliamount-Server-Load"
)

// heartbeat is the time between two heartbeats of a server.
const heartbeat = 1500 * time.Millisecond

// run is one run of a request at a server.
type run struct {
	id, server, method, uri, instance string
	arrived                           time.Time
	// cut is set when the server ended before the run did.
	cut bool
}

// serverOptions describe a server.
type serverOptions struct {
	name, service, address, control, zone, version, instance string
	slots                                                    int
	work                                                     time.Duration
}

// appServer is a stand-in of an application server. It keeps to the protocol page.
type appServer struct {
	serverOptions
	rec     *record
	runs    *runLog
	born    int64
	http    *http.Server
	ended   chan struct{}
	mu      sync.Mutex
	seq     int
	running int
	waiting int
	leaving bool
	silent  bool
	slot    chan struct{}
	stop    chan struct{}
	// loseAnswer, if set, decides whether the answer of a request that has run is lost.
	loseAnswer func(id string) bool
	// spoil, if set, returns the bytes that are sent in place of an answer, or nil.
	spoil func(id, body string) []byte
	// fails makes every second answer a failure.
	fails bool
	done  int
}

// runLog holds the runs at all servers.
type runLog struct {
	mu  sync.Mutex
	all []*run
}

func (l *runLog) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

func (l *runLog) list() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []run
	for _, r := range l.all {
		all = append(all, *r)
	}
	return all
}

// startServer starts a new run of a server, which sends heartbeats.
func startServer(o serverOptions, rec *record, runs *runLog) (*appServer, error) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", o.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	s := &appServer{serverOptions: o, rec: rec, runs: runs, born: time.Now().UnixMilli(), ended: make(chan struct{}), slot: make(chan struct{}, o.slots), stop: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	rec.line("server %s: started as %s, born %d", o.name, o.instance, s.born)
	go s.beat()
	return s, nil
}

// announcement returns the body of a heartbeat and the next sequence number.
func (s *appServer) announcement(state string) (body []byte, sequence int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	body, _ = json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"cold_remaining": "0ms", "sequence": s.seq, "born": s.born,
	})
	return body, s.seq
}

// call sends a message to the daemon's control address and returns the status, or 0.
func (s *appServer) call(method string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.control+"/instances/"+s.instance, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (s *appServer) beat() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			body, sequence := s.announcement("ready")
			status := s.call(http.MethodPut, body)
			s.rec.line("server %s: heartbeat ready, sequence %d, born %d: %d", s.name, sequence, s.born, status)
		}
		select {
		case <-time.After(heartbeat):
		case <-s.stop:
			return
		}
	}
}

// deregister sends the leave notice and returns when it was acknowledged.
func (s *appServer) deregister() time.Time {
	s.mu.Lock()
	s.leaving, s.silent = true, true
	s.mu.Unlock()
	for {
		if status := s.call(http.MethodDelete, nil); status/100 == 2 {
			at := time.Now()
			s.rec.line("server %s: DELETE /instances/%s acknowledged: %d", s.name, s.instance, status)
			return at
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// end ends the run of the server at once: all connections close.
func (s *appServer) end() {
	close(s.stop)
	close(s.ended)
	_ = s.http.Close()
	s.rec.line("server %s: the run of %s born %d has ended", s.name, s.instance, s.born)
}

// setLoseAnswer sets which answers are lost from now on.
func (s *appServer) setLoseAnswer(lose func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer = lose
}

// setSpoil sets which answers are spoilt from now on.
func (s *appServer) setSpoil(spoil func(id, body string) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = spoil
}

// setFails sets whether every second answer is a failure.
func (s *appServer) setFails(fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = fails
}

func (s *appServer) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

func (s *appServer) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(notExecuted, "1")
	w.Header().Set(instanceName, s.instance)
	w.WriteHeader(status)
}

// ServeHTTP serves health checks and requests.
func (s *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestID)
	if id != "" {
		w.Header().Set(requestID, id)
	}
	w.Header().Set(loadName, s.load())
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		w.Header().Set(instanceName, s.instance)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get(expectedName); expected != "" && expected != s.instance {
		s.rec.line("server %s: %s expects %s: 421", s.name, id, expected)
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	deadline := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get(deadlineName)); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	s.count(&s.waiting, 1)
	select {
	case s.slot <- struct{}{}:
		s.count(&s.waiting, -1)
	case <-ctx.Done():
		s.count(&s.waiting, -1)
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slot }()
	one := &run{id: id, server: s.name, method: r.Method, uri: r.RequestURI, instance: s.instance, arrived: time.Now()}
	s.runs.add(one)
	s.rec.line("server %s: runs %s %s %s (%s %q)", s.name, id, r.Method, r.RequestURI, deadlineName, r.Header.Get(deadlineName))
	s.count(&s.running, 1)
	defer s.count(&s.running, -1)
	select {
	case <-time.After(s.work):
	case <-s.ended:
		s.runs.mu.Lock()
		one.cut = true
		s.runs.mu.Unlock()
		s.rec.line("server %s: ends while it runs %s", s.name, id)
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		s.rec.line("server %s: stops %s: %v", s.name, id, ctx.Err())
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.mu.Lock()
	lost := s.loseAnswer != nil && s.loseAnswer(id)
	s.mu.Unlock()
	if lost {
		s.rec.line("server %s: has run %s, its answer is lost", s.name, id)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	body := s.name + " " + r.Method + " " + r.RequestURI + "\n"
	s.mu.Lock()
	spoil := s.spoil
	s.mu.Unlock()
	if spoil != nil {
		if raw := spoil(id, body); raw != nil {
			s.rec.line("server %s: has run %s, sends %q and closes", s.name, id, raw)
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = conn.Write(raw)
				_ = conn.Close()
			}
			return
		}
	}
	w.Header().Set(signature, "s."+id)
	s.mu.Lock()
	s.done++
	failed := s.fails && s.done%2 == 0
	s.mu.Unlock()
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, body)
}

func (s *appServer) count(field *int, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field += change
}
