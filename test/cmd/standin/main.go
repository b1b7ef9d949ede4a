// Command standin serves the in-memory stand-in for the platform's table and
// object store, for tests and demos.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/test/standin"
)

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 5 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "serve an in-memory stand-in for the platform's table and object store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8000", Usage: "`ADDRESS` of the table, the objects and the control endpoints"},
			&cli.StringFlag{Name: "table", Value: standin.DefaultTable, Usage: "`NAME` of the table"},
			&cli.StringFlag{Name: "bucket", Value: standin.DefaultBucket, Usage: "`NAME` of the bucket"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the random choice of faults"},
		},
		Action: serve,
	}
}

// serve serves the stand-in until ctx ends. It prints the address once the
// listener is open, so that a parent process can pass port 0 and wait for the line.
func serve(ctx context.Context, cmd *cli.Command) error {
	handler := standin.New(
		standin.WithTable(cmd.String("table")),
		standin.WithBucket(cmd.String("bucket")),
		standin.WithSeed(cmd.Uint64("seed")),
	)
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "cannot listen on %q", cmd.String("listen"))
	}
	fmt.Printf("listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(listener) }()
	select {
	case err := <-stopped:
		return fault.Wrap(err, fault.Internal, "HTTP server stopped unexpectedly")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return fault.Wrap(err, fault.Timeout, "requests still in flight at the shutdown timeout")
	}
	return nil
}
