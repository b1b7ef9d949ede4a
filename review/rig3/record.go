package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the log of one run: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates record.txt in the folder.
func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// line writes one line with the seconds since the start of the run.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// result writes a line to the record and to the output.
func (r *record) result(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
