package logging

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// FlushTimeout is how long an exiting process waits for the reader of its log.
const FlushTimeout = 200 * time.Millisecond

const (
	// maxQueuedLines is the number of lines that wait for a slow reader of the log. A
	// line has a few hundred bytes.
	maxQueuedLines = 512
	// flushInterval is the interval at which Flush checks the queue.
	flushInterval = 2 * time.Millisecond
)

// AsyncWriter passes lines to a writer without blocking the caller. It drops lines
// while its queue is full and then writes how many. It is safe for concurrent use.
type AsyncWriter struct {
	writer  io.Writer
	queue   chan []byte
	pending atomic.Int64
	dropped atomic.Int64
	// logger writes the lines about dropped lines directly to the writer. It is nil
	// until New uses the AsyncWriter.
	logger atomic.Pointer[log.Logger]
}

// NewAsyncWriter returns an AsyncWriter that writes to w until the process exits.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{writer: w, queue: make(chan []byte, maxQueuedLines)}
	go a.run()
	return a
}

// Write implements io.Writer. It reports success also for a line that it drops.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.pending.Add(1)
	select {
	case a.queue <- bytes.Clone(line):
	default:
		a.pending.Add(-1)
		a.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines. The daemon goes on without its log, so errors of the
// writer are ignored.
func (a *AsyncWriter) run() {
	for line := range a.queue {
		if logger := a.logger.Load(); logger != nil && a.dropped.Load() > 0 {
			logger.Warn().Str("event", "log-lines-dropped").Int64("count", a.dropped.Swap(0)).Msg("the reader of the log was too slow")
		}
		_, _ = a.writer.Write(line)
		a.pending.Add(-1)
	}
}

// Flush waits until all lines are written or the timeout has passed.
func (a *AsyncWriter) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); a.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushInterval)
	}
}
