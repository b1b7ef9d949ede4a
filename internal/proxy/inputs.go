package proxy

import (
	"fmt"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// inputs describes for the log what a decision about a request rested on, with
// the age of what was known.
func (x *exchange) inputs() string {
	text := fmt.Sprintf(" (config %d, asked %d, arrived %d, left %d ms", x.snapshot.table.Revision(), len(x.tried), x.arrivals, time.Until(x.deadline).Milliseconds())
	if x.route != nil {
		text += ", route " + x.route.Name
	}
	if n := len(x.tried); n > 0 {
		load, age := x.tried[n-1].ReportedLoad(x.o.config.Now())
		text += fmt.Sprintf(", last target %s, its load %.2f, %d ms old", x.tried[n-1].Endpoint.VM, load, age.Milliseconds())
	}
	return text + ")"
}

// inputs is as for the outbound proxy.
func (s *service) inputs() string {
	if s.served == nil {
		return " (no target)"
	}
	return fmt.Sprintf(" (instance %s, load %.2f, pace %d ms, left %d ms)", s.served.target.Instance, s.served.gate.load(), s.served.gate.pace().Milliseconds(), time.Until(s.deadline).Milliseconds())
}

// recordRetry logs that the request goes to another target after one that may
// have run it.
func (x *exchange) recordRetry(a *attempt) {
	if a.arrived() {
		x.o.config.Observer.Record(timeline.Event{Kind: timeline.RequestRetried, Request: x.in.id, Detail: "the attempt ended as " + string(a.outcome()) + x.inputs()})
	}
}
