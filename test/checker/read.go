// Package checker decides from the records of callers, targets and daemons
// whether a run kept the system's promises: no request lost, doubled, cut or
// crossed, no false "not run", no daemon that went back to an older revision or
// misses an accepted ticket, no bad version that stays, no good one that is taken
// back, and no request that crashes one target after another.
package checker

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/test/caller"
	"github.com/magnoliamount/magnoliamount/test/target"
)

// Records are all records of a run. Each inner slice is one file, in order.
type Records struct {
	Callers [][]caller.Result
	Targets [][]target.Entry
	Events  [][]timeline.Event
	// Operators holds, per operator, what it was told.
	Operators [][]Acceptance
}

// Files names the files of a run, as JSON lines.
type Files struct {
	Callers []string
	Targets []string
	Events  []string
	// Logs are daemons' log files; their events are added to Records.Events.
	Logs []string
	// Operators are files of Acceptance.
	Operators []string
}

// Read reads the files. It fails with fault.Invalid for an unreadable file or
// line. A last line without its end, as a killed process leaves it, is skipped.
func Read(files Files) (*Records, error) {
	var (
		r   Records
		err error
	)
	if r.Callers, err = readAll[caller.Result](files.Callers); err != nil {
		return nil, err
	}
	if r.Targets, err = readAll[target.Entry](files.Targets); err != nil {
		return nil, err
	}
	if r.Events, err = readAll[timeline.Event](files.Events); err != nil {
		return nil, err
	}
	logged, err := readLogs(files.Logs)
	if err != nil {
		return nil, err
	}
	r.Events = append(r.Events, logged...)
	if r.Operators, err = readAll[Acceptance](files.Operators); err != nil {
		return nil, err
	}
	return &r, nil
}

func readAll[T any](paths []string) ([][]T, error) {
	all := make([][]T, 0, len(paths))
	for _, path := range paths {
		entries, err := readFile[T](path)
		if err != nil {
			return nil, err
		}
		all = append(all, entries)
	}
	return all, nil
}

func readFile[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "open record %q", path)
	}
	defer func() { _ = file.Close() }()
	return readLines[T](file, path)
}

func readLines[T any](r io.Reader, name string) ([]T, error) {
	var entries []T
	reader := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "read record %q", name)
		}
		var entry T
		if err := json.Unmarshal(line, &entry); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "line %d of record %q", number, name)
		}
		entries = append(entries, entry)
	}
}
