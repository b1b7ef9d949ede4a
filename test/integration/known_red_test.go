package integration_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// maxFailureLines is the number of lines of a failure that are repeated at the
// end of the output.
const maxFailureLines = 8

// stopSpecScenarios names the scenarios with a separate spec about the time until
// the bad version stops getting requests.
var stopSpecScenarios = []string{"bad-at-once", "bad-later", "bad-under-load", "bad-on-one-route", "bad-version-and-outage"}

// defineStopSpec defines the spec about the time during which a scenario's bad
// version still got requests after the evidence against it was sufficient.
func defineStopSpec(name string) {
	spec := name + "-stops"
	It(spec+": guards against a bad version that still gets requests after the evidence against it is sufficient", func() {
		scenarioRunner.once.Do(scenarioRunner.start)
		o := scenarioRunner.outcomes[name]
		<-o.done
		failUnlessKnown(spec, o.stopFailure)
	})
}

// failUnlessKnown fails the spec if failure is not empty. If KNOWN-RED.txt lists
// the spec, it only prints the failure.
func failUnlessKnown(spec, failure string) {
	switch {
	case failure == "":
	case knownRed(spec):
		fmt.Printf("KNOWN RED %s: %s", spec, failure)
	default:
		Fail(failure)
	}
}

// knownRed reports whether KNOWN-RED.txt lists the spec. Each line of the file
// that is not indented begins with the name of a spec and a colon.
func knownRed(spec string) bool {
	content, err := os.ReadFile(filepath.Join("..", "..", "KNOWN-RED.txt"))
	if os.IsNotExist(err) {
		return false
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, spec+":") {
			return true
		}
	}
	return false
}

// printFailures repeats the first lines of each failure at the end of the
// output, because CI keeps only that part.
func printFailures() {
	for _, s := range scenarios {
		o := scenarioRunner.outcomes[s.name]
		if o == nil || o.failure+o.stopFailure == "" {
			continue
		}
		lines := strings.Split(strings.TrimSpace(o.failure+o.stopFailure), "\n")
		fmt.Printf("FAILED OR KNOWN RED %s, seed %d:\n  %s\n", s.name, s.seed, strings.Join(lines[:min(len(lines), maxFailureLines)], "\n  "))
	}
}
