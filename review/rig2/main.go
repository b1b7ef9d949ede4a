// Command rig2 plays the scripts of the second review: it starts the daemons of a small
// deployment as processes, with stand-ins for the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a script.
type verdict struct {
	broken bool
	text   string
}

// cases holds the scripts by name. trouble is false for the play without the disruption.
var cases = map[string]func(rec *recorder, trouble bool) (verdict, error){
	"odd-heartbeat":    oddHeartbeat,
	"wrong-framing":    wrongFraming,
	"encoded-slash":    encodedSlash,
	"lost-watch":       lostWatch,
	"readers-rejected": readersRejected,
}

// Exit codes of a script.
const (
	held = iota
	broken
	notRun
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return notRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.file.Close()
	go endEarly()
	v, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("script", "could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.add("script", "%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return broken
	}
	return held
}

// maxDuration is how long a script may take.
const maxDuration = 115 * time.Second

// processes are those that the script has started.
var (
	processesMu sync.Mutex
	processes   []*os.Process
)

// endEarly ends all processes and the script when it is interrupted or takes too long.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	processesMu.Lock()
	for _, p := range processes {
		// It may have ended.
		_ = p.Kill()
	}
	os.Exit(notRun)
}
