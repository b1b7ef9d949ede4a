// Command tracegen writes the recorded moves under testdata/traces. The same
// flags write the same files.
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
	out := flag.String("out", "testdata/traces", "directory that takes one directory for each user")
	seed := flag.Uint64("seed", 1, "seed of the generator")
	vary := flag.Bool("vary", false, "vary the scale, the times and the size of each fault")
	flag.Parse()
	if err := generate(*out, *seed, *vary); err != nil {
		fmt.Fprintf(os.Stderr, "tracegen: %v\n", err)
		os.Exit(1)
	}
}

func generate(out string, seed uint64, vary bool) error {
	single := scenarios()
	for stream, s := range single {
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
	return generatePairs(out, seed, uint64(len(single)), vary)
}

// generatePairs writes the traces of two services at once. Their streams
// follow those of the other traces, which stay as they are.
func generatePairs(out string, seed, stream uint64, vary bool) error {
	for _, pair := range [][2]workload{{order, mandate}, {storefront, assets}} {
		for i := range pairKinds {
			rng := rand.New(rand.NewPCG(seed, stream))
			stream++
			t := pairKinds[i].trace(pair[0], pair[1], rng, vary)
			if err := save(filepath.Join(out, t.Header.User), t); err != nil {
				return err
			}
		}
	}
	return nil
}

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
