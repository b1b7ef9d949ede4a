package integration_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/test/caller"
	"github.com/magnoliamount/magnoliamount/test/fleet"
)

const (
	// uploadBytes is the size of an upload's body, uploadTime how long the
	// caller takes to send it.
	uploadBytes = 3 << 20
	uploadTime  = 1500 * time.Millisecond
	// loadStopLimit bounds the time in which requests in flight complete after
	// a stop begins; it exceeds the routes' timeout of 30 s.
	loadStopLimit = 90 * time.Second
	// probeTime is the duration of the load that is sent after the faults.
	probeTime = 2 * time.Second
)

// runningCaller is a caller process that sends load.
type runningCaller struct {
	name    string
	process *fleet.Process
}

// startLoad starts the steady mixed load: lookups at both services, once-only
// reorders with re-sends through another daemon, and uploads.
func (w *world) startLoad(rate int) {
	w.startCaller("orders", "--rate", fmt.Sprint(rate), "--get-weight", "76", "--once-weight", "20", "--upload-weight", "4",
		"--upload-bytes", fmt.Sprint(uploadBytes), "--upload-time", uploadTime.String(), "--timeout", "45s")
	w.startCaller("mandates", "--rate", fmt.Sprint(max(rate/2, 1)), "--get-weight", "100", "--once-weight", "0", "--upload-weight", "0", "--get-path", "/mandates/7", "--timeout", "45s")
	w.startCaller("archive", "--rate", fmt.Sprint(archiveRate), "--get-weight", "100", "--once-weight", "0", "--upload-weight", "0", "--get-path", "/archive/lookup", "--timeout", "45s")
}

// startCaller starts a caller that sends its requests to all daemons in turn.
func (w *world) startCaller(name string, args ...string) {
	w.callersStarted++
	name = fmt.Sprintf("caller-%d-%s", w.callersStarted, name)
	all := []string{"--prefix", name, "--seed", fmt.Sprint(w.seed), "--record", w.fleet.Path(name + ".jsonl")}
	for _, vm := range w.fleet.VMs() {
		all = append(all, "--listener", vm.Caller)
	}
	process, err := w.fleet.StartCaller(name, append(all, args...)...)
	w.Expect(err).NotTo(gomega.HaveOccurred())
	w.callers = append(w.callers, runningCaller{name, process})
}

// stopLoad stops the callers and returns the sum of their summaries.
func (w *world) stopLoad() caller.Summary {
	for _, l := range w.callers {
		l.process.Signal(syscall.SIGTERM)
	}
	var sum caller.Summary
	for _, l := range w.callers {
		w.Expect(l.process.WaitTimeout(loadStopLimit)).To(gomega.Succeed())
		s := w.summary(l.name)
		sum.Sent += s.Sent
		sum.Answered += s.Answered
		sum.Failed += s.Failed
		sum.NotRun += s.NotRun
		sum.Unknown += s.Unknown
		sum.Unreached += s.Unreached
		sum.Cut += s.Cut
		sum.Wrong += s.Wrong
		sum.Skipped += s.Skipped
		sum.Resent += s.Resent
	}
	return sum
}

// summary reads the summary that a caller prints at its end.
func (w *world) summary(name string) caller.Summary {
	output, err := os.ReadFile(w.fleet.Path(name + ".log"))
	w.Expect(err).NotTo(gomega.HaveOccurred())
	// The Go runtime's messages may precede the summary.
	text := string(output)
	var s caller.Summary
	w.Expect(json.Unmarshal([]byte(text[max(strings.Index(text, "{"), 0):]), &s)).To(gomega.Succeed())
	return s
}

// probe sends a short load after the faults and expects that every request is
// answered.
func (w *world) probe() {
	w.startCaller("probe", "--rate", "40", "--duration", probeTime.String(), "--get-weight", "80", "--once-weight", "20", "--upload-weight", "0", "--attempts", "5", "--timeout", "20s")
	probe := w.callers[len(w.callers)-1]
	w.Expect(probe.process.WaitTimeout(loadStopLimit)).To(gomega.Succeed())
	s := w.summary(probe.name)
	w.logf("probe: %+v", s)
	w.Expect(s.Answered).To(gomega.Equal(s.Sent), "requests after the faults that were not answered")
}
