// Command tracegen generates the recorded traces of moves under testdata/traces.
// Equal flags produce identical files.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/trace"
)

func main() {
	out := flag.String("out", "testdata/traces", "directory in which to write one directory for each user")
	seed := flag.Uint64("seed", 1, "seed of the generator")
	vary := flag.Bool("vary", false, "vary the scale, the times and the magnitude of each fault")
	flag.Parse()
	if err := generate(*out, *seed, *vary); err != nil {
		fmt.Fprintf(os.Stderr, "tracegen: %v\n", err)
		os.Exit(1)
	}
}

// generate writes all traces. Each trace has its own random stream.
func generate(out string, seed uint64, vary bool) error {
	singleService := scenarios()
	for stream, s := range singleService {
		rng := rand.New(rand.NewPCG(seed, uint64(stream)))
		b := newBuilder(s.workload, rng, vary)
		b.trace.Header.Name = s.name
		b.trace.Header.Note = s.note
		b.trace.Header.Outcome = s.outcome
		s.build(b)
		if err := save(filepath.Join(out, b.trace.Header.User), b.build()); err != nil {
			return err
		}
	}
	return generatePairs(out, seed, uint64(len(singleService)), vary)
}

// generatePairs writes the traces in which one ticket moves two services. The first
// random stream follows those of the single-service traces, so that pair scenarios
// do not change the other traces.
func generatePairs(out string, seed, stream uint64, vary bool) error {
	for _, pair := range [][2]workload{{order, mandate}, {storefront, assets}} {
		for i := range pairScenarios {
			rng := rand.New(rand.NewPCG(seed, stream))
			stream++
			t := pairScenarios[i].trace(pair[0], pair[1], rng, vary)
			if err := save(filepath.Join(out, t.Header.User), t); err != nil {
				return err
			}
		}
	}
	return nil
}

// save writes the trace to a file of its name in the directory.
func save(dir string, t *trace.Trace) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fault.Wrap(err, fault.Unavailable, "create directory")
	}
	file, err := os.Create(filepath.Join(dir, t.Header.Name+".jsonl"))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "create trace")
	}
	if err := t.Write(file); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "close trace")
	}
	return nil
}
