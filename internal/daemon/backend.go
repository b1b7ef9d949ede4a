package daemon

import (
	"context"
	"maps"
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
	"github.com/magnoliamount/magnoliamount/internal/wire"
)

// Submit submits a ticket to the node and returns its status once it is accepted.
func (d *Daemon) Submit(ctx context.Context, t *model.Ticket) (admin.TicketStatus, error) {
	accepted, err := d.loop.submit(ctx, core.Submit{Ticket: t})
	if err != nil {
		return admin.TicketStatus{}, err
	}
	status := localTicketStatus(d.loop.view(), t.Number)
	status.Revision = accepted.Revision
	status.Digest = accepted.Digest
	status.Note = t.Note
	return status, nil
}

// Ticket returns the status of a ticket. It fails with fault.NotFound for a
// number that was not accepted.
func (d *Daemon) Ticket(ctx context.Context, number uint64) (admin.TicketStatus, error) {
	item, err := d.store.Table.Get(ctx, core.TicketKey(number))
	if err != nil {
		return admin.TicketStatus{}, err
	}
	return d.ticketStatus(ctx, number, item)
}

// Tickets returns the status of up to limit tickets, newest first.
func (d *Daemon) Tickets(ctx context.Context, limit int) ([]admin.TicketStatus, error) {
	newest := d.loop.view().State.LastTicket
	after := uint64(0)
	if newest > uint64(limit) {
		after = newest - uint64(limit)
	}
	key := core.TicketKey(after)
	items, err := d.store.Table.Query(ctx, key.Partition, key.Sort, limit)
	if err != nil {
		return nil, err
	}
	var tickets []admin.TicketStatus
	for i, item := range slices.Backward(items) {
		status, err := d.ticketStatus(ctx, after+uint64(i)+1, item)
		if err != nil {
			return nil, err
		}
		tickets = append(tickets, status)
	}
	return tickets, nil
}

// ticketStatus returns the status of a ticket from its stored row and the node's
// state.
func (d *Daemon) ticketStatus(ctx context.Context, number uint64, item platform.Item) (admin.TicketStatus, error) {
	view := d.loop.view()
	status := localTicketStatus(view, number)
	status.Revision = item.Rev
	status.Digest = string(item.Body)
	status.InForce = view.Statement.Revision >= item.Rev
	if status.InForce {
		status.Applied = status.Members
	}
	if record := d.readAcceptanceRecord(ctx, item.Rev); record != nil {
		status.AcceptedAt = record.At
		status.Note = record.Ticket.Note
	}
	if status.State != stateOpen && status.EndedAt == nil {
		return status, d.readStoredOutcome(ctx, &status)
	}
	return status, nil
}

// readAcceptanceRecord returns the log record of the revision that accepted a
// ticket, or nil if it cannot be read.
func (d *Daemon) readAcceptanceRecord(ctx context.Context, revision uint64) *model.Record {
	item, err := d.store.Table.Get(ctx, core.LogKey(revision))
	if err != nil {
		return nil
	}
	record, err := wire.DecodeRecord(item.Body)
	if err != nil || record.Ticket == nil {
		return nil
	}
	return record
}

// localTicketStatus returns the status of a ticket from the node's state only. A
// ticket that is neither open nor among the outcomes in the state is reported as
// done. That is correct for tickets without moves; readStoredOutcome corrects it
// for the others.
func localTicketStatus(view core.NodeView, number uint64) admin.TicketStatus {
	status := admin.TicketStatus{
		Number: number, State: stateOpen, Members: view.Statement.Members,
		Unreachable: view.Statement.Unreachable, Progress: view.Progress[number], Reason: view.HoldReasons[number],
	}
	outcome, ended := view.State.Outcomes[number]
	if !ended && view.State.Open[number] == nil && number <= view.State.LastTicket {
		outcome = model.Outcome{Ticket: number, Result: model.Done}
		ended = true
	}
	if ended {
		setOutcome(&status, outcome)
	}
	return status
}

// stateOpen is the state of a ticket that has no outcome yet.
const stateOpen = "open"

func setOutcome(status *admin.TicketStatus, outcome model.Outcome) {
	status.State = string(outcome.Result)
	status.Reason = outcome.Reason
	status.Progress = 0
	if outcome.Result == model.Done {
		status.Progress = move.FullProgress
	}
	if !outcome.At.IsZero() {
		status.EndedAt = &outcome.At
	}
}

// readStoredOutcome sets the outcome of a ticket from its stored row, because the
// state contains only recent outcomes. It changes nothing if there is no row.
func (d *Daemon) readStoredOutcome(ctx context.Context, status *admin.TicketStatus) error {
	item, err := d.store.Table.Get(ctx, core.OutcomeKey(status.Number))
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	outcome, err := wire.DecodeOutcome(item.Body)
	if err == nil {
		setOutcome(status, outcome)
	}
	return err
}

// State returns the mesh state that the daemon has applied.
func (d *Daemon) State() *model.State { return d.loop.view().State }

// Status returns the status of the daemon and its view of the mesh.
func (d *Daemon) Status() admin.Status {
	view := d.loop.view()
	status := admin.Status{
		VM: d.settings.VM.Name, Domain: d.settings.VM.FailureDomain, Region: d.settings.VM.Region,
		Controller: view.Controller, Epoch: view.Epoch, Parent: view.Parent, Children: view.Children,
		PlatformUp: view.PlatformUp, Ready: true,
	}
	if err := d.Ready(); err != nil {
		status.Ready = false
		status.Reason = fault.As(err).Message
	}
	if view.State != nil {
		status.Revision = view.State.Revision
		status.LastTicket = view.State.LastTicket
		status.OpenTickets = slices.Sorted(maps.Keys(view.State.Open))
	}
	for _, m := range view.Members {
		status.Members = append(status.Members, admin.MemberStatus{
			VM: m.VM, Domain: m.Domain, Region: m.Region, State: m.State, Service: m.Service, Version: m.Version, AdminAddress: m.AdminAddress,
		})
	}
	return status
}

// Timeline returns the events of this daemon that match the filter.
func (d *Daemon) Timeline(filter admin.TimelineFilter) []timeline.Event {
	return d.events.Events(timeline.Filter{Ticket: filter.Ticket, VM: filter.VM, Request: filter.Request})
}

// Ready returns nil if the daemon can serve, or fault.NotReady with the reason.
func (d *Daemon) Ready() error { return d.loop.readiness() }

var _ admin.Backend = (*Daemon)(nil)
