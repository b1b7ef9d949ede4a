// Command magnoliamount-sidecar runs a daemon on the Lipa platform. It is a
// separate program because the client libraries of the other platform would
// increase memory use and start-up time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// The default action of SIGHUP ends the process and cuts its requests, so the
	// signal stays registered until the process exits.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// A write to a log that nobody reads fails in place of ending the process.
	signal.Ignore(syscall.SIGPIPE)
	if err := command(reload).Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "magnoliamount-sidecar:", err)
		os.Exit(1)
	}
}

func command(reload <-chan os.Signal) *cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true}
	level := &cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"}
	return &cli.Command{
		Name: "magnoliamount-sidecar", Usage: "run a daemon on the Lipa platform",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the daemon until SIGTERM, then drain", Flags: []cli.Flag{settings, level}, Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, c, reload) }},
			{Name: "check", Usage: "check a settings file", Flags: []cli.Flag{settings}, Action: check},
		},
	}
}

func run(ctx context.Context, c *cli.Command, reload <-chan os.Signal) error {
	s, err := platform.ReadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Flush(logging.FlushTimeout)
	root, err := logging.New(output, c.String("log-level"), s.VM)
	if err != nil {
		return err
	}
	root.CaptureStandardLog()
	return platform.Run(ctx, c.String("settings"), reload, root)
}

func check(_ context.Context, c *cli.Command) error {
	s, err := platform.ReadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	_, err = fmt.Printf("VM %s of service %s: the settings are valid\n", s.VM, s.Service)
	return err
}
