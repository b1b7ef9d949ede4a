package replay

import (
	"flag"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

// Exit codes of Main.
const (
	// ExitOK means that every move under the sequential judge ended as expected.
	ExitOK = 0
	// ExitOutcomeMismatch means that a good move was not done on time or a bad one
	// was not taken back.
	ExitOutcomeMismatch = 1
	// ExitUsage means that the arguments or a trace are invalid, or that the report
	// cannot be written.
	ExitUsage = 2
)

// maxSeeds is the maximum number of replays of one trace.
const maxSeeds = 10_000

type arguments struct {
	json    bool
	brief   bool
	seeds   int
	options Options
	paths   []string
}

// Main runs the replay command. The arguments are flags, followed by trace files
// or directories of *.jsonl files. It writes the report or the error to stdout
// and returns the exit code.
func Main(args []string, stdout io.Writer) int {
	a, err := parseArguments(args, stdout)
	if err != nil {
		return reportUsageError(stdout, err)
	}
	traces, err := readTraces(a.paths)
	if err != nil {
		return reportUsageError(stdout, err)
	}
	report := NewReport(replayAll(traces, a))
	if err := writeReport(report, a, stdout); err != nil {
		return ExitUsage
	}
	s := &report.Sequential
	if s.GoodOnTime < s.Good || s.BadTakenBack < s.Bad {
		return ExitOutcomeMismatch
	}
	return ExitOK
}

func reportUsageError(w io.Writer, err error) int {
	_, _ = fmt.Fprintf(w, "replay: %v\n", err)
	return ExitUsage
}

func parseArguments(args []string, w io.Writer) (arguments, error) {
	var a arguments
	flags := flag.NewFlagSet("replay", flag.ContinueOnError)
	flags.SetOutput(w)
	flags.BoolVar(&a.json, "json", false, "write JSON")
	flags.BoolVar(&a.brief, "brief", false, "write only the moves that did not end as expected, and the totals")
	flags.IntVar(&a.seeds, "seeds", 1, "number of replays of each trace, with successive seeds")
	flags.Uint64Var(&a.options.Seed, "seed", 1, "seed of the first replay")
	flags.IntVar(&a.options.Daemons, "daemons", DefaultDaemons, "number of simulated caller-side daemons")
	flags.DurationVar(&a.options.EvidenceDelay, "delay", DefaultEvidenceDelay, "delay of samples from the daemons to the controller")
	flags.DurationVar(&a.options.StepDelay, "step-delay", DefaultStepDelay, "maximum delay of steps from the controller to the daemons")
	if err := flags.Parse(args); err != nil {
		return a, fault.Wrap(err, fault.Invalid, "arguments")
	}
	a.paths = flags.Args()
	if len(a.paths) == 0 {
		return a, fault.New(fault.Invalid, "no trace file or directory given")
	}
	if a.seeds < 1 || a.seeds > maxSeeds {
		return a, fault.New(fault.Invalid, "-seeds %d is not between 1 and %d", a.seeds, maxSeeds)
	}
	return a, nil
}

func readTraces(paths []string) ([]*trace.Trace, error) {
	var traces []*trace.Trace
	for _, path := range paths {
		files, err := traceFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			t, err := trace.ReadFile(file)
			if err != nil {
				return nil, err
			}
			traces = append(traces, t)
		}
	}
	if len(traces) == 0 {
		return nil, fault.New(fault.NotFound, "no *.jsonl files in %s", strings.Join(paths, ", "))
	}
	return traces, nil
}

// traceFiles returns the trace files under path in lexical order. A path of a
// single file may have any suffix.
func traceFiles(path string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && (file == path || strings.HasSuffix(file, ".jsonl")) {
			files = append(files, file)
		}
		return nil
	})
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "trace files")
	}
	slices.Sort(files)
	return files, nil
}

func replayAll(traces []*trace.Trace, a arguments) []Result {
	var results []Result
	for _, t := range traces {
		for i := range a.seeds {
			o := a.options
			o.Seed += uint64(i)
			results = append(results, Run(t, o))
		}
	}
	return results
}

func writeReport(report *Report, a arguments, w io.Writer) error {
	if a.brief {
		report.Results = slices.DeleteFunc(slices.Clone(report.Results), func(r Result) bool { return r.Sequential.Correct })
	}
	if a.json {
		return report.WriteJSON(w)
	}
	return report.WriteText(w)
}
