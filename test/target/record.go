package target

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Phase says what an entry of the record describes.
type Phase string

// Phases of a target and its runs.
const (
	// Up is the first entry of a process.
	Up Phase = "up"
	// Started is written before a request runs.
	Started Phase = "start"
	// Ended is written after the answer.
	Ended Phase = "end"
	// Crashed is written before the process exits on purpose.
	Crashed Phase = "crash"
	// Leaving is written once the daemon knows that the target stops.
	Leaving Phase = "leaving"
	// Stopped is the last entry of a planned stop.
	Stopped Phase = "stop"
)

// Entry is one line of a target's record.
type Entry struct {
	Phase   Phase  `json:"phase"`
	VM      string `json:"vm"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Run numbers the runs of one process, from 1.
	Run     uint64    `json:"run,omitempty"`
	ID      string    `json:"id,omitempty"`
	Attempt string    `json:"attempt,omitempty"`
	Method  string    `json:"method,omitempty"`
	Path    string    `json:"path,omitempty"`
	Key     string    `json:"key,omitempty"`
	Start   time.Time `json:"start"`
	// End, Status, Bytes, Digest and Whole are set in an Ended entry.
	End    time.Time `json:"end,omitzero"`
	Status int       `json:"status,omitempty"`
	Bytes  int64     `json:"bytes,omitempty"`
	Digest string    `json:"digest,omitempty"`
	// Whole is true when the body was read and the answer written to their ends.
	Whole bool `json:"whole,omitempty"`
}

// recorder appends entries to a file. Each entry is one write, so that a
// crash leaves whole lines only.
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
		return nil, fault.Wrap(err, fault.Invalid, "open record %q", path)
	}
	return &recorder{file: file}, nil
}

func (r *recorder) write(e *Entry) error {
	if r.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode entry of run %d", e.Run)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err = r.file.Write(append(line, '\n')); err != nil {
		return fault.Wrap(err, fault.Internal, "write entry of run %d", e.Run)
	}
	return nil
}
