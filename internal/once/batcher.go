package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// maxConcurrentTransactions limits the concurrent transactions that write claims.
// It is more than one so that one slow response does not delay all claims.
const maxConcurrentTransactions = 4

// Batcher is a Claimer that writes several claims in one transaction.
type Batcher struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	wake             chan struct{}
	transactionSlots chan struct{}
	activeBatches    sync.WaitGroup
	dispatchDone     chan struct{}
	background       *backgroundWriter

	mu          sync.Mutex
	queue       []*waiter
	rateLimiter limiter
	closed      bool
	stats       Stats
	random      *rand.Rand
}

var _ Claimer = (*Batcher)(nil)

// New starts and returns a Batcher; Close stops it.
func New(cfg Config) *Batcher {
	cfg.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{
		cfg:              cfg,
		ctx:              ctx,
		cancel:           cancel,
		wake:             make(chan struct{}, 1),
		transactionSlots: make(chan struct{}, maxConcurrentTransactions),
		dispatchDone:     make(chan struct{}),
		rateLimiter:      newLimiter(cfg.WritesPerSecond, time.Now()),
		random:           cfg.Random,
	}
	b.background = newBackgroundWriter(b)
	go b.dispatch()
	go b.background.run()
	return b
}

// waiter is a claim whose caller waits for the result.
type waiter struct {
	key     platform.Key
	attempt attempt
	result  chan result
	// maybeWritten is set after a write with an unknown outcome. Only the
	// goroutine that runs the waiter's transaction uses it.
	maybeWritten bool

	mu        sync.Mutex
	delivered bool
	abandoned bool
}

type result struct {
	grant Grant
	err   error
}

// abandon marks the waiter as abandoned unless its result was delivered, and
// reports whether it did.
func (w *waiter) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = !w.delivered
	return w.abandoned
}

func (w *waiter) isAbandoned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abandoned
}

// deliver sends the result to the caller. It returns false if the caller has
// abandoned the claim.
func (w *waiter) deliver(r result) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.delivered = true
	w.result <- r
	return true
}

// Claim implements Claimer. Besides fault.Invalid it fails with
// fault.Overloaded when the queue is full, fault.Timeout when the context ends
// first, fault.NotReady after Close, and fault.Unavailable, fault.Throttled or
// fault.Unauthorized when the platform does not carry out the operation.
func (b *Batcher) Claim(ctx context.Context, key Key, digest string) (Grant, error) {
	if err := validateClaim(key, digest); err != nil {
		return Grant{}, err
	}
	w := &waiter{key: itemKey(key), attempt: newAttempt(digest), result: make(chan result, 1)}
	if err := b.enqueue(w); err != nil {
		return Grant{}, err
	}
	select {
	case r := <-w.result:
		return r.grant, r.err
	case <-ctx.Done():
	}
	if w.abandon() {
		return Grant{}, fault.Wrap(ctx.Err(), fault.Timeout, "the claim was not decided in time")
	}
	r := <-w.result
	return r.grant, r.err
}

func (b *Batcher) enqueue(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return fault.New(fault.NotReady, "claims are closed")
	}
	if len(b.queue) >= b.cfg.QueueLimit {
		return fault.New(fault.Overloaded, "%d claims are waiting", len(b.queue))
	}
	b.queue = append(b.queue, w)
	notify(b.wake)
	return nil
}

// notify wakes the receiver of a channel with capacity one. It does not block.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Release implements Claimer.
func (b *Batcher) Release(key Key, attemptText string) {
	a, err := parseAttempt(attemptText)
	if err != nil {
		b.background.drop(1)
		return
	}
	b.release(itemKey(key), a, 0)
}

// release queues the release of a claim, which is repeated the given number of
// times.
func (b *Batcher) release(key platform.Key, a attempt, maxRepeats int) {
	expires := time.Now().Add(releaseRetryPeriod)
	b.background.add(job{write: releaseWrite(key, a), expires: expires, maxRepeats: maxRepeats})
}

// Finish implements Claimer.
func (b *Batcher) Finish(key Key, attemptText string, response Response) {
	a, err := parseAttempt(attemptText)
	if err != nil || len(response.Body) > MaxResponseBodyBytes || len(response.ContentType) > MaxContentTypeBytes {
		b.background.drop(1)
		return
	}
	now := time.Now()
	write := responseWrite(itemKey(key), a, b.cfg.Holder, response, now)
	b.background.add(job{write: write, expires: now.Add(responseRetryPeriod)})
}

// Close rejects new claims, then waits until the queued claims have a result and
// the responses and releases are written. It does not wait for repetitions of a
// release. It fails with fault.Timeout when the context ends first; claims,
// responses and releases that are still queued are then discarded.
func (b *Batcher) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	notify(b.wake)
	defer b.cancel()
	if err := b.await(ctx, b.dispatchDone); err != nil {
		return err
	}
	b.background.close()
	return b.await(ctx, b.background.done)
}

func (b *Batcher) await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		stats := b.Stats()
		return fault.Wrap(ctx.Err(), fault.Timeout, "the batcher closed with %d claims and %d responses or releases still queued", stats.Queued, stats.Background)
	}
}

// Stats returns the current counters.
func (b *Batcher) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Queued = len(b.queue)
	stats.Background = b.background.pendingCount()
	return stats
}

func (b *Batcher) updateStats(update func(*Stats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	update(&b.stats)
}

// backoff returns the exponential backoff with full jitter after the given number
// of earlier failures.
func (b *Batcher) backoff(failures int) time.Duration {
	ceiling := b.cfg.MinBackoff << min(failures, maxBackoffShift)
	ceiling = min(ceiling, b.cfg.MaxBackoff)
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.Int64N(int64(ceiling) + 1))
}

// maxBackoffShift limits the number of doublings so that the backoff does not
// overflow.
const maxBackoffShift = 16

// pause sleeps for d. It returns false if the Batcher's context ends first.
func (b *Batcher) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.ctx.Done():
		return false
	}
}
