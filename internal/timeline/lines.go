package timeline

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// MaxLineBytes bounds one event in JSON lines.
const MaxLineBytes = 64 << 10

// WriteLines writes one JSON object per line and event.
func WriteLines(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return fault.Wrap(err, fault.Internal, "write event %d", i+1)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fault.Wrap(err, fault.Internal, "write events")
	}
	return nil
}

// ReadLines reads what WriteLines wrote. It skips blank lines and fails with
// fault.Invalid, naming the line, for anything that is not an event.
func ReadLines(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, MaxLineBytes)
	var events []Event
	line := 0
	for scanner.Scan() {
		line++
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "line %d is not an event", line)
		}
		if e.VM == "" || e.Kind == "" || e.Clock == 0 {
			return nil, fault.New(fault.Invalid, "line %d: an event has a clock, a VM and a kind", line)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "line %d cannot be read", line+1)
	}
	return events, nil
}
