// Command rig runs one case of the review against the project's own program: it
// starts a small deployment on loopback addresses, brings the disruption of the
// case about, and checks the rule that the case names.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It returns whether the rule was broken.
type scenario func(record *recorder, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"late-heartbeat":      lateHeartbeat,
	"crash-lookalike":     crashLookalike,
	"crash-after-leaving": crashAfterLeaving,
	"crash-distinct":      crashDistinct,
	"readers-dark":        readersDark,
}

// errUnfit is the reason of a run that cannot show anything.
var errUnfit = errors.New("the case could not run")

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig: unknown case", os.Args[1])
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := play(record, trouble)
	switch {
	case err != nil:
		record.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	case broken:
		record.add("result: the rule was broken")
		return exitBroken
	}
	record.add("result: the rule held")
	return exitHeld
}
