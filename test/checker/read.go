// Package checker checks the invariants of the system in the records of callers,
// targets and daemons: no request is lost, run twice, cut or confused with another
// request, no request is falsely reported as "not run", no daemon goes back to an
// older revision or misses an accepted ticket, every bad version is taken back, no
// good version is taken back, and no request crashes target after target.
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

// Records are all records of a run. Each inner slice holds the lines of one file in order.
type Records struct {
	Callers [][]caller.Result
	Targets [][]target.Entry
	Events  [][]timeline.Event
	// Operators holds the acceptances that each operator received.
	Operators [][]Acceptance
}

// Files lists the paths of the record files of a run. The files contain JSON lines.
type Files struct {
	Callers []string
	Targets []string
	Events  []string
	// Logs are the log files of daemons. Their events are appended to Records.Events.
	Logs []string
	// Operators are files with one Acceptance per line.
	Operators []string
}

// Read reads the files. It fails with fault.Invalid if a file cannot be read or a line
// cannot be decoded. A last line without a line feed, as a killed process leaves it,
// is skipped.
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
	logEvents, err := readLogs(files.Logs)
	if err != nil {
		return nil, err
	}
	r.Events = append(r.Events, logEvents...)
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
			return nil, fault.Wrap(err, fault.Invalid, "decode line %d of record %q", number, name)
		}
		entries = append(entries, entry)
	}
}
