// Command caller sends a steady load; see package test/caller.
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
	d := caller.DefaultOptions()
	return &cli.Command{
		Name:   "caller",
		Usage:  "send requests at a steady rate and print a summary as JSON",
		Action: run,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "listener", Required: true, Usage: "caller listener of a daemon; may be repeated"},
			&cli.StringFlag{Name: "host", Usage: "Host header"},
			&cli.FloatFlag{Name: "rate", Value: d.Rate, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Usage: "zero sends until SIGTERM"},
			&cli.IntFlag{Name: "get-weight", Value: d.GetWeight},
			&cli.IntFlag{Name: "once-weight", Value: d.OnceWeight},
			&cli.IntFlag{Name: "upload-weight", Value: d.UploadWeight},
			&cli.StringFlag{Name: "get-path", Value: d.GetPath},
			&cli.StringFlag{Name: "once-path", Value: d.OncePath},
			&cli.StringFlag{Name: "upload-path", Value: d.UploadPath},
			&cli.Int64Flag{Name: "answer-bytes", Value: d.AnswerBytes},
			&cli.Int64Flag{Name: "once-bytes", Value: d.OnceBytes},
			&cli.Int64Flag{Name: "upload-bytes", Value: d.UploadBytes},
			&cli.DurationFlag{Name: "upload-time", Value: d.UploadTime},
			&cli.DurationFlag{Name: "timeout", Value: d.Timeout},
			&cli.IntFlag{Name: "attempts", Value: d.Attempts},
			&cli.DurationFlag{Name: "retry-delay", Value: d.RetryDelay},
			&cli.IntFlag{Name: "max-in-flight", Value: d.MaxInFlight},
			&cli.StringFlag{Name: "prefix", Value: d.Prefix, Usage: "start of the request ids; differs for each caller"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the choice of kinds"},
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
