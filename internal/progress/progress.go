// Package progress ends calls that make no progress, and leaves those alone
// whose answers are long and come over a slow link.
package progress

import (
	"context"
	"io"
	"time"
)

// Watch ends a call that makes no progress for a time.
type Watch struct {
	timer *time.Timer
	quiet time.Duration
}

// New returns a context that ends once nothing was read for the time first, and
// after the first byte for the time quiet. The function releases it.
func New(ctx context.Context, first, quiet time.Duration) (context.Context, *Watch, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watch{timer: time.AfterFunc(first, cancel), quiet: quiet}
	return ctx, w, func() {
		w.timer.Stop()
		cancel()
	}
}

// Reader returns a reader whose reads count as progress.
func (w *Watch) Reader(r io.Reader) io.Reader { return &reader{watch: w, from: r} }

type reader struct {
	watch *Watch
	from  io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.watch.timer.Reset(r.watch.quiet)
	}
	return n, err
}
