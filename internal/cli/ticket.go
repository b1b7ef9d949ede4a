package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/ticketfile"
)

const (
	// defaultCallTimeout is the default of --timeout for the commands that
	// call the API, except ticket wait.
	defaultCallTimeout = 30 * time.Second
	// defaultWaitTimeout is the default of --timeout for ticket wait.
	defaultWaitTimeout = 15 * time.Minute
	// maxTicketFileBytes is one more than the size limit of a ticket, so that
	// the decoder can report that a file is too large.
	maxTicketFileBytes = model.MaxTicketBytes + 1
	// permillePerPercent converts a ticket's progress, in permille, to percent.
	permillePerPercent = 10
)

func (a *app) ticketCommand() *cli.Command {
	return &cli.Command{
		Name: "ticket", Usage: "check, submit and follow tickets", Action: requireSubcommand,
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "validate a ticket file, also against the state of a daemon", ArgsUsage: "FILE",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "offline", Usage: "validate the file only, without a daemon"}, newTimeoutFlag(defaultCallTimeout)},
				Action: a.withOutputFlag(a.checkTicket),
			},
			{
				Name: "submit", Usage: "submit a ticket file; safe to retry after any error", ArgsUsage: "FILE",
				Flags: []cli.Flag{newTimeoutFlag(defaultCallTimeout)}, Action: a.withOutputFlag(a.submitTicket),
			},
			{
				Name: "show", Usage: "show one ticket", ArgsUsage: "NUMBER",
				Flags: []cli.Flag{newTimeoutFlag(defaultCallTimeout)}, Action: a.withOutputFlag(a.showTicket),
			},
			{
				Name: "list", Usage: "list the newest tickets",
				Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: admin.DefaultTicketLimit, Usage: "number of tickets to list, at most 1000"}, newTimeoutFlag(defaultCallTimeout)},
				Action: a.withOutputFlag(a.listTickets),
			},
			{
				Name: "wait", Usage: "wait until a ticket is in force or done", ArgsUsage: "NUMBER",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "for", Value: waitDone, Usage: "`in-force|done`"},
					&cli.DurationFlag{Name: "interval", Value: defaultWaitInterval, Usage: "time between two polls of the ticket"},
					newTimeoutFlag(defaultWaitTimeout),
				},
				Action: a.withOutputFlag(a.waitForTicket),
			},
		},
	}
}

// withOutputFlag returns action preceded by parsing --output, which the operator
// can also pass after the subcommand.
func (a *app) withOutputFlag(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if err := a.parseOutputFlag(command); err != nil {
			return err
		}
		return action(ctx, command)
	}
}

// connect returns an API client and a context with the deadline set by --timeout.
// The caller calls the returned function to release the context.
func connect(ctx context.Context, command *cli.Command) (*admin.Client, context.Context, context.CancelFunc, error) {
	client, err := newClient(command)
	if err != nil {
		return nil, nil, nil, err
	}
	limited, cancel, err := withTimeout(ctx, command)
	if err != nil {
		return nil, nil, nil, err
	}
	return client, limited, cancel, nil
}

// withTimeout returns a context with the deadline set by --timeout.
func withTimeout(ctx context.Context, command *cli.Command) (context.Context, context.CancelFunc, error) {
	limit := command.Duration(timeoutFlag)
	if limit <= 0 {
		return nil, nil, usageError(nil, "--timeout %s is not positive", limit)
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	return limited, cancel, nil
}

// readTicketFile reads the file, or standard input for "-".
func (a *app) readTicketFile(path string) ([]byte, error) {
	if path == "-" {
		return readLimited(a.config.Stdin, "standard input", maxTicketFileBytes)
	}
	return readFileLimited(path, maxTicketFileBytes)
}

func (a *app) checkTicket(ctx context.Context, command *cli.Command) error {
	args, err := positionalArgs(command, "FILE")
	if err != nil {
		return err
	}
	data, err := a.readTicketFile(args[0])
	if err != nil {
		return err
	}
	t, err := ticketfile.Decode(data, ticketfile.Options{Accepted: a.config.Now()})
	if err != nil {
		return inputError(err)
	}
	digest, err := ticketfile.Digest(t)
	if err != nil {
		return inputError(err)
	}
	result := admin.CheckResult{Number: t.Number, Digest: digest}
	if !command.Bool("offline") {
		if result, err = remoteCheck(ctx, command, t); err != nil {
			return err
		}
	}
	return a.print(result, func(out *table) {
		out.addRow("ticket", numberOrDash(result.Number))
		out.addRow("digest", result.Digest)
		out.addRow("checked against revision", numberOrDash(result.Revision))
	})
}

func remoteCheck(ctx context.Context, command *cli.Command, t *model.Ticket) (admin.CheckResult, error) {
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return admin.CheckResult{}, err
	}
	defer cancel()
	result, err := client.Check(ctx, t)
	return result, apiError(ctx, err)
}

func (a *app) submitTicket(ctx context.Context, command *cli.Command) error {
	args, err := positionalArgs(command, "FILE")
	if err != nil {
		return err
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	t, resolved, err := a.readForSubmit(args[0])
	if err != nil {
		return err
	}
	status, err := client.Submit(ctx, t)
	if err != nil {
		resolved.removeIfRefused(err)
		return apiError(ctx, err)
	}
	return a.printTicket(status)
}

func ticketNumber(command *cli.Command) (uint64, error) {
	args, err := positionalArgs(command, "NUMBER")
	if err != nil {
		return 0, err
	}
	parsed, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || parsed == 0 {
		return 0, usageError(nil, "ticket number %q is not a whole number of at least 1", args[0])
	}
	return parsed, nil
}

func (a *app) showTicket(ctx context.Context, command *cli.Command) error {
	number, err := ticketNumber(command)
	if err != nil {
		return err
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := client.Ticket(ctx, number)
	if err != nil {
		return apiError(ctx, err)
	}
	return a.printTicket(status)
}

func (a *app) listTickets(ctx context.Context, command *cli.Command) error {
	if _, err := positionalArgs(command); err != nil {
		return err
	}
	limit := command.Int("limit")
	if limit < 1 || limit > admin.MaxTicketLimit {
		return usageError(nil, "--limit %d is not from 1 to %d", limit, admin.MaxTicketLimit)
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	tickets, err := client.Tickets(ctx, limit)
	if err != nil {
		return apiError(ctx, err)
	}
	return a.print(tickets, func(out *table) {
		out.addRow("TICKET", "STATE", "IN FORCE", "PROGRESS", "ACCEPTED", "NOTE")
		for _, t := range tickets {
			out.addRow(numberOrDash(t.Number), t.State, inForce(t), progress(t), formatTime(t.AcceptedAt), t.Note)
		}
	})
}

func (a *app) printTicket(t admin.TicketStatus) error {
	return a.print(t, func(out *table) {
		out.addRow("ticket", numberOrDash(t.Number))
		out.addRow("note", orDash(t.Note))
		out.addRow("state", t.State)
		out.addRow("reason", orDash(t.Reason))
		out.addRow("revision", numberOrDash(t.Revision))
		out.addRow("digest", t.Digest)
		out.addRow("in force", inForce(t))
		out.addRow("unreachable", orDash(strings.Join(t.Unreachable, ", ")))
		out.addRow("progress", progress(t))
		out.addRow("accepted", formatTime(t.AcceptedAt))
		if t.EndedAt != nil {
			out.addRow("ended", formatTime(*t.EndedAt))
		}
	})
}

func inForce(t admin.TicketStatus) string {
	if t.InForce {
		return fmt.Sprintf("yes, %d of %d daemons", t.Applied, t.Members)
	}
	return fmt.Sprintf("no, %d of %d daemons", t.Applied, t.Members)
}

func progress(t admin.TicketStatus) string {
	return fmt.Sprintf("%.1f%%", float64(t.Progress)/permillePerPercent)
}
