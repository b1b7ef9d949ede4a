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
	// ExitOK means that every move under the sequential judge ended rightly.
	ExitOK = 0
	// ExitWrong means that a good move was not done on time or a bad one was
	// not taken back.
	ExitWrong = 1
	// ExitUsage means that the arguments or a trace are invalid.
	ExitUsage = 2
)

// maxSeeds bounds the replays of one trace.
const maxSeeds = 10_000

type arguments struct {
	json    bool
	brief   bool
	seeds   int
	options Options
	paths   []string
}

// Main is the replay command. Arguments are flags and then trace files or
// directories of *.jsonl files. It writes the report or the error to stdout
// and returns the exit code.
func Main(args []string, stdout io.Writer) int {
	a, err := parseArguments(args, stdout)
	if err != nil {
		return usage(stdout, err)
	}
	traces, err := readAll(a.paths)
	if err != nil {
		return usage(stdout, err)
	}
	report := NewReport(runAll(traces, a))
	if err := write(report, a, stdout); err != nil {
		return ExitUsage
	}
	s := &report.Sequential
	if s.GoodOnTime < s.Good || s.BadTakenBack < s.Bad {
		return ExitWrong
	}
	return ExitOK
}

func usage(w io.Writer, err error) int {
	_, _ = fmt.Fprintf(w, "replay: %v\n", err)
	return ExitUsage
}

func parseArguments(args []string, w io.Writer) (arguments, error) {
	var a arguments
	flags := flag.NewFlagSet("replay", flag.ContinueOnError)
	flags.SetOutput(w)
	flags.BoolVar(&a.json, "json", false, "write JSON")
	flags.BoolVar(&a.brief, "brief", false, "write only wrong moves and totals")
	flags.IntVar(&a.seeds, "seeds", 1, "replays of each trace, with successive seeds")
	flags.Uint64Var(&a.options.Seed, "seed", 1, "first seed")
	flags.IntVar(&a.options.Daemons, "daemons", DefaultDaemons, "simulated caller-side daemons")
	flags.DurationVar(&a.options.EvidenceDelay, "delay", DefaultEvidenceDelay, "delay of evidence to the controller")
	flags.DurationVar(&a.options.StepDelay, "step-delay", DefaultStepDelay, "longest delay of steps to the daemons")
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

func readAll(paths []string) ([]*trace.Trace, error) {
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

// traceFiles lists the traces under path, which may be a single file.
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

func runAll(traces []*trace.Trace, a arguments) []Result {
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

func write(report *Report, a arguments, w io.Writer) error {
	if a.brief {
		report.Results = slices.DeleteFunc(slices.Clone(report.Results), func(r Result) bool { return r.Sequential.Right })
	}
	if a.json {
		return report.WriteJSON(w)
	}
	return report.WriteText(w)
}
