// Command checker checks the records of a run with package test/checker and prints a
// report as JSON. It exits with status 1 if there is a finding.
package main

import (
	"context"
	"encoding/json"
	"log"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/test/checker"
)

func main() {
	command := &cli.Command{
		Name:   "checker",
		Usage:  "check the records of callers, targets and daemons, and print a report as JSON",
		Action: run,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "caller", Usage: "record file of a caller; may be repeated"},
			&cli.StringSliceFlag{Name: "target", Usage: "record file of a target; may be repeated"},
			&cli.StringSliceFlag{Name: "events", Usage: "events file of a daemon; may be repeated"},
			&cli.StringSliceFlag{Name: "killed-listener", Usage: "caller listener of a killed daemon; may be repeated"},
			&cli.StringSliceFlag{Name: "killed-vm", Usage: "VM of a killed target; may be repeated"},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		log.Fatal(err)
	}
}

func run(_ context.Context, c *cli.Command) error {
	records, err := checker.Read(checker.Files{
		Callers: c.StringSlice("caller"), Targets: c.StringSlice("target"), Events: c.StringSlice("events"),
	})
	if err != nil {
		return err
	}
	report := checker.Check(records, checker.Options{
		KilledListeners: c.StringSlice("killed-listener"), KilledVMs: c.StringSlice("killed-vm"),
	})
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return fault.Wrap(err, fault.Internal, "print report")
	}
	if n := len(report.Findings); n > 0 {
		return fault.New(fault.Inconsistent, "%d findings", n)
	}
	return nil
}
