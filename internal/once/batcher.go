package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// maxTransactions is how many transactions of claims may be open at a time,
// so that one slow answer does not hold back all claims.
const maxTransactions = 4

// Batcher is a Claimer that shares transactions between claims.
type Batcher struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	wake       chan struct{}
	slots      chan struct{}
	running    sync.WaitGroup
	dispatched chan struct{}
	background *background

	mu     sync.Mutex
	queue  []*waiter
	limit  limiter
	closed bool
	stats  Stats
	random *rand.Rand
}

var _ Claimer = (*Batcher)(nil)

// New returns a running Batcher; Close ends it.
func New(cfg Config) *Batcher {
	cfg.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{
		cfg:        cfg,
		ctx:        ctx,
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		slots:      make(chan struct{}, maxTransactions),
		dispatched: make(chan struct{}),
		limit:      newLimiter(cfg.WritesPerSecond, time.Now()),
		random:     cfg.Random,
	}
	b.background = newBackground(b)
	go b.dispatch()
	go b.background.run()
	return b
}

// waiter is a claim that waits for its result.
type waiter struct {
	key     platform.Key
	attempt attempt
	result  chan result
	// maybeWritten is set after a write with an unknown outcome. Only the
	// goroutine that runs the waiter's transaction uses it.
	maybeWritten bool

	mu        sync.Mutex
	settled   bool
	abandoned bool
}

type result struct {
	grant Grant
	err   error
}

// abandon reports whether the caller left before the result was known.
func (w *waiter) abandon() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = !w.settled
	return w.abandoned
}

func (w *waiter) isAbandoned() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abandoned
}

// settle hands over the result and reports whether the caller receives it.
func (w *waiter) settle(r result) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.settled = true
	w.result <- r
	return true
}

// Claim implements Claimer. Besides fault.Invalid it fails with
// fault.Overloaded when too many claims wait, fault.Timeout when the context
// ends first, fault.NotReady after Close, and with fault.Unavailable,
// fault.Throttled or fault.Unauthorized when the platform refuses.
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

// notify wakes the receiver of a channel with capacity one.
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

func (b *Batcher) release(key platform.Key, a attempt, repeats int) {
	expires := time.Now().Add(releaseLifetime)
	b.background.add(job{write: releaseWrite(key, a), expires: expires, repeats: repeats})
}

// Finish implements Claimer.
func (b *Batcher) Finish(key Key, attemptText string, answer Answer) {
	a, err := parseAttempt(attemptText)
	if err != nil || len(answer.Body) > MaxAnswerBytes || len(answer.ContentType) > MaxContentTypeBytes {
		b.background.drop(1)
		return
	}
	now := time.Now()
	write := answerWrite(itemKey(key), a, b.cfg.Holder, answer, now)
	b.background.add(job{write: write, expires: now.Add(answerLifetime)})
}

// Close refuses new claims, then waits until the queued claims are decided and
// the answers and releases are written. Repetitions of a release are not
// waited for. It fails with fault.Timeout when the
// context ends first; what is left by then is given up.
func (b *Batcher) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	notify(b.wake)
	defer b.cancel()
	if err := b.await(ctx, b.dispatched); err != nil {
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
		left := b.Stats()
		return fault.Wrap(ctx.Err(), fault.Timeout, "%d claims and %d answers or releases are left", left.Queued, left.Background)
	}
}

// Stats returns the counts at this moment.
func (b *Batcher) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Queued = len(b.queue)
	stats.Background = b.background.waiting()
	return stats
}

func (b *Batcher) count(change func(*Stats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.stats)
}

// backoff returns a pause with full jitter after the given number of failures.
func (b *Batcher) backoff(failures int) time.Duration {
	ceiling := b.cfg.MinBackoff << min(failures, maxBackoffShift)
	ceiling = min(ceiling, b.cfg.MaxBackoff)
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.random.Int64N(int64(ceiling) + 1))
}

// maxBackoffShift keeps the doubled pause from overflowing.
const maxBackoffShift = 16

// pause sleeps and reports false when the Batcher was ended meanwhile.
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
