package checker

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// logLine is one line of a daemon's log. Event is empty in lines that record no event.
type logLine struct {
	Time     time.Time     `json:"time"`
	VM       string        `json:"vm"`
	Event    timeline.Kind `json:"event"`
	Clock    uint64        `json:"clock"`
	Ticket   uint64        `json:"ticket"`
	Revision uint64        `json:"revision"`
	Epoch    uint64        `json:"epoch"`
	Request  string        `json:"request"`
	Message  string        `json:"message"`
}

// readLogs reads the events from the log files of daemons. It fails with
// fault.Invalid for a line that is not JSON, such as the stack trace of a panic.
func readLogs(paths []string) ([][]timeline.Event, error) {
	logs, err := readAll[logLine](paths)
	if err != nil {
		return nil, err
	}
	all := make([][]timeline.Event, 0, len(logs))
	for _, lines := range logs {
		all = append(all, timelineEvents(lines))
	}
	return all, nil
}

func timelineEvents(lines []logLine) []timeline.Event {
	var events []timeline.Event
	for i := range lines {
		l := &lines[i]
		if l.Event == "" {
			continue
		}
		events = append(events, timeline.Event{
			Clock: l.Clock, At: l.Time, VM: l.VM, Kind: l.Event, Ticket: l.Ticket,
			Revision: l.Revision, Epoch: l.Epoch, Request: l.Request, Detail: l.Message,
		})
	}
	return events
}
