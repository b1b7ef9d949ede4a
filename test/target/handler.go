package target

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
)

// Endpoints of a target.
const (
	// BehaviourPath takes a Behaviour as JSON.
	BehaviourPath = "/_target/behaviour"
	// HealthPath answers 200, or 503 while the target fails half of its requests or more.
	HealthPath = "/_target/health"
	// LoadPath answers a Load as JSON.
	LoadPath = "/_target/load"
)

// unhealthyFraction is the share of failing requests above which the target
// reports that it is ill.
const unhealthyFraction = 0.5

// crashExitCode is the exit code of a crash on purpose.
const crashExitCode = 3

// Load is what a target reports about its load.
type Load struct {
	InFlight int64  `json:"in_flight"`
	Slots    uint32 `json:"slots"`
}

func (t *Target) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+BehaviourPath, t.handleBehaviour)
	mux.HandleFunc("GET "+HealthPath, t.handleHealth)
	mux.HandleFunc("GET "+LoadPath, t.handleLoad)
	mux.HandleFunc("/", t.handleRequest)
	return mux
}

func (t *Target) handleBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetBehaviour(b)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	b := t.behaviour.Load()
	ill := b.FailFraction >= unhealthyFraction && t.served.Load() >= b.AfterRequests
	if ill && !b.LieHealth {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request) {
	load := Load{InFlight: t.inFlight.Load(), Slots: t.options.Slots}
	if t.behaviour.Load().LieHealth {
		load.InFlight = 0
	}
	_ = json.NewEncoder(w).Encode(load)
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	inFlight := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	b := t.behaviour.Load()
	now := situation{
		path: r.URL.Path, served: t.served.Add(1) - 1,
		inFlight: int(inFlight), age: time.Since(t.started),
	}
	run := t.runOf(r)
	if !t.mustRecord(w, run) {
		return
	}
	if b.crashes(r.URL.Path) {
		t.crash(run)
	}
	if !pause(r, b.delay(now)) {
		t.finish(run, 0)
		return
	}
	t.answer(w, r, run, t.chance(b, now))
}

// mustRecord writes the entry, or refuses the request: a run without an entry
// would look lost to the checker.
func (t *Target) mustRecord(w http.ResponseWriter, run *Entry) bool {
	err := t.record.write(run)
	if err == nil {
		return true
	}
	log.Printf("record run: %v", err)
	http.Error(w, "record failed", http.StatusInternalServerError)
	return false
}

func (t *Target) runOf(r *http.Request) *Entry {
	run := t.entry(Started)
	run.Run = t.runs.Add(1)
	run.ID = r.Header.Get(IDHeader)
	run.Attempt = r.Header.Get(AttemptHeader)
	run.Key = r.Header.Get(proxy.KeyHeader)
	run.Method = r.Method
	run.Path = r.URL.Path
	return run
}

func (t *Target) chance(b *Behaviour, now situation) bool {
	t.randomMu.Lock()
	defer t.randomMu.Unlock()
	return b.fails(now, t.random)
}

func (t *Target) crash(run *Entry) {
	crashed := *run
	crashed.Phase = Crashed
	_ = t.record.write(&crashed)
	exit := t.options.Exit
	if exit == nil {
		exit = os.Exit
	}
	exit(crashExitCode)
}

// pause waits and reports whether the request is still wanted.
func pause(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// answer reads the body, answers and records the end of the run.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, run *Entry, fail bool) {
	digest := NewDigest()
	n, err := io.Copy(digest, r.Body)
	run.Bytes = n
	run.Digest = DigestText(digest)
	if err != nil {
		t.finish(run, 0)
		return
	}
	status := t.callNext(w, r)
	if fail {
		status = http.StatusInternalServerError
	}
	run.Whole = t.writeAnswer(w, r, run, status) == nil
	t.finish(run, status)
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, run *Entry, status int) error {
	padding := paddingOf(r)
	line, err := json.Marshal(Answer{
		VM: run.VM, Service: run.Service, Version: run.Version,
		ID: run.ID, Method: run.Method, Path: run.Path,
		Bytes: run.Bytes, Digest: run.Digest, Padding: padding,
	})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode answer")
	}
	line = append(line, '\n')
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(line))+padding, 10))
	w.WriteHeader(status)
	body := io.MultiReader(bytes.NewReader(line), Padding(run.ID, padding))
	if _, err = io.Copy(w, body); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write answer")
	}
	return nil
}

func paddingOf(r *http.Request) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(BytesParameter), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxPaddingBytes)
}

func (t *Target) finish(run *Entry, status int) {
	run.Phase = Ended
	run.Status = status
	run.End = time.Now()
	if err := t.record.write(run); err != nil {
		log.Printf("record end of run: %v", err)
	}
}
