package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

const (
	// maxLineBytes is the maximum length of one line.
	maxLineBytes = 64 << 10
	// maxLines is the maximum number of lines of a trace.
	maxLines = 1 << 20
)

// ReadFile reads the trace in a file. It returns the errors of Parse, and
// fault.NotFound or fault.Unavailable when the file cannot be opened.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fault.Wrap(err, fault.NotFound, "trace file")
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "open trace file")
	}
	defer func() { _ = file.Close() }()
	return Parse(path, file)
}

// Parse reads a trace from r; name stands for r in error messages. It returns
// fault.Invalid with the line number for malformed input, and fault.Unavailable
// when reading from r fails.
func Parse(name string, r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	t := &Trace{}
	number := 0
	for scanner.Scan() {
		number++
		if number > maxLines {
			return nil, fault.New(fault.Invalid, "%s:%d: a trace has at most %d lines", name, number, maxLines)
		}
		if err := t.parseLine(number, scanner.Bytes()); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "%s:%d", name, number)
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return nil, fault.New(fault.Invalid, "%s:%d: the line is longer than %d bytes", name, number+1, maxLineBytes)
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "%s:%d: read", name, number+1)
	}
	if number == 0 {
		return nil, fault.New(fault.Invalid, "%s:1: the trace is empty; the first line is the header", name)
	}
	return t, nil
}

func (t *Trace) parseLine(number int, text []byte) error {
	if number == 1 {
		if err := decode(text, &t.Header); err != nil {
			return fault.Wrap(err, fault.Invalid, "header")
		}
		return t.Header.check()
	}
	var line Line
	if err := decode(text, &line); err != nil {
		return err
	}
	if err := line.check(&t.Header); err != nil {
		return err
	}
	if last := len(t.Lines) - 1; last >= 0 && line.AtMs < t.Lines[last].AtMs {
		return fault.New(fault.Invalid, "at_ms: %d is before %d of the previous line", line.AtMs, t.Lines[last].AtMs)
	}
	t.Lines = append(t.Lines, line)
	return nil
}

// decode decodes the text, which must be exactly one JSON object without unknown
// fields, into value.
func decode(text []byte, value any) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return fault.New(fault.Invalid, "the line is empty")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fault.Wrap(err, fault.Invalid, "malformed JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.Invalid, "there is text after the JSON object")
	}
	return nil
}

// Write writes the trace in the format that Parse reads.
func (t *Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(t.Header); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write trace header")
	}
	for i := range t.Lines {
		if err := encoder.Encode(t.Lines[i]); err != nil {
			return fault.Wrap(err, fault.Unavailable, "write trace line %d", i+2)
		}
	}
	return nil
}
