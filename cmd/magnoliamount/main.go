// Command magnoliamount distributes the configuration of a service mesh and
// carries its requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/cli"
	"github.com/magnoliamount/magnoliamount/internal/daemon"
	"github.com/magnoliamount/magnoliamount/internal/logging"
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

		RunDaemon: runDaemon,
	})
}

func runDaemon(ctx context.Context, s *settings.Settings) error {
	root, err := logging.New(os.Stderr, s.Log.Level, s.VM.Name)
	if err != nil {
		return err
	}
	return daemon.Run(ctx, s, root.Component("daemon"))
}
