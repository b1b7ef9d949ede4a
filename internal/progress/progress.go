// Package progress cancels calls that make no progress. It does not cancel calls
// whose long responses arrive over a slow link.
package progress

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Watchdog cancels a call that makes no progress for a time.
type Watchdog struct {
	timer       *time.Timer
	idleTimeout time.Duration
	progressed  atomic.Bool
}

// Progressed reports whether the call has read any byte.
func (w *Watchdog) Progressed() bool { return w.progressed.Load() }

// NewWatchdog returns a context that is canceled if no byte is read within
// firstByteTimeout, or if after the first byte no further byte is read for
// idleTimeout. The caller must call the returned function to release the timer.
func NewWatchdog(ctx context.Context, firstByteTimeout, idleTimeout time.Duration) (context.Context, *Watchdog, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watchdog{timer: time.AfterFunc(firstByteTimeout, cancel), idleTimeout: idleTimeout}
	return ctx, w, func() {
		w.timer.Stop()
		cancel()
	}
}

// Reader returns a reader of r. Each read that returns data restarts the idle
// timeout.
func (w *Watchdog) Reader(r io.Reader) io.Reader { return &reader{watchdog: w, source: r} }

type reader struct {
	watchdog *Watchdog
	source   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.watchdog.progressed.Store(true)
		r.watchdog.timer.Reset(r.watchdog.idleTimeout)
	}
	return n, err
}
