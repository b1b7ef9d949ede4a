// Command target runs a test target; see package test/target.
package main

import (
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/test/target"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		log.Fatal(err)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:   "target",
		Usage:  "run a test target until SIGTERM",
		Action: run,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm", Required: true, Usage: "name of the VM"},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "version", Required: true},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "daemon", Usage: "address of the caller listener of the daemon on the same VM"},
			&cli.Uint32Flag{Name: "slots", Value: 10},
			&cli.Uint32Flag{Name: "connections", Value: 120},
			&cli.StringFlag{Name: "record", Usage: "file that runs are recorded in, as JSON lines"},
			&cli.StringFlag{Name: "next", Usage: "`PATH` that each request calls through the daemon before its response"},
			&cli.DurationFlag{Name: "linger", Value: target.DefaultLinger, Usage: "time for which new requests are accepted after SIGTERM"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random choice of failing requests"},
			&cli.FloatFlag{Name: "fail-fraction"},
			&cli.IntFlag{Name: "latency-ms"},
			&cli.Uint64Flag{Name: "after-requests"},
			&cli.StringFlag{Name: "path-prefix"},
			&cli.IntFlag{Name: "above-concurrency"},
			&cli.StringFlag{Name: "crash-path"},
			&cli.BoolFlag{Name: "lie-health"},
			&cli.IntFlag{Name: "cold-ms"},
			&cli.IntFlag{Name: "cold-latency-ms", Value: 50},
		},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	t, err := target.New(target.Options{
		VM: c.String("vm"), Service: c.String("service"), Version: c.String("version"),
		Listen: c.String("listen"), Daemon: c.String("daemon"),
		Slots: c.Uint32("slots"), Connections: c.Uint32("connections"),
		Record: c.String("record"), Next: c.String("next"), Linger: c.Duration("linger"), Seed: c.Uint64("seed"),
		Behaviour: target.Behaviour{
			FailFraction: c.Float("fail-fraction"), LatencyMs: c.Int("latency-ms"),
			AfterRequests: c.Uint64("after-requests"), PathPrefix: c.String("path-prefix"),
			AboveConcurrency: c.Int("above-concurrency"), CrashPath: c.String("crash-path"),
			ReportHealthy: c.Bool("lie-health"), ColdMs: c.Int("cold-ms"), ColdLatencyMs: c.Int("cold-latency-ms"),
		},
	})
	if err != nil {
		return err
	}
	log.Printf("target %s is listening on %s", c.String("vm"), t.Address())
	return t.Run(ctx)
}
