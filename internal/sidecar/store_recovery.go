package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minBackoff and maxBackoff bound the delay between retries of a failed call. A
	// daemon reconnects within half a second of the store's return, or within the
	// watch spacing in a large mesh.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// backoff computes the delays between retries. The delay doubles with each
// retry and is jittered, so that the daemons do not retry at the same time.
type backoff struct {
	delay time.Duration
	// maxDelay raises the bound of the delay above maxBackoff.
	maxDelay time.Duration
}

// wait waits for the next delay or until ctx ends.
func (b *backoff) wait(ctx context.Context) {
	b.delay = min(max(2*b.delay, minBackoff), max(maxBackoff, b.maxDelay))
	sleep(ctx, b.delay/2+rand.N(b.delay))
}

// reset makes the next delay the shortest one.
func (b *backoff) reset() { b.delay = 0 }

// storeRecovery cancels the pending watches of all tables when one watch finds
// that the store responds again.
type storeRecovery struct {
	mu        sync.Mutex
	recovered chan struct{}
}

// channel returns a channel that is closed by the next signal.
func (r *storeRecovery) channel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovered == nil {
		r.recovered = make(chan struct{})
	}
	return r.recovered
}

// signal closes the channel that earlier calls of channel returned.
func (r *storeRecovery) signal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovered != nil {
		close(r.recovered)
		r.recovered = nil
	}
}

// lostTables counts the tables whose calls fail. It is safe for concurrent use.
type lostTables struct {
	mu    sync.Mutex
	count int
	// recovering is true once the store responds for one of the tables.
	recovering bool
}

// add records that the calls for a table fail.
func (l *lostTables) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	l.recovering = l.recovering && l.count > 1
}

// remove records that the store responds for a table again, and reports whether it is the
// first one since all of them responded.
func (l *lostTables) remove() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count--
	first := !l.recovering
	l.recovering = true
	return first
}

// none reports whether the store responds for all tables.
func (l *lostTables) none() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count == 0
}

// reset is called before new followers start.
func (l *lostTables) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count, l.recovering = 0, false
}

// untilStoreRecovers returns a context that is also canceled when another watch
// finds that the store responds again.
func (d *Daemon) untilStoreRecovers(ctx context.Context) (context.Context, context.CancelFunc) {
	return contextUntil(ctx, d.recovery.channel())
}

// contextUntil returns a context that is also canceled when the channel is closed.
func contextUntil(ctx context.Context, closed <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
