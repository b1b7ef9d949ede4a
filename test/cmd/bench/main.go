// Command bench measures the system; see package test/bench.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/test/bench"
)

const (
	// maxDaemons is the limit on --sizes; it keeps a run below 150 processes.
	maxDaemons = 100
	// runTimeLimit is the time limit of a run, for each repeat of its parts.
	runTimeLimit = 10 * time.Minute
	// earlyExitCode is the exit code of a run that a signal or the time limit
	// ended.
	earlyExitCode = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	release := context.AfterFunc(ctx, endEarly)
	err := command().Run(ctx, os.Args)
	// stop also cancels ctx. Unregister endEarly first, so that it runs only for
	// a signal and not at the end of every run.
	release()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// endEarly exits the process; the kernel then kills its child processes. The
// results of finished parts are already written.
func endEarly() {
	fmt.Fprintln(os.Stderr, "bench: ended by a signal or after", runTimeLimit, "for each repeat")
	os.Exit(earlyExitCode)
}

// parts returns the parts of a default run, which takes less than 10 minutes,
// and the optional parts, which run only if their flags are set.
func parts() []bench.Part {
	return []bench.Part{
		{Name: "fastpath", Measure: bench.MeasureFastPath},
		{Name: "control", Measure: bench.MeasureControl},
		{Name: "distribution", Measure: bench.MeasureDistribution},
		{Name: "delay", Measure: bench.MeasureDelay},
		{Name: "moves", Measure: bench.MeasureMoves, Optional: true},
		{Name: "claims", Measure: bench.MeasureClaims, Optional: true},
		{Name: "tls", Measure: bench.MeasureTLS, Optional: true},
		{Name: "large", Measure: bench.MeasureLarge, Optional: true},
		{Name: "partition", Measure: bench.MeasurePartition, Optional: true},
	}
}

func command() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the binaries"},
		&cli.StringFlag{Name: "against", Usage: "`DIRECTORY` of older binaries; only the comparison of the request path runs"},
		&cli.StringFlag{Name: "processors", Usage: "`VALUE` of the setting \"[limits] processors\" of the daemons, but not of older ones"},
		&cli.StringFlag{Name: "out", Value: "bench-results", Usage: "`DIRECTORY` for the raw results"},
		&cli.IntSliceFlag{Name: "sizes", Value: []int{10, 25, 50, 100}, Usage: "numbers of daemons of the distribution part"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the random choice of the daemons to restart"},
		&cli.StringFlag{Name: "commit", Usage: "measured revision of the source"},
		&cli.IntFlag{Name: "repeats", Value: 3, Usage: "number of runs of measurements with noisy results"},
		&cli.IntFlag{Name: "part-repeats", Value: 1, Usage: "number of runs of each whole part; the table shows medians"},
		&cli.BoolFlag{Name: "keep", Usage: "keep the logs of the processes"},
	}
	for _, part := range parts() {
		usage := "run this part; without any part flag, all parts but the optional ones run"
		if part.Optional {
			usage = "run this optional part"
		}
		flags = append(flags, &cli.BoolFlag{Name: part.Name, Usage: usage})
	}
	return &cli.Command{Name: "bench", Usage: "measure the system", Flags: flags, Action: run}
}

func run(_ context.Context, c *cli.Command) error {
	o := &bench.Options{
		Bin: c.String("bin"), Against: c.String("against"), Processors: c.String("processors"),
		Out: c.String("out"), Sizes: c.IntSlice("sizes"), Seed: c.Uint64("seed"),
		Commit: c.String("commit"), Repeats: c.Int("repeats"), Keep: c.Bool("keep"),
		PartRepeats: c.Int("part-repeats"),
	}
	for _, n := range o.Sizes {
		if n < 1 || n > maxDaemons {
			return fault.New(fault.Invalid, "size %d is not 1 to %d", n, maxDaemons)
		}
	}
	time.AfterFunc(runTimeLimit*time.Duration(max(o.PartRepeats, 1)), endEarly)
	var runs []*bench.Run
	var lastErr error
	for _, part := range selectedParts(c) {
		result, err := part.Do(o)
		if result != nil {
			runs = append(runs, result)
		}
		if err != nil {
			lastErr = err
			fmt.Fprintf(os.Stderr, "bench: part %s: %v\n", part.Name, err)
		}
	}
	if err := bench.Print(os.Stdout, runs); err != nil {
		return err
	}
	return lastErr
}

// selectedParts returns the comparison if --against is set, otherwise the parts
// whose flags are set, or all that are not optional if none is.
func selectedParts(c *cli.Command) []bench.Part {
	if c.String("against") != "" {
		return []bench.Part{{Name: "compare", Measure: bench.MeasureComparison}}
	}
	var named []bench.Part
	for _, part := range parts() {
		if c.Bool(part.Name) {
			named = append(named, part)
		}
	}
	if named != nil {
		return named
	}
	return slices.DeleteFunc(parts(), func(p bench.Part) bool { return p.Optional })
}
