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
	// callTimeout is the default of --timeout for single calls.
	callTimeout = 30 * time.Second
	// waitTimeout is the default of --timeout for ticket wait.
	waitTimeout = 15 * time.Minute
	// maxTicketFileBytes lets the decoder see that a file is too large.
	maxTicketFileBytes = model.MaxTicketBytes + 1
	// permillePerPercent converts the progress for tables.
	permillePerPercent = 10
)

func (a *app) ticketCommand() *cli.Command {
	return &cli.Command{
		Name: "ticket", Usage: "check, submit and follow tickets", Action: needCommand,
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a ticket file, and try it against a daemon's state", ArgsUsage: "FILE",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "offline", Usage: "check the file only"}, timeoutFlagOf(callTimeout)},
				Action: a.withOutput(a.check),
			},
			{
				Name: "submit", Usage: "submit a ticket file; may be run again after any error", ArgsUsage: "FILE",
				Flags: []cli.Flag{timeoutFlagOf(callTimeout)}, Action: a.withOutput(a.submit),
			},
			{
				Name: "show", Usage: "show one ticket", ArgsUsage: "NUMBER",
				Flags: []cli.Flag{timeoutFlagOf(callTimeout)}, Action: a.withOutput(a.show),
			},
			{
				Name: "list", Usage: "list the newest tickets",
				Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: admin.DefaultTickets, Usage: "how many, at most 1000"}, timeoutFlagOf(callTimeout)},
				Action: a.withOutput(a.list),
			},
			{
				Name: "wait", Usage: "wait until a ticket is in force or done", ArgsUsage: "NUMBER",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "for", Value: waitDone, Usage: "`in-force|done`"},
					&cli.DurationFlag{Name: "interval", Value: waitInterval, Usage: "time between two looks"},
					timeoutFlagOf(waitTimeout),
				},
				Action: a.withOutput(a.wait),
			},
		},
	}
}

// withOutput reads --output where the subcommand may have given it.
func (a *app) withOutput(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if err := a.setOutput(command); err != nil {
			return err
		}
		return action(ctx, command)
	}
}

// connect returns the client of the command and the context that --timeout bounds.
func connect(ctx context.Context, command *cli.Command) (*admin.Client, context.Context, context.CancelFunc, error) {
	client, err := newClient(command)
	if err != nil {
		return nil, nil, nil, err
	}
	bounded, cancel, err := timed(ctx, command)
	if err != nil {
		return nil, nil, nil, err
	}
	return client, bounded, cancel, nil
}

// timed bounds a command by --timeout.
func timed(ctx context.Context, command *cli.Command) (context.Context, context.CancelFunc, error) {
	limit := command.Duration(timeoutFlag)
	if limit <= 0 {
		return nil, nil, usage(nil, "--timeout %s is not positive", limit)
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	return limited, cancel, nil
}

// readTicketFile reads the file, or standard input for "-".
func (a *app) readTicketFile(path string) ([]byte, error) {
	if path == "-" {
		return readLimited(a.config.Stdin, "standard input", maxTicketFileBytes)
	}
	return readBounded(path, maxTicketFileBytes)
}

func (a *app) check(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "FILE")
	if err != nil {
		return err
	}
	data, err := a.readTicketFile(args[0])
	if err != nil {
		return err
	}
	t, err := ticketfile.Decode(data, ticketfile.Options{Accepted: a.config.Now()})
	if err != nil {
		return badInput(err)
	}
	digest, err := ticketfile.Digest(t)
	if err != nil {
		return badInput(err)
	}
	result := admin.CheckResult{Number: t.Number, Digest: digest}
	if !command.Bool("offline") {
		if result, err = remoteCheck(ctx, command, t); err != nil {
			return err
		}
	}
	return a.print(result, func(out *table) {
		out.row("ticket", number(result.Number))
		out.row("digest", result.Digest)
		out.row("checked against revision", number(result.Revision))
	})
}

func remoteCheck(ctx context.Context, command *cli.Command, t *model.Ticket) (admin.CheckResult, error) {
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return admin.CheckResult{}, err
	}
	defer cancel()
	result, err := client.Check(ctx, t)
	return result, answered(ctx, err)
}

func (a *app) submit(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "FILE")
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
		resolved.forgetAfter(err)
		return answered(ctx, err)
	}
	return a.printTicket(status)
}

func ticketNumber(command *cli.Command) (uint64, error) {
	args, err := arguments(command, "NUMBER")
	if err != nil {
		return 0, err
	}
	parsed, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || parsed == 0 {
		return 0, usage(nil, "ticket number %q is not a whole number of at least 1", args[0])
	}
	return parsed, nil
}

func (a *app) show(ctx context.Context, command *cli.Command) error {
	wanted, err := ticketNumber(command)
	if err != nil {
		return err
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := client.Ticket(ctx, wanted)
	if err != nil {
		return answered(ctx, err)
	}
	return a.printTicket(status)
}

func (a *app) list(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command); err != nil {
		return err
	}
	limit := command.Int("limit")
	if limit < 1 || limit > admin.MaxTickets {
		return usage(nil, "--limit %d is not from 1 to %d", limit, admin.MaxTickets)
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	tickets, err := client.Tickets(ctx, limit)
	if err != nil {
		return answered(ctx, err)
	}
	return a.print(tickets, func(out *table) {
		out.row("TICKET", "STATE", "IN FORCE", "PROGRESS", "ACCEPTED", "NOTE")
		for _, t := range tickets {
			out.row(number(t.Number), t.State, inForce(t), progress(t), clockTime(t.AcceptedAt), t.Note)
		}
	})
}

func (a *app) printTicket(t admin.TicketStatus) error {
	return a.print(t, func(out *table) {
		out.row("ticket", number(t.Number))
		out.row("note", orDash(t.Note))
		out.row("state", t.State)
		out.row("reason", orDash(t.Reason))
		out.row("revision", number(t.Revision))
		out.row("digest", t.Digest)
		out.row("in force", inForce(t))
		out.row("unreachable", orDash(strings.Join(t.Unreachable, ", ")))
		out.row("progress", progress(t))
		out.row("accepted", clockTime(t.AcceptedAt))
		if t.EndedAt != nil {
			out.row("ended", clockTime(*t.EndedAt))
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
