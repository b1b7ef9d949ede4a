package integration_test

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/test/checker"
)

const (
	order   = "order"
	mandate = "mandate"
	// submitLimit bounds the time in which one submission is retried.
	submitLimit = 60 * time.Second
	// outcomeTimeout bounds the wait for the progress or the end of a ticket. It
	// lets a move end later than its finish time.
	outcomeTimeout = 60 * time.Second
)

// singleVersionService returns a service whose whole traffic goes to one version.
func singleVersionService(service, version string) model.Service {
	return model.Service{Name: service, Versions: []string{version}, Shares: map[string]uint32{version: model.TotalShare}}
}

// newSetupTicket returns the first ticket, which adds all services and routes.
func (w *world) newSetupTicket() *model.Ticket {
	routes := []model.Route{
		{Name: "lookup", PathPrefix: "/lookup", Service: order, Class: model.Urgent, Idempotent: true},
		{Name: "status", PathPrefix: "/status", Service: order, Class: model.Normal, Idempotent: true},
		{Name: "reorder", PathPrefix: "/reorder", Service: order, Class: model.Normal, Once: true},
		{Name: "scan", PathPrefix: "/scan", Service: mandate, Class: model.Bulk},
		{Name: "mandates", PathPrefix: "/mandates", Service: mandate, Class: model.Urgent, Idempotent: true},
	}
	return &model.Ticket{
		Number: w.nextNumber(), Note: "set up", Routes: concat(routes, archiveRoutes()),
		Services: []model.Service{singleVersionService(order, "v1"), singleVersionService(mandate, "v1"), singleVersionService(archive, "v1")},
	}
}

// nextNumber returns the number of the next ticket and increments the counter.
func (w *world) nextNumber() uint64 {
	n := w.next
	w.next++
	return n
}

// newMoveTicket returns a ticket that moves both services to v2.
func (w *world) newMoveTicket(within time.Duration) *model.Ticket {
	t := &model.Ticket{Number: w.nextNumber(), Note: "move to v2"}
	for _, service := range []string{order, mandate} {
		t.Services = append(t.Services, model.Service{Name: service, Versions: []string{"v1", "v2"}, Shares: map[string]uint32{"v2": model.TotalShare}})
		t.Moves = append(t.Moves, model.Move{Service: service, Finish: time.Now().Add(within).Truncate(time.Millisecond), Prefer: model.OnTime})
	}
	return t
}

// newRouteTicket returns a ticket that is independent of all moves: it adds a
// service and a route to it, and removes those of an earlier ticket, if removed
// names one.
func newRouteTicket(number uint64, name string, removed ...string) *model.Ticket {
	route := model.Route{Name: name, PathPrefix: "/extra/" + name, Service: name, Version: "v1", Class: model.Normal, Idempotent: true}
	return &model.Ticket{
		Number: number, Note: name, Services: []model.Service{singleVersionService(name, "v1")}, Routes: []model.Route{route},
		RemoveServices: removed, RemoveRoutes: removed,
	}
}

// accept submits a ticket as an operator does, and expects that it is accepted.
func (w *world) accept(t *model.Ticket) admin.TicketStatus {
	status, err := w.submit(w.client, t)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	return status
}

// submit submits a ticket, retries while the error is retryable, and records the
// acceptance for the checker.
func (w *world) submit(client *admin.Client, t *model.Ticket) (admin.TicketStatus, error) {
	deadline := time.Now().Add(submitLimit)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		status, err := client.Submit(ctx, t)
		cancel()
		if err == nil {
			w.recordAcceptance(t, &status)
			return status, nil
		}
		if !isRetryable(err) || time.Now().After(deadline) {
			return status, err
		}
		w.logf("ticket %d: %v", t.Number, err)
		time.Sleep(200 * time.Millisecond)
	}
}

// isRetryable reports whether an operator submits the same ticket again after
// the error.
func isRetryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.UnknownOutcome, fault.Throttled, fault.NotReady, fault.Timeout:
		return true
	}
	return false
}

// recordAcceptance records the revision and digest that the operator received.
func (w *world) recordAcceptance(t *model.Ticket, s *admin.TicketStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, checker.Acceptance{Number: t.Number, Revision: s.Revision, Digest: s.Digest, At: time.Now().UTC()})
	w.logLines = append(w.logLines, fmt.Sprintf("%s ticket %d (%s) accepted as revision %d", time.Now().UTC().Format("15:04:05.000"), t.Number, t.Note, s.Revision))
}

// ticket requests a ticket's status and reports whether a daemon answered.
func (w *world) ticket(number uint64) (admin.TicketStatus, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, err := w.client.Ticket(ctx, number)
	return status, err == nil
}

// waitState waits until a ticket is no longer open and expects the state.
func (w *world) waitState(number uint64, state string) {
	var status admin.TicketStatus
	w.waitUntil(fmt.Sprintf("ticket %d has ended", number), outcomeTimeout, func() bool {
		current, ok := w.ticket(number)
		status = current
		return ok && current.State != "open"
	})
	w.logf("ticket %d is %s %s", number, status.State, status.Reason)
	w.Expect(status.State).To(gomega.Equal(state), "%s", status.Reason)
}

// waitProgress waits until a move has reached the progress, in permille.
func (w *world) waitProgress(number uint64, permille uint32) {
	seen := ""
	w.waitUntil(fmt.Sprintf("ticket %d is at %d permille", number, permille), outcomeTimeout, func() bool {
		status, ok := w.ticket(number)
		// A move that does not advance has to be traced from these lines.
		if text := fmt.Sprintf("readable %t, %s at %d permille %s", ok, status.State, status.Progress, status.Reason); text != seen {
			seen = text
			w.logf("ticket %d: %s", number, text)
		}
		return ok && status.Progress >= permille
	})
	w.logf("ticket %d has reached %d permille", number, permille)
}
