package logging_test

import (
	"bytes"
	"encoding/json"
	"log"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/logging"
)

var _ = Describe("Root", func() {
	It("writes one JSON object per line with the VM, component and kind fields that log queries use", func() {
		var buffer bytes.Buffer
		root, err := logging.New(&buffer, "info", "order-1")
		Expect(err).NotTo(HaveOccurred())
		logger := root.Component("peer")
		logger.Debug().Msg("not shown at level info")
		failure := fault.WithDetails(fault.Protocol, "bad \"frame\"\n", []string{"one"})
		logging.Failure(logger.Warn(), failure).Msg("frame refused")
		var line map[string]any
		Expect(json.Unmarshal(buffer.Bytes(), &line)).To(Succeed())
		Expect(line).To(And(
			HaveKeyWithValue("vm", "order-1"), HaveKeyWithValue("component", "peer"), HaveKeyWithValue("level", "warn"),
			HaveKeyWithValue("kind", "protocol"), HaveKeyWithValue("message", "frame refused"), HaveKey("time"),
			HaveKeyWithValue("details", ConsistOf("one")),
		))
	})

	It("rejects an unknown level, guarding against a log that stays empty without an error", func() {
		_, err := logging.New(&bytes.Buffer{}, "loud", "a")
		Expect(fault.KindOf(err)).To(Equal(fault.Invalid))
	})

	It("accepts a nil entry, which a disabled level returns", func() {
		logging.Failure(logging.Discard().Component("x").Info(), fault.New(fault.Internal, "x")).Msg("nothing")
	})
})

var _ = It("writes the lines of the standard logger as bounded JSON lines, guarding against net/http that waits for the standard error stream", func() {
	flags, output := log.Flags(), log.Writer()
	DeferCleanup(func() {
		log.SetFlags(flags)
		log.SetOutput(output)
	})
	var buffer bytes.Buffer
	root, err := logging.New(&buffer, "info", "order-1")
	Expect(err).NotTo(HaveOccurred())
	root.CaptureStandardLog()
	log.Printf("http: %s", strings.Repeat("x", 10000))
	var line map[string]any
	Expect(json.Unmarshal(buffer.Bytes(), &line)).To(Succeed())
	Expect(line).To(And(HaveKeyWithValue("vm", "order-1"), HaveKeyWithValue("level", "warn"), HaveKeyWithValue("message", HavePrefix("http: xxx"))))
	Expect(buffer.Len()).To(BeNumerically("<", 5000))
})

// stalledWriter blocks each write until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written []string
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = append(s.written, string(p))
	return len(p), nil
}

var _ = Describe("AsyncWriter", func() {
	It("drops lines while the reader stalls and counts them, guarding against a daemon that waits for its log", func(ctx SpecContext) {
		stalled := &stalledWriter{release: make(chan struct{})}
		output := logging.NewAsyncWriter(stalled)
		root, err := logging.New(output, "info", "order-1")
		Expect(err).NotTo(HaveOccurred())
		logger := root.Component("peer")
		const lines = 2000
		for i := range lines {
			logger.Info().Int("line", i).Msg("")
		}
		output.Flush(time.Millisecond)
		close(stalled.release)
		output.Flush(time.Second)
		stalled.mu.Lock()
		defer stalled.mu.Unlock()
		kept, dropped := 0, 0
		for _, line := range stalled.written {
			var decoded struct {
				VM    string `json:"vm"`
				Event string `json:"event"`
				Count int    `json:"count"`
			}
			Expect(json.Unmarshal([]byte(line), &decoded)).To(Succeed())
			Expect(decoded.VM).To(Equal("order-1"))
			if decoded.Event == "log-lines-dropped" {
				dropped += decoded.Count
				continue
			}
			kept++
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(kept + dropped).To(Equal(lines))
	}, SpecTimeout(10*time.Second))
})
