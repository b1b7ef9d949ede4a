package admin_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

var acceptedAt = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// fakeBackend is a Backend that commits tickets to a state in memory.
type fakeBackend struct {
	mu      sync.Mutex
	state   *model.State
	tickets map[uint64]admin.TicketStatus
	commits int
	// loseResponses is the number of submissions that fail after they took effect.
	loseResponses int
	// notReady is the result of Ready.
	notReady error
	// filter and limit are the arguments of the last calls of Timeline and Tickets.
	filter admin.TimelineFilter
	limit  int
	// panics makes Status panic.
	panics bool
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{state: model.NewState(), tickets: map[uint64]admin.TicketStatus{}}
}

func (f *fakeBackend) Submit(_ context.Context, t *model.Ticket) (admin.TicketStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	digest, err := ticketfile.Digest(t)
	if err != nil {
		return admin.TicketStatus{}, err
	}
	status, known := f.tickets[t.Number]
	if !known || status.Digest != digest {
		next, err := f.state.Apply(&model.Record{Revision: f.state.Revision + 1, At: acceptedAt, Ticket: t})
		if err != nil {
			return admin.TicketStatus{}, err
		}
		f.state = next
		f.commits++
		status = admin.TicketStatus{Number: t.Number, Digest: digest, Revision: next.Revision, State: "done", AcceptedAt: acceptedAt}
		f.tickets[t.Number] = status
	}
	if f.loseResponses > 0 {
		f.loseResponses--
		return admin.TicketStatus{}, fault.New(fault.UnknownOutcome, "the response of the platform was lost")
	}
	return status, nil
}

func (f *fakeBackend) Ticket(_ context.Context, number uint64) (admin.TicketStatus, error) {
	status, ok := f.tickets[number]
	if !ok {
		return status, fault.New(fault.NotFound, "ticket %d does not exist", number)
	}
	return status, nil
}

func (f *fakeBackend) Tickets(_ context.Context, limit int) ([]admin.TicketStatus, error) {
	f.limit = limit
	var list []admin.TicketStatus
	for _, status := range f.tickets {
		list = append(list, status)
	}
	return list, nil
}

func (f *fakeBackend) State() *model.State { return f.state }

func (f *fakeBackend) Status() admin.Status {
	if f.panics {
		panic("secret detail of a fault")
	}
	return admin.Status{VM: "order-1", Revision: f.state.Revision}
}

func (f *fakeBackend) Timeline(filter admin.TimelineFilter) []timeline.Event {
	f.filter = filter
	return []timeline.Event{{Clock: 1, At: acceptedAt, VM: "order-1", Kind: timeline.DaemonReady}}
}

func (f *fakeBackend) Ready() error { return f.notReady }

func ticketOf(number uint64, version string) *model.Ticket {
	return &model.Ticket{Number: number, Services: []model.Service{
		{Name: "order", Versions: []string{version}, Shares: map[string]uint32{version: model.TotalShare}},
	}}
}

func encodeTicket(t *model.Ticket) string {
	data, err := ticketfile.Encode(t)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}
