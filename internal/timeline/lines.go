package timeline

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// MaxLineBytes is the maximum size of one event in the JSON lines format.
const MaxLineBytes = 64 << 10

// WriteLines writes each event as one line with a JSON object.
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

// ReadLines reads events in the format of WriteLines. It skips blank lines. For a
// line that is not a valid event it returns a fault.Invalid error with the line
// number.
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
			return nil, fault.New(fault.Invalid, "line %d: an event must have a clock, a VM and a kind", line)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "line %d cannot be read", line+1)
	}
	return events, nil
}
