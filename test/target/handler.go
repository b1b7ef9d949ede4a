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

// Paths of a target's control endpoints.
const (
	// BehaviourPath accepts a Behaviour as JSON and replaces the current one.
	BehaviourPath = "/_target/behaviour"
	// HealthPath returns 200, or 503 while half of the requests or more fail.
	HealthPath = "/_target/health"
	// LoadPath returns a Load as JSON.
	LoadPath = "/_target/load"
)

// unhealthyFraction is the lowest fraction of failing requests at which the
// target reports that it is unhealthy.
const unhealthyFraction = 0.5

// crashExitCode is the exit code of an injected crash.
const crashExitCode = 3

// Load is the load that a target reports.
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
	unhealthy := b.FailFraction >= unhealthyFraction && t.servedCount.Load() >= b.AfterRequests
	if unhealthy && !b.ReportHealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request) {
	load := Load{InFlight: t.inFlight.Load(), Slots: t.options.Slots}
	if t.behaviour.Load().ReportHealthy {
		load.InFlight = 0
	}
	_ = json.NewEncoder(w).Encode(load)
}

func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	inFlight := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	b := t.behaviour.Load()
	conditions := requestConditions{
		path: r.URL.Path, served: t.servedCount.Add(1) - 1,
		inFlight: int(inFlight), age: time.Since(t.started),
	}
	run := t.newRun(r)
	if !t.recordStart(w, run) {
		return
	}
	if b.crashes(r.URL.Path) {
		t.crash(run)
	}
	if !waitDelay(r, b.delay(conditions)) {
		t.recordEnd(run, 0)
		return
	}
	t.respond(w, r, run, t.drawFailure(b, conditions))
}

// recordStart records the start of a run and reports whether that succeeded. On
// failure it rejects the request, because the checker reports a run without an
// entry as lost.
func (t *Target) recordStart(w http.ResponseWriter, run *Entry) bool {
	err := t.record.write(run)
	if err == nil {
		return true
	}
	log.Printf("record start of run: %v", err)
	http.Error(w, "record failed", http.StatusInternalServerError)
	return false
}

// newRun returns the record entry for the start of a run of the request.
func (t *Target) newRun(r *http.Request) *Entry {
	run := t.newEntry(PhaseRunStarted)
	run.Run = t.runCount.Add(1)
	run.ID = r.Header.Get(IDHeader)
	run.Attempt = r.Header.Get(AttemptHeader)
	run.Key = r.Header.Get(proxy.KeyHeader)
	run.Method = r.Method
	run.Path = r.URL.Path
	return run
}

// drawFailure reports whether the request fails.
func (t *Target) drawFailure(b *Behaviour, c requestConditions) bool {
	t.randomMu.Lock()
	defer t.randomMu.Unlock()
	return b.fails(c, t.random)
}

// crash records the crash and ends the process.
func (t *Target) crash(run *Entry) {
	crashed := *run
	crashed.Phase = PhaseCrashed
	_ = t.record.write(&crashed)
	exit := t.options.Exit
	if exit == nil {
		exit = os.Exit
	}
	exit(crashExitCode)
}

// waitDelay waits for the delay. It reports whether the delay elapsed before the
// request was canceled.
func waitDelay(r *http.Request, delay time.Duration) bool {
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

// respond reads the request's body, writes the response and records the end of
// the run. A run whose body could not be read is recorded with status 0.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, run *Entry, fail bool) {
	digest := NewDigest()
	n, err := io.Copy(digest, r.Body)
	run.Bytes = n
	run.Digest = DigestText(digest)
	if err != nil {
		t.recordEnd(run, 0)
		return
	}
	status := t.callNext(w, r)
	if fail {
		status = http.StatusInternalServerError
	}
	run.Complete = t.writeResponse(w, r, run, status) == nil
	t.recordEnd(run, status)
}

// writeResponse writes the Response line and the requested padding.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, run *Entry, status int) error {
	padding := requestedPadding(r)
	line, err := json.Marshal(Response{
		VM: run.VM, Service: run.Service, Version: run.Version,
		ID: run.ID, Method: run.Method, Path: run.Path,
		Bytes: run.Bytes, Digest: run.Digest, Padding: padding,
	})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode response")
	}
	line = append(line, '\n')
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(line))+padding, 10))
	w.WriteHeader(status)
	body := io.MultiReader(bytes.NewReader(line), Padding(run.ID, padding))
	if _, err = io.Copy(w, body); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write response")
	}
	return nil
}

// requestedPadding returns the number of padding bytes that the request asks
// for, at most MaxPaddingBytes. A missing or invalid number counts as 0.
func requestedPadding(r *http.Request) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(BytesParameter), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, MaxPaddingBytes)
}

// recordEnd records the end of a run. Status 0 means that no response was sent.
func (t *Target) recordEnd(run *Entry, status int) {
	run.Phase = PhaseRunEnded
	run.Status = status
	run.End = time.Now()
	if err := t.record.write(run); err != nil {
		log.Printf("record end of run: %v", err)
	}
}
