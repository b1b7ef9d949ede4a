// Command caller sends requests at a constant rate with package test/caller and
// prints a summary as JSON.
package main

import (
	"context"
	"encoding/json"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/test/caller"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		log.Fatal(err)
	}
}

func command() *cli.Command {
	defaults := caller.DefaultOptions()
	return &cli.Command{
		Name:   "caller",
		Usage:  "send requests at a constant rate and print a summary as JSON",
		Action: run,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "listener", Required: true, Usage: "caller listener of a daemon; may be repeated"},
			&cli.StringFlag{Name: "host", Usage: "Host header"},
			&cli.FloatFlag{Name: "rate", Value: defaults.Rate, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load; zero sends until SIGTERM"},
			&cli.IntFlag{Name: "get-weight", Value: defaults.GetWeight},
			&cli.IntFlag{Name: "once-weight", Value: defaults.OnceWeight},
			&cli.IntFlag{Name: "upload-weight", Value: defaults.UploadWeight},
			&cli.StringFlag{Name: "get-path", Value: defaults.GetPath},
			&cli.StringFlag{Name: "once-path", Value: defaults.OncePath},
			&cli.StringFlag{Name: "upload-path", Value: defaults.UploadPath},
			&cli.Int64Flag{Name: "answer-bytes", Value: defaults.AnswerBytes},
			&cli.Int64Flag{Name: "once-bytes", Value: defaults.OnceBytes},
			&cli.Int64Flag{Name: "upload-bytes", Value: defaults.UploadBytes},
			&cli.DurationFlag{Name: "upload-time", Value: defaults.UploadTime},
			&cli.DurationFlag{Name: "timeout", Value: defaults.Timeout},
			&cli.IntFlag{Name: "attempts", Value: defaults.Attempts},
			&cli.DurationFlag{Name: "retry-delay", Value: defaults.RetryDelay},
			&cli.IntFlag{Name: "max-in-flight", Value: defaults.MaxInFlight},
			&cli.StringFlag{Name: "prefix", Value: defaults.Prefix, Usage: "prefix of the request IDs; must differ between callers"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random choice of kinds"},
			&cli.StringFlag{Name: "record", Usage: "file for the results, as JSON lines"},
		},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	load, err := caller.New(caller.Options{
		Listeners: c.StringSlice("listener"), Host: c.String("host"),
		Rate: c.Float("rate"), Duration: c.Duration("duration"),
		GetWeight: c.Int("get-weight"), OnceWeight: c.Int("once-weight"), UploadWeight: c.Int("upload-weight"),
		GetPath: c.String("get-path"), OncePath: c.String("once-path"), UploadPath: c.String("upload-path"),
		AnswerBytes: c.Int64("answer-bytes"), OnceBytes: c.Int64("once-bytes"),
		UploadBytes: c.Int64("upload-bytes"), UploadTime: c.Duration("upload-time"),
		Timeout: c.Duration("timeout"), Attempts: c.Int("attempts"), RetryDelay: c.Duration("retry-delay"),
		MaxInFlight: c.Int("max-in-flight"), Prefix: c.String("prefix"), Seed: c.Uint64("seed"),
		Record: c.String("record"),
	})
	if err != nil {
		return err
	}
	summary, err := load.Run(ctx)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(summary)
}
