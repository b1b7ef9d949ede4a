// Package bench measures the system with real processes on loopback
// addresses: the distribution of changes, the request path, and what control
// costs a daemon. Command test/cmd/bench runs it.
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
	// Against is the directory of the binaries that the comparison is with.
	Against string `json:"against,omitempty"`
	// Processors is the setting of the daemons of Bin; empty keeps the default.
	Processors string `json:"processors,omitempty"`
	// Out takes the raw results.
	Out string `json:"-"`
	// Sizes are the numbers of daemons of the distribution part.
	Sizes []int `json:"sizes"`
	// Seed drives the choice of daemons to restart.
	Seed uint64 `json:"seed"`
	// Commit names the measured revision of the source.
	Commit string `json:"-"`
	// Repeats is how often noisy parts run.
	Repeats int `json:"repeats"`
	// PartRepeats is how often a whole part runs; zero means once.
	PartRepeats int `json:"part_repeats"`
	// Keep is true when the logs of the processes stay.
	Keep bool `json:"-"`
}

// Row is one line of the table. Target and Stretch are upper limits, or lower
// ones if AtLeast is set; zero means that there is none.
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
	// LoadBefore and LoadAfter are /proc/loadavg around the part.
	LoadBefore string `json:"load_before"`
	LoadAfter  string `json:"load_after"`
	// OthersBefore is the share of the machine's processor time that was in
	// use just before the part started its processes, in percent of a core.
	OthersBefore float64 `json:"others_before_percent_of_a_core"`
	Rows         []Row   `json:"rows"`
	Raw          any     `json:"raw"`
	Failure      string  `json:"failure,omitempty"`
}

// Part is a named measurement.
type Part struct {
	Name    string
	Measure func(*Options, string) (rows []Row, raw any, err error)
	// Optional parts are too long for a whole run.
	Optional bool
}

// othersWindow is how long the load of others is observed before a part.
const othersWindow = 2 * time.Second

// Do runs a part and records its result in a file of Options.Out.
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
		LoadBefore: loadAverage(), OthersBefore: busyPercent(othersWindow), Started: time.Now(),
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

// repeat runs the part as often as the options ask. With more than one repeat
// the rows are medians with their spread, and the raw result is a list.
func (p Part) repeat(o *Options, dir string) ([]Row, any, error) {
	if o.PartRepeats <= 1 {
		return p.Measure(o, dir)
	}
	var all [][]Row
	var raws []any
	for i := range o.PartRepeats {
		rows, raw, err := p.Measure(o, filepath.Join(dir, fmt.Sprintf("repeat-%d", i)))
		raws = append(raws, raw)
		all = append(all, rows)
		if err != nil {
			return medians(all), raws, err
		}
	}
	return medians(all), raws, nil
}

// medians joins the rows of the same name in the order of the first repeat.
func medians(repeats [][]Row) []Row {
	values := map[string][]float64{}
	var joined []Row
	for _, rows := range repeats {
		for _, row := range rows {
			if values[row.Name] == nil {
				joined = append(joined, row)
			}
			values[row.Name] = append(values[row.Name], row.Measured)
		}
	}
	for i := range joined {
		row := &joined[i]
		row.Measured = median(values[row.Name])
		row.Note = strings.TrimPrefix(row.Note+"; "+spread(values[row.Name]), "; ")
	}
	return joined
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

// Verdict says whether a row meets its target: "met", "not met", "stretch"
// when it also meets the stretch goal, or "-" without a target.
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
