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
		Name: "status", Usage: "show the state of a daemon and its view of the mesh",
		Flags: []cli.Flag{newTimeoutFlag(defaultCallTimeout)}, Action: a.withOutputFlag(a.showStatus),
	}
}

func (a *app) showStatus(ctx context.Context, command *cli.Command) error {
	if _, err := positionalArgs(command); err != nil {
		return err
	}
	client, ctx, cancel, err := connect(ctx, command)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return apiError(ctx, err)
	}
	return a.print(status, func(out *table) { fillStatus(out, status) })
}

func fillStatus(out *table, s admin.Status) {
	out.addRow("daemon", s.VM)
	out.addRow("domain", s.Domain)
	out.addRow("region", s.Region)
	out.addRow("ready", yesNo(s.Ready))
	out.addRow("reason", orDash(s.Reason))
	out.addRow("revision", numberOrDash(s.Revision))
	out.addRow("last ticket", numberOrDash(s.LastTicket))
	out.addRow("controller", fmt.Sprintf("%s, epoch %d", orDash(s.Controller), s.Epoch))
	out.addRow("parent", orDash(s.Parent))
	out.addRow("children", fmt.Sprint(s.Children))
	out.addRow("platform up", yesNo(s.PlatformUp))
	out.addRow("open tickets", orDash(strings.Trim(fmt.Sprint(s.OpenTickets), "[]")))
	if len(s.Members) == 0 {
		return
	}
	out.addRow()
	out.addRow("VM", "DOMAIN", "REGION", "STATE", "SERVICE", "VERSION", "REVISION", "ADMIN")
	for _, m := range s.Members {
		out.addRow(m.VM, m.Domain, m.Region, m.State, orDash(m.Service), orDash(m.Version), numberOrDash(m.Revision), orDash(m.AdminAddress))
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
		Name: "settings", Usage: "check or print a settings file", Action: requireSubcommand,
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "report every error in a settings file", Flags: []cli.Flag{newConfigFlag()},
				Action: a.withOutputFlag(func(_ context.Context, command *cli.Command) error {
					if _, err := loadSettings(command); err != nil {
						return err
					}
					return a.print(admin.Health{Status: "ok"}, func(out *table) { out.addRow("ok") })
				}),
			},
			{
				Name: "print", Usage: "print the effective settings; secrets are hidden", Flags: []cli.Flag{newConfigFlag()},
				Action: a.withOutputFlag(a.printSettings),
			},
		},
	}
}

func (a *app) printSettings(_ context.Context, command *cli.Command) error {
	s, err := loadSettings(command)
	if err != nil {
		return err
	}
	if a.jsonOutput {
		return a.print(settings.Values(s), nil)
	}
	_, err = fmt.Fprint(a.config.Stdout, settings.Format(s))
	return failureError(err)
}
