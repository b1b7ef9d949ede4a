// Package bench measures the system with real processes on loopback
// addresses: the distribution of changes, the request path, and the cost of the
// control plane per daemon. Command test/cmd/bench runs it.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Options describe a run of the benchmarks.
type Options struct {
	// Bin is the directory of the binaries.
	Bin string `json:"bin"`
	// Against is the directory of the older binaries to compare with.
	Against string `json:"against,omitempty"`
	// Processors is the setting "[limits] processors" of the daemons of Bin;
	// empty keeps the default.
	Processors string `json:"processors,omitempty"`
	// Out is the directory that the raw results are written to.
	Out string `json:"-"`
	// Sizes are the numbers of daemons of the distribution part.
	Sizes []int `json:"sizes"`
	// Seed seeds the random choice of the daemons to restart.
	Seed uint64 `json:"seed"`
	// Commit names the measured revision of the source.
	Commit string `json:"-"`
	// Repeats is the number of runs of measurements with noisy results.
	Repeats int `json:"repeats"`
	// PartRepeats is the number of runs of each whole part; zero means one.
	PartRepeats int `json:"part_repeats"`
	// Keep keeps the logs of the processes after a successful part.
	Keep bool `json:"-"`
}

// Row is one line of the result table. Target and Stretch are upper limits, or
// lower limits if AtLeast is set; zero means no limit.
type Row struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Measured float64 `json:"measured"`
	Target   float64 `json:"target,omitempty"`
	Stretch  float64 `json:"stretch,omitempty"`
	AtLeast  bool    `json:"at_least,omitempty"`
	Note     string  `json:"note,omitempty"`
}

// Run is the record of one part.
type Run struct {
	Part    string    `json:"part"`
	Commit  string    `json:"commit"`
	Seed    uint64    `json:"seed"`
	Options Options   `json:"settings"`
	Machine Machine   `json:"machine"`
	Started time.Time `json:"started"`
	Took    string    `json:"took"`
	// LoadBefore and LoadAfter are the contents of /proc/loadavg before and
	// after the part.
	LoadBefore string `json:"load_before"`
	LoadAfter  string `json:"load_after"`
	// OtherLoadBefore is the processor time that other processes of the machine
	// used just before the part started its own, in percent of a core.
	OtherLoadBefore float64 `json:"others_before_percent_of_a_core"`
	Rows            []Row   `json:"rows"`
	Raw             any     `json:"raw"`
	Failure         string  `json:"failure,omitempty"`
}

// Part is a named measurement.
type Part struct {
	Name    string
	Measure func(*Options, string) (rows []Row, raw any, err error)
	// Optional is set for a part that takes too long for a default run.
	Optional bool
}

// otherLoadWindow is how long the load of other processes is measured before a
// part.
const otherLoadWindow = 2 * time.Second

// Do runs a part and writes its result to a file in Options.Out.
func (p Part) Do(o *Options) (*Run, error) {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "create %s", o.Out)
	}
	dir, err := os.MkdirTemp(o.Out, "logs-"+p.Name+"-")
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "create a directory for logs")
	}
	run := &Run{
		Part: p.Name, Commit: o.Commit, Seed: o.Seed, Options: *o, Machine: describeMachine(),
		LoadBefore: loadAverage(), OtherLoadBefore: busyPercent(otherLoadWindow), Started: time.Now(),
	}
	rows, raw, measureErr := p.repeat(o, dir)
	run.Rows = rows
	run.Raw = raw
	run.Took = time.Since(run.Started).Round(time.Second).String()
	run.LoadAfter = loadAverage()
	if measureErr != nil {
		run.Failure = measureErr.Error()
	}
	if measureErr == nil && !o.Keep {
		_ = os.RemoveAll(dir)
	}
	if err := run.save(o.Out); err != nil {
		return run, err
	}
	return run, measureErr
}

// repeat runs the part Options.PartRepeats times. With more than one run the
// rows are medians with their spread, and the raw result is a list.
func (p Part) repeat(o *Options, dir string) ([]Row, any, error) {
	if o.PartRepeats <= 1 {
		return p.Measure(o, dir)
	}
	var repeats [][]Row
	var raws []any
	for i := range o.PartRepeats {
		rows, raw, err := p.Measure(o, filepath.Join(dir, fmt.Sprintf("repeat-%d", i)))
		raws = append(raws, raw)
		repeats = append(repeats, rows)
		if err != nil {
			return medians(repeats), raws, err
		}
	}
	return medians(repeats), raws, nil
}

// medians merges the rows of the same name into one with the median value and
// the spread in its note. The rows are in the order of their first occurrence.
func medians(repeats [][]Row) []Row {
	values := map[string][]float64{}
	var merged []Row
	for _, rows := range repeats {
		for _, row := range rows {
			if values[row.Name] == nil {
				merged = append(merged, row)
			}
			values[row.Name] = append(values[row.Name], row.Measured)
		}
	}
	for i := range merged {
		row := &merged[i]
		row.Measured = median(values[row.Name])
		row.Note = strings.TrimPrefix(row.Note+"; "+spread(values[row.Name]), "; ")
	}
	return merged
}

func (r *Run) save(dir string) error {
	encoded, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the result of %s", r.Part)
	}
	name := fmt.Sprintf("%s-%s.json", r.Part, r.Started.UTC().Format("20060102T150405"))
	if err := os.WriteFile(filepath.Join(dir, name), encoded, 0o644); err != nil {
		return fault.Wrap(err, fault.Invalid, "write the result of %s", r.Part)
	}
	return nil
}

// Verdict returns "stretch met" if the row meets its stretch goal, otherwise
// "met" or "not met" for its target, "stretch not met" if it has only a stretch
// goal, and "-" without either.
func (r *Row) Verdict() string {
	meets := func(limit float64) bool {
		if r.AtLeast {
			return r.Measured >= limit
		}
		return r.Measured <= limit
	}
	switch {
	case r.Stretch != 0 && meets(r.Stretch):
		return "stretch met"
	case r.Target != 0 && meets(r.Target):
		return "met"
	case r.Target != 0:
		return "not met"
	case r.Stretch != 0:
		return "stretch not met"
	}
	return "-"
}

// Print writes the rows of all runs as one table.
func Print(w io.Writer, runs []*Run) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "part\tmeasure\ttarget\tstretch\tmeasured\tunit\tverdict\tnote")
	for _, run := range runs {
		for i := range run.Rows {
			row := &run.Rows[i]
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.4g\t%s\t%s\t%s\n", run.Part, row.Name,
				limitText(row, row.Target), limitText(row, row.Stretch), row.Measured, row.Unit, row.Verdict(), row.Note)
		}
	}
	if err := table.Flush(); err != nil {
		return fault.Wrap(err, fault.Internal, "print the table")
	}
	return nil
}

func limitText(r *Row, limit float64) string {
	switch {
	case limit == 0:
		return "-"
	case r.AtLeast:
		return fmt.Sprintf(">= %.4g", limit)
	}
	return fmt.Sprintf("<= %.4g", limit)
}
