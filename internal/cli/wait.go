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

// Values of --for, the state that ticket wait waits for.
const (
	waitInForce = "in-force"
	waitDone    = "done"
)

// defaultWaitInterval is the default of --interval, the time between two polls of
// a ticket.
const defaultWaitInterval = 500 * time.Millisecond

// stateOpen is the value of TicketStatus.State while moves of the ticket are open.
const stateOpen = "open"

func (a *app) waitForTicket(ctx context.Context, command *cli.Command) error {
	number, err := ticketNumber(command)
	if err != nil {
		return err
	}
	goal := command.String("for")
	if goal != waitInForce && goal != waitDone {
		return usageError(nil, "--for %q is not in-force or done", goal)
	}
	if command.Duration("interval") <= 0 {
		return usageError(nil, "--interval is not positive")
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := pollTicket(ctx, client, number, goal, command.Duration("interval"))
	if err != nil {
		return err
	}
	return a.printWaitResult(status, goal)
}

// pollTicket polls the ticket until it reaches the goal or has ended. It retries
// after errors until ctx is done, because daemons restart and receive a new ticket
// one after the other. Only a refused token ends the polling early.
func pollTicket(ctx context.Context, client *admin.Client, number uint64, goal string, interval time.Duration) (admin.TicketStatus, error) {
	var lastErr error
	for {
		status, err := client.Ticket(ctx, number)
		switch {
		case err == nil && waitEnded(status, goal):
			return status, nil
		case fault.Is(err, fault.Unauthorized):
			return status, apiError(ctx, err)
		case err == nil:
			lastErr = nil
		case ctx.Err() == nil:
			lastErr = err
		}
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return status, failureError(fault.Wrap(ctx.Err(), fault.Timeout, "interrupted while waiting for ticket %d", number))
			}
			return status, waitTimeoutError(lastErr, number, goal)
		case <-time.After(interval):
		}
	}
}

// waitTimeoutError returns the error for a wait whose deadline has passed. lastErr
// is the error of the last poll before the deadline, or nil if that poll succeeded.
// It distinguishes an unreachable daemon from a ticket that is slow to reach the
// goal.
func waitTimeoutError(lastErr error, number uint64, goal string) error {
	if lastErr == nil {
		return withExitCode(fault.New(fault.Timeout, "ticket %d is not %s yet", number, goal), ExitTimeout)
	}
	err := fault.Wrap(lastErr, fault.Timeout, "cannot determine whether ticket %d is %s", number, goal)
	if admin.Unreachable(lastErr) {
		return withExitCode(err, ExitUnreachable)
	}
	return withExitCode(err, ExitTimeout)
}

// waitEnded reports whether the ticket has reached the goal or can no longer reach
// it.
func waitEnded(t admin.TicketStatus, goal string) bool {
	if t.State == string(model.TakenBack) || t.State == string(model.Superseded) {
		return true
	}
	if goal == waitInForce {
		return t.InForce
	}
	return t.State != stateOpen
}

// printWaitResult prints the ticket and returns an error with the matching exit
// code when the ticket was taken back or superseded.
func (a *app) printWaitResult(t admin.TicketStatus, goal string) error {
	if err := a.printTicket(t); err != nil {
		return err
	}
	switch model.Result(t.State) {
	case model.TakenBack:
		return withExitCode(fault.New(fault.ConditionFailed, "ticket %d was taken back: %s", t.Number, orDash(t.Reason)), ExitTakenBack)
	case model.Superseded:
		return failureError(fault.New(fault.ConditionFailed, "ticket %d was superseded before it was %s", t.Number, goal))
	}
	return nil
}
