package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"record_version"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store: rows, transactions under conditions and a
// feed of changes. It loses nothing and answers every call.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
	servers []*http.Server
	// silent holds the machines that get no response.
	silent map[string]bool
	// watches holds, by machine and table, a channel that is closed when the machine next
	// begins to wait for changes of the table.
	watches map[[2]string]chan struct{}
	rec     *record
	// losing makes the store lose the answer of the next write. While it is set,
	// writesSeen counts the writes.
	losing     bool
	writesSeen int
}

// loseOneAnswer begins or ends a time in which the answer of the first write is lost. The
// write itself is done. It returns the number of writes of the time that ends.
func (s *store) loseOneAnswer(losing bool) (writes int) {
	s.rec.line("the store loses an answer: %v", losing)
	s.mu.Lock()
	defer s.mu.Unlock()
	writes = s.writesSeen
	s.losing, s.writesSeen = losing, 0
	return writes
}

func newStore(rec *record) *store {
	return &store{
		rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now(), silent: map[string]bool{},
		watches: map[[2]string]chan struct{}{}, rec: rec,
	}
}

// listen returns a new address at which the store serves one machine.
func (s *store) listen(machine string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	handle := func(pattern string, handler func(w http.ResponseWriter, r *http.Request, machine string)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if s.isSilent(machine) {
				s.giveNoResponse(r, machine)
				return
			}
			handler(w, r, machine)
		})
	}
	handle("POST /rows-tx", s.transaction)
	handle("GET /rows-get", s.get)
	handle("GET /rows-feed", s.feed)
	server := &http.Server{Handler: mux}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// setSilent sets whether the machine gets no response. A response that falls due
// meanwhile is lost, and its connection delivers nothing further.
func (s *store) setSilent(machine string, silent bool) {
	s.rec.line("the store gives machine %s no response: %v", machine, silent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[machine] = silent
}

func (s *store) isSilent(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[machine]
}

// giveNoResponse holds a call without a response until the machine gives it up.
func (s *store) giveNoResponse(r *http.Request, machine string) {
	s.rec.line("the store gives machine %s no response to %s %s", machine, r.Method, r.URL.RequestURI())
	_, _ = io.Copy(io.Discard, r.Body)
	began := time.Now()
	<-r.Context().Done()
	s.rec.line("machine %s has given up %s %s after %.1f s", machine, r.Method, r.URL.RequestURI(), time.Since(began).Seconds())
}

// nextWatch returns a channel that is closed when the machine next begins to wait a second
// or longer for changes of the table.
func (s *store) nextWatch(machine, table string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]string{machine, table}
	if s.watches[key] == nil {
		s.watches[key] = make(chan struct{})
	}
	return s.watches[key]
}

func (s *store) watchBegins(machine, table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]string{machine, table}
	if begun := s.watches[key]; begun != nil {
		close(begun)
		delete(s.watches, key)
	}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: data})
	s.notify()
}

// value returns the value of a row of the part with the empty name, or "".
func (s *store) value(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[rowKey{table, "", key}].Value)
}

func (s *store) write(r row) {
	r.Version = s.version
	s.rows[r.id()] = r
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, hasMore bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": hasMore, "record_version": version, "now": strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms",
	})
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request, machine string) {
	time.Sleep(storeLatency)
	var tx struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, c := range tx.Precondition {
		have, ok := s.rows[c.id()]
		if ok {
			current = append(current, have)
		}
		failed = failed || have.Version != c.Version
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false, s.version)
		return
	}
	for _, write := range tx.Writes {
		if write.Table == "op" || write.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, write := range tx.Writes {
		s.write(write)
	}
	for _, removed := range tx.Remove {
		delete(s.rows, removed.id())
		s.history = append(s.history, row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Version: s.version, Removed: true})
	}
	s.notify()
	version, lost := s.version, false
	if s.losing {
		lost = s.writesSeen == 0
		s.writesSeen++
	}
	for _, write := range tx.Writes {
		s.rec.line("machine %s wrote %s/%s: %s (answer lost: %v)", machine, write.Table, write.Key, write.Value, lost)
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	if lost {
		s.giveNoResponse(r, machine)
		return
	}
	s.answer(w, http.StatusOK, nil, false, version)
}

// maxPage is the largest number of rows in an answer.
const maxPage = 500

func (s *store) get(w http.ResponseWriter, r *http.Request, _ string) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") && (q.Get("target") == "" || have.Key < q.Get("target")) {
			found = append(found, have)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	hasMore := len(found) > limit
	if hasMore {
		found = found[:limit]
	}
	s.answer(w, http.StatusOK, found, hasMore, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, machine string) {
	q := r.URL.Query()
	if wait, err := strconv.Atoi(q.Get("wait_ms")); err == nil && wait >= 1000 {
		s.watchBegins(machine, q.Get("table"))
	}
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var found []row
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Version > after {
				found = append(found, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(found) > 0 || expired {
			time.Sleep(storeLatency)
			if s.isSilent(machine) {
				s.giveNoResponse(r, machine)
				return
			}
			s.answer(w, http.StatusOK, found, false, version)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
