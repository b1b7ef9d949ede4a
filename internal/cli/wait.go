package cli

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// What ticket wait can wait for.
const (
	waitInForce = "in-force"
	waitDone    = "done"
)

// waitInterval is the default time between two looks at a ticket.
const waitInterval = 500 * time.Millisecond

// stateOpen is TicketStatus.State of a ticket whose moves have not ended.
const stateOpen = "open"

func (a *app) wait(ctx context.Context, command *cli.Command) error {
	wanted, err := ticketNumber(command)
	if err != nil {
		return err
	}
	goal := command.String("for")
	if goal != waitInForce && goal != waitDone {
		return usage(nil, "--for %q is not in-force or done", goal)
	}
	if command.Duration("interval") <= 0 {
		return usage(nil, "--interval is not positive")
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := follow(ctx, client, wanted, goal, command.Duration("interval"))
	if err != nil {
		return err
	}
	return a.verdict(status, goal)
}

// follow looks at the ticket until it reaches the goal or has ended. Failures
// are tried again until the time has passed, because daemons restart and learn
// of a new ticket one after the other. Only a refused token ends it early.
func follow(ctx context.Context, client *admin.Client, wanted uint64, goal string, interval time.Duration) (admin.TicketStatus, error) {
	var last error
	for {
		status, err := client.Ticket(ctx, wanted)
		switch {
		case err == nil && finished(status, goal):
			return status, nil
		case fault.Is(err, fault.Unauthorized):
			return status, answered(ctx, err)
		case err == nil:
			last = nil
		case ctx.Err() == nil:
			last = err
		}
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return status, failed(fault.Wrap(ctx.Err(), fault.Timeout, "interrupted while waiting for ticket %d", wanted))
			}
			return status, overdue(last, wanted, goal)
		case <-time.After(interval):
		}
	}
}

// overdue tells a daemon that was unreachable to the end from a slow ticket.
func overdue(last error, wanted uint64, goal string) error {
	if last == nil {
		return withCode(fault.New(fault.Timeout, "ticket %d is not %s yet", wanted, goal), ExitTimeout)
	}
	err := fault.Wrap(last, fault.Timeout, "ticket %d is not known to be %s", wanted, goal)
	if admin.Unreachable(last) {
		return withCode(err, ExitUnreachable)
	}
	return withCode(err, ExitTimeout)
}

func finished(t admin.TicketStatus, goal string) bool {
	if t.State == string(model.TakenBack) || t.State == string(model.Superseded) {
		return true
	}
	if goal == waitInForce {
		return t.InForce
	}
	return t.State != stateOpen
}

// verdict prints the ticket and turns its end into the exit code.
func (a *app) verdict(t admin.TicketStatus, goal string) error {
	if err := a.printTicket(t); err != nil {
		return err
	}
	switch model.Result(t.State) {
	case model.TakenBack:
		return withCode(fault.New(fault.ConditionFailed, "ticket %d was taken back: %s", t.Number, orDash(t.Reason)), ExitTakenBack)
	case model.Superseded:
		return failed(fault.New(fault.ConditionFailed, "ticket %d was superseded before it was %s", t.Number, goal))
	}
	return nil
}
