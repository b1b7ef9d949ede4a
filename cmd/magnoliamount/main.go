// Command magnoliamount distributes the configuration of a service mesh and
// carries its requests.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

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

// run ends the context at the first signal, which starts a graceful shutdown.
// A second signal ends the process at once.
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

func runReplay(_ context.Context, args []string, out io.Writer) error {
	switch replay.Main(args, out) {
	case replay.ExitOK:
		return nil
	case replay.ExitUsage:
		return fault.New(fault.Invalid, "the replay was not run")
	default:
		return fault.New(fault.Internal, "a good move was not done on time, or a bad one was not taken back")
	}
}

func runDaemon(ctx context.Context, s *settings.Settings) error {
	root, err := logging.New(os.Stderr, s.Log.Level, s.VM.Name)
	if err != nil {
		return err
	}
	return daemon.Run(ctx, s, root.Component("daemon"))
}
