package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/once"
)

const (
	olderThanFlag = "older-than"
	dryRunFlag    = "dry-run"
	rateFlag      = "per-second"
	// defaultPrunePerSecond is the default of --per-second, in claims. It is a
	// small part of the write rate that the platform sustains.
	defaultPrunePerSecond = 50
)

func (a *app) claimsCommand() *cli.Command {
	return &cli.Command{
		Name: "claims", Usage: "manage the claims of at-most-once requests", Action: requireSubcommand,
		Commands: []*cli.Command{{
			Name: "prune", Usage: "delete old claims from the platform's table",
			Flags: []cli.Flag{
				newConfigFlag(),
				&cli.DurationFlag{
					Name: olderThanFlag, Required: true,
					Usage: "minimum age of the claims to delete, such as 720h; must be longer than any caller retries a request",
				},
				&cli.BoolFlag{Name: dryRunFlag, Usage: "count the old claims without deleting them"},
				&cli.IntFlag{Name: rateFlag, Value: defaultPrunePerSecond, Usage: "maximum number of claims to read and delete per second"},
			},
			Action: a.withOutputFlag(a.pruneClaims),
		}},
	}
}

// pruneClaims deletes old claims. It connects to the platform with a daemon's
// settings and does not need a running daemon.
func (a *app) pruneClaims(ctx context.Context, command *cli.Command) error {
	s, err := loadSettings(command)
	if err != nil {
		return err
	}
	if a.config.OpenPlatform == nil {
		return failureError(fault.New(fault.Internal, "this program was built without platform access"))
	}
	store, err := a.config.OpenPlatform(s)
	if err != nil {
		return inputError(err)
	}
	result, err := once.Prune(ctx, once.PruneConfig{
		Table: store.Table, OlderThan: command.Duration(olderThanFlag), PerSecond: command.Int(rateFlag),
		DryRun: command.Bool(dryRunFlag), Now: a.config.Now(),
	})
	if fault.Is(err, fault.Invalid) {
		return inputError(err)
	}
	if printErr := a.print(result, func(out *table) { fillPruneResult(out, result) }); printErr != nil {
		return printErr
	}
	return failureError(err)
}

func fillPruneResult(out *table, result once.PruneResult) {
	out.addRow("read", fmt.Sprint(result.Read))
	out.addRow("old", fmt.Sprint(result.Old))
	out.addRow("deleted", fmt.Sprint(result.Deleted))
	out.addRow("unreadable", fmt.Sprint(result.Unreadable))
}
