// Package cli implements the command line of magnoliamount: the daemon and the
// operators' commands. Scripts can rely on its exit codes.
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

// Config holds the build information, functions and streams that the main
// package passes to the commands.
type Config struct {
	// Version is printed by the version command.
	Version string
	// RunDaemon runs the daemon until ctx is done and the daemon has drained.
	RunDaemon func(ctx context.Context, s *settings.Settings) error
	// Replay runs the replay command with its arguments.
	Replay func(ctx context.Context, args []string, out io.Writer) error
	// OpenPlatform opens the store of the platform for commands that access it
	// directly.
	OpenPlatform func(s *settings.Settings) (*platform.Store, error)
	Stdin        io.Reader
	Stdout       io.Writer
	Stderr       io.Writer
	// Now returns the current time. It resolves relative finish times and
	// determines the age of claims.
	Now func() time.Time
}

// app holds the state of one invocation of the command line.
type app struct {
	config Config
	// jsonOutput is set by --output json. It applies to error reports too.
	jsonOutput bool
}

// Run executes the command line in args, whose first element is the program's
// name, and returns the exit code. It writes errors to config.Stderr.
func Run(ctx context.Context, args []string, config Config) int {
	a := &app{config: config}
	err := a.rootCommand().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	a.reportError(err)
	return exitCode(err)
}

func (a *app) rootCommand() *cli.Command {
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
		Before: a.readGlobalOutputFlag,
		Action: requireSubcommand,
	}
	a.configureCommand(root)
	return root
}

// configureCommand sets the streams and error handlers of a command and its
// subcommands. With the default handlers the library prints help and exits the
// process on its own.
func (a *app) configureCommand(command *cli.Command) {
	command.Reader = a.config.Stdin
	command.Writer = a.config.Stdout
	command.ErrWriter = a.config.Stderr
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError(err, "invalid usage")
	}
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.HideVersion = true
	for _, child := range command.Commands {
		a.configureCommand(child)
	}
}

// requireSubcommand is the action of a command that only groups subcommands. It
// always returns a usage error.
func requireSubcommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return usageError(nil, "%s has no command %q; see --help", command.FullName(), name)
	}
	return usageError(nil, "%s needs a command; see --help", command.FullName())
}

// positionalArgs returns the positional arguments. It returns a usage error when
// their number differs from the number of names.
func positionalArgs(command *cli.Command, names ...string) ([]string, error) {
	args := command.Args().Slice()
	if len(args) == len(names) {
		return args, nil
	}
	return nil, usageError(nil, "%s takes %d arguments %v, but %d were given", command.FullName(), len(names), names, len(args))
}

func (a *app) daemonCommand() *cli.Command {
	return &cli.Command{
		Name:  "daemon",
		Usage: "run the daemon until SIGTERM or SIGINT, then drain",
		Flags: []cli.Flag{newConfigFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			s, err := loadSettings(command)
			if err != nil {
				return err
			}
			if a.config.RunDaemon == nil {
				return failureError(fault.New(fault.Internal, "this program was built without the daemon"))
			}
			return failureError(a.config.RunDaemon(ctx, s))
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
				return failureError(fault.New(fault.Internal, "this program was built without the replay"))
			}
			err := a.config.Replay(ctx, command.Args().Slice(), a.config.Stdout)
			if fault.Is(err, fault.Invalid) {
				return inputError(err)
			}
			return failureError(err)
		},
	}
}

func (a *app) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := positionalArgs(command); err != nil {
				return err
			}
			return a.print(versionBody{Version: a.config.Version}, func(t *table) { t.addRow(a.config.Version) })
		},
	}
}

type versionBody struct {
	Version string `json:"version"`
}
