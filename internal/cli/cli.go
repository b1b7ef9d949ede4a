// Package cli is the command line of magnoliamount: the daemon and the
// operators' commands. Its exit codes are meant for scripts.
package cli

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/settings"
)

// Config holds what the commands need from their program.
type Config struct {
	// Version is what the version command prints.
	Version string
	// RunDaemon runs the daemon until it has drained after ctx is done.
	RunDaemon func(ctx context.Context, s *settings.Settings) error
	// Replay runs the replay command with its arguments.
	Replay func(ctx context.Context, args []string, out io.Writer) error
	// OpenPlatform connects the commands that work on the platform itself.
	OpenPlatform func(s *settings.Settings) (*platform.Store, error)
	Stdin        io.Reader
	Stdout       io.Writer
	Stderr       io.Writer
	// Now is the clock that resolves relative finish times.
	Now func() time.Time
}

// app is one run of the command line.
type app struct {
	config Config
	// json is set by --output json, also for the report of a failure.
	json bool
}

// Run carries out the command line, whose first element is the program's
// name, and returns the exit code. It writes failures to Stderr.
func Run(ctx context.Context, args []string, config Config) int {
	a := &app{config: config}
	err := a.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	a.report(err)
	return exitCode(err)
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:  "magnoliamount",
		Usage: "distribute the configuration of a service mesh",
		Flags: globalFlags(),
		Commands: []*cli.Command{
			a.daemonCommand(),
			a.ticketCommand(),
			a.claimsCommand(),
			a.statusCommand(),
			a.timelineCommand(),
			a.settingsCommand(),
			a.replayCommand(),
			a.versionCommand(),
		},
		Before: a.readOutput,
		Action: needCommand,
	}
	a.prepare(root)
	return root
}

// prepare gives every command the program's streams and typed usage errors.
// The library would print help on its own and end the process otherwise.
func (a *app) prepare(command *cli.Command) {
	command.Reader = a.config.Stdin
	command.Writer = a.config.Stdout
	command.ErrWriter = a.config.Stderr
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usage(err, "wrong usage")
	}
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.HideVersion = true
	for _, child := range command.Commands {
		a.prepare(child)
	}
}

// needCommand is the action of a command that only holds others.
func needCommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return usage(nil, "%s has no command %q; see --help", command.FullName(), name)
	}
	return usage(nil, "%s needs a command; see --help", command.FullName())
}

// arguments returns the positional arguments when there are as many as named.
func arguments(command *cli.Command, names ...string) ([]string, error) {
	given := command.Args().Slice()
	if len(given) == len(names) {
		return given, nil
	}
	return nil, usage(nil, "%s takes %d arguments %v, not %d", command.FullName(), len(names), names, len(given))
}

func (a *app) daemonCommand() *cli.Command {
	return &cli.Command{
		Name:  "daemon",
		Usage: "run the daemon until SIGTERM or SIGINT, then drain",
		Flags: []cli.Flag{configFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			s, err := loadSettings(command)
			if err != nil {
				return err
			}
			if a.config.RunDaemon == nil {
				return failed(fault.New(fault.Internal, "this program holds no daemon"))
			}
			return failed(a.config.RunDaemon(ctx, s))
		},
	}
}

func (a *app) replayCommand() *cli.Command {
	return &cli.Command{
		Name:            "replay",
		Usage:           "replay a recorded trace and report the outcomes",
		ArgsUsage:       "ARGUMENTS",
		SkipFlagParsing: true,
		Action: func(ctx context.Context, command *cli.Command) error {
			if a.config.Replay == nil {
				return failed(fault.New(fault.Internal, "this program holds no replay"))
			}
			err := a.config.Replay(ctx, command.Args().Slice(), a.config.Stdout)
			if fault.Is(err, fault.Invalid) {
				return badInput(err)
			}
			return failed(err)
		},
	}
}

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := arguments(command); err != nil {
				return err
			}
			return a.print(versionBody{Version: a.config.Version}, func(t *table) { t.row(a.config.Version) })
		},
	}
}

type versionBody struct {
	Version string `json:"version"`
}
