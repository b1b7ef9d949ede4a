package proxy

import (
	"fmt"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// decisionInputs describes, for the timeline, the data that a decision about the
// request was based on, and the age of that data.
func (x *exchange) decisionInputs() string {
	text := fmt.Sprintf(" (config %d, asked %d, arrived %d", x.snapshot.table.Revision(), len(x.tried), x.targetsReached)
	if !x.deadline.IsZero() {
		text += fmt.Sprintf(", left %d ms", time.Until(x.deadline).Milliseconds())
	}
	if x.route != nil {
		text += ", route " + x.route.Title()
	}
	if x.snapshot.tenants != nil {
		name := ""
		if x.tenant != nil {
			name = x.tenant.Name
		}
		text += fmt.Sprintf(", tenant %q, config %s", name, ageText(x.knowledgeAge))
	}
	if n := len(x.tried); n > 0 {
		load, age := x.tried[n-1].ReportedLoad(x.o.config.Now())
		text += fmt.Sprintf(", last target %s, its load %.2f, %d ms old", x.tried[n-1].Endpoint.VM, load, age.Milliseconds())
	}
	if x.work.Expected > 0 {
		text += fmt.Sprintf(", expected work %d ms", x.work.Expected.Milliseconds())
	}
	return text + ")"
}

// decisionInputs describes the inputs of a decision, as for the outbound proxy.
func (s *service) decisionInputs() string {
	if s.backend == nil {
		return " (no target)"
	}
	text := fmt.Sprintf(" (instance %s, load %.2f, pace %d ms, left %d ms", s.backend.target.Instance, s.backend.gate.load(), s.backend.gate.pace().Milliseconds(), time.Until(s.deadline).Milliseconds())
	if s.asked != nil && s.asked.Tenant != "" {
		text += ", tenant " + s.asked.Tenant
	}
	if work, ok := s.backend.gate.reportWork(s.n.config.Now(), s.asked); ok {
		text += fmt.Sprintf(", backlog %d ms, pace factor %.2f, expected work %d ms", work.Backlog.Milliseconds(), work.Pace, work.Expected.Milliseconds())
	}
	return text + ")"
}

// recordRetry records in the timeline that the request is sent to another target
// after the target of attempt a may have received it.
func (x *exchange) recordRetry(a *attempt) {
	if a.mayHaveReached() {
		x.o.config.Observer.Record(timeline.Event{Kind: timeline.RequestRetried, Request: x.in.id, Detail: "the attempt ended as " + string(a.outcome()) + x.decisionInputs()})
	}
}
