package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/admin"
	"github.com/magnoliamount/magnoliamount/internal/settings"
)

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show a daemon and what it knows of the mesh",
		Flags: []cli.Flag{timeoutFlagOf(callTimeout)}, Action: a.withOutput(a.status),
	}
}

func (a *app) status(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command); err != nil {
		return err
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return answered(ctx, err)
	}
	return a.print(status, func(out *table) { fillStatus(out, status) })
}

func fillStatus(out *table, s admin.Status) {
	out.row("daemon", s.VM)
	out.row("domain", s.Domain)
	out.row("region", s.Region)
	out.row("ready", yesNo(s.Ready))
	out.row("reason", orDash(s.Reason))
	out.row("revision", number(s.Revision))
	out.row("last ticket", number(s.LastTicket))
	out.row("controller", fmt.Sprintf("%s, epoch %d", orDash(s.Controller), s.Epoch))
	out.row("parent", orDash(s.Parent))
	out.row("children", fmt.Sprint(s.Children))
	out.row("platform up", yesNo(s.PlatformUp))
	out.row("open tickets", orDash(strings.Trim(fmt.Sprint(s.OpenTickets), "[]")))
	if len(s.Members) == 0 {
		return
	}
	out.row()
	out.row("VM", "DOMAIN", "REGION", "STATE", "SERVICE", "VERSION", "REVISION", "ADMIN")
	for _, m := range s.Members {
		out.row(m.VM, m.Domain, m.Region, m.State, orDash(m.Service), orDash(m.Version), number(m.Revision), orDash(m.AdminAddress))
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func (a *app) settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check or print a settings file", Action: needCommand,
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "report every fault of a settings file", Flags: []cli.Flag{configFlag()},
				Action: a.withOutput(func(_ context.Context, command *cli.Command) error {
					if _, err := loadSettings(command); err != nil {
						return err
					}
					return a.print(admin.Health{Status: "ok"}, func(out *table) { out.row("ok") })
				}),
			},
			{
				Name: "print", Usage: "print the settings in force; secrets are hidden", Flags: []cli.Flag{configFlag()},
				Action: a.withOutput(a.printSettings),
			},
		},
	}
}

func (a *app) printSettings(_ context.Context, command *cli.Command) error {
	s, err := loadSettings(command)
	if err != nil {
		return err
	}
	if a.json {
		return a.print(settings.Values(s), nil)
	}
	_, err = fmt.Fprint(a.config.Stdout, settings.Format(s))
	return failed(err)
}
