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
	// prunePerSecond is a small part of the writes that the platform is good for.
	prunePerSecond = 50
)

func (a *app) claimsCommand() *cli.Command {
	return &cli.Command{
		Name: "claims", Usage: "manage the claims of at-most-once requests", Action: needCommand,
		Commands: []*cli.Command{{
			Name: "prune", Usage: "delete old claims from the platform's table",
			Flags: []cli.Flag{
				configFlag(),
				&cli.DurationFlag{
					Name: olderThanFlag, Required: true,
					Usage: "least age, such as 720h; must be longer than any caller repeats a request",
				},
				&cli.BoolFlag{Name: dryRunFlag, Usage: "only count"},
				&cli.IntFlag{Name: rateFlag, Value: prunePerSecond, Usage: "most claims to read and delete in a second"},
			},
			Action: a.withOutput(a.pruneClaims),
		}},
	}
}

// pruneClaims reaches the platform by a daemon's settings. It needs no daemon.
func (a *app) pruneClaims(ctx context.Context, command *cli.Command) error {
	s, err := loadSettings(command)
	if err != nil {
		return err
	}
	if a.config.OpenPlatform == nil {
		return failed(fault.New(fault.Internal, "this program holds no platform"))
	}
	store, err := a.config.OpenPlatform(s)
	if err != nil {
		return badInput(err)
	}
	result, err := once.Prune(ctx, once.PruneConfig{
		Table: store.Table, OlderThan: command.Duration(olderThanFlag), PerSecond: command.Int(rateFlag),
		DryRun: command.Bool(dryRunFlag), Now: a.config.Now(),
	})
	if fault.Is(err, fault.Invalid) {
		return badInput(err)
	}
	if printed := a.print(result, func(out *table) { fillPruned(out, result) }); printed != nil {
		return printed
	}
	return failed(err)
}

func fillPruned(out *table, result once.PruneResult) {
	out.row("read", fmt.Sprint(result.Read))
	out.row("old", fmt.Sprint(result.Old))
	out.row("deleted", fmt.Sprint(result.Deleted))
	out.row("unreadable", fmt.Sprint(result.Unreadable))
}
