// Command magnoliamount distributes the configuration of a service mesh and
// proxies its requests.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliamount/magnoliamount/internal/cli"
	"github.com/magnoliamount/magnoliamount/internal/daemon"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
	"github.com/magnoliamount/magnoliamount/internal/replay"
	"github.com/magnoliamount/magnoliamount/internal/settings"
)

// version is set by the build with -ldflags "-X main.version=...".
var version = "development"

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code. The first SIGTERM or
// SIGINT cancels the context, which starts a graceful shutdown. A second SIGINT
// terminates the process immediately, and so does a second SIGTERM except in a daemon.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	return cli.Run(ctx, os.Args, cli.Config{
		Version: version,
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Now:     time.Now,

		RunDaemon:    runDaemon,
		Replay:       runReplay,
		OpenPlatform: daemon.OpenPlatform,
	})
}

// runReplay runs the replay command and converts its exit code to an error.
func runReplay(_ context.Context, args []string, out io.Writer) error {
	switch replay.Main(args, out) {
	case replay.ExitOK:
		return nil
	case replay.ExitUsage:
		return fault.New(fault.Invalid, "the replay did not run")
	default:
		return fault.New(fault.Internal, "a good move was not done on time, or a bad one was not taken back")
	}
}

// runDaemon runs the daemon with a logger that writes to standard error.
func runDaemon(ctx context.Context, s *settings.Settings) error {
	output := logging.NewAsyncWriter(os.Stderr)
	defer output.Flush(logging.FlushTimeout)
	root, err := logging.New(output, s.Log.Level, s.VM.Name)
	if err != nil {
		return err
	}
	root.CaptureStandardLog()
	keepServingOnSignals(root.Component("signals"))
	return daemon.Run(ctx, s, root.Component("daemon"))
}

// keepServingOnSignals registers the signals whose default action would end the daemon
// before its requests in flight are answered. They stay registered until the process
// exits.
func keepServingOnSignals(logger *log.Logger) {
	signal.Ignore(syscall.SIGPIPE)
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP, syscall.SIGTERM)
	go func() {
		for s := range received {
			logger.Info().Str("event", "signal-received").Str("signal", s.String()).Msg("received a signal")
		}
	}()
}
