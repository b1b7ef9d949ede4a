package target

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Phase is the event that a record entry describes.
type Phase string

// Phases of a target process and its runs.
const (
	// PhaseUp is the first entry of a process.
	PhaseUp Phase = "up"
	// PhaseRunStarted is written before a request is executed.
	PhaseRunStarted Phase = "start"
	// PhaseRunEnded is written after the response.
	PhaseRunEnded Phase = "end"
	// PhaseCrashed is written before an injected crash ends the process.
	PhaseCrashed Phase = "crash"
	// PhaseWithdrawn is written once the daemon has accepted the DELETE request
	// that starts the drain.
	PhaseWithdrawn Phase = "leaving"
	// PhaseStopped is the last entry of a graceful shutdown.
	PhaseStopped Phase = "stop"
)

// Entry is one line of a target's record.
type Entry struct {
	Phase   Phase  `json:"phase"`
	VM      string `json:"vm"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Run is the number of the run in its process, starting at 1.
	Run     uint64    `json:"run,omitempty"`
	ID      string    `json:"id,omitempty"`
	Attempt string    `json:"attempt,omitempty"`
	Method  string    `json:"method,omitempty"`
	Path    string    `json:"path,omitempty"`
	Key     string    `json:"key,omitempty"`
	Start   time.Time `json:"start"`
	// End, Status, Bytes, Digest and Complete are set in a PhaseRunEnded entry.
	End    time.Time `json:"end,omitzero"`
	Status int       `json:"status,omitempty"`
	Bytes  int64     `json:"bytes,omitempty"`
	Digest string    `json:"digest,omitempty"`
	// Complete reports whether the whole request body was read and the whole
	// response was written.
	Complete bool `json:"whole,omitempty"`
}

// recorder appends entries to a file. Each entry is a single write, so that a
// crash leaves only complete lines. Without a file it discards the entries.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func openRecorder(path string) (*recorder, error) {
	if path == "" {
		return &recorder{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "open record file %q", path)
	}
	return &recorder{file: file}, nil
}

func (r *recorder) write(e *Entry) error {
	if r.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode record entry of run %d", e.Run)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err = r.file.Write(append(line, '\n')); err != nil {
		return fault.Wrap(err, fault.Internal, "write record entry of run %d", e.Run)
	}
	return nil
}
