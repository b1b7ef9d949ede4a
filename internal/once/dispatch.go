package once

import (
	"slices"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// dispatch takes batches from the queue and runs them until the Batcher is
// closed and the queue is empty.
func (b *Batcher) dispatch() {
	defer close(b.dispatchDone)
	for b.waitForClaims() {
		if !b.acquireTransactionSlot() {
			break
		}
		batch := b.takeBatch()
		b.activeBatches.Go(func() {
			defer func() { <-b.transactionSlots }()
			b.runBatch(batch)
		})
	}
	b.failQueue()
	b.activeBatches.Wait()
}

// waitForClaims waits until a claim is queued, the batch window has passed or
// the batch is full, and the limiter allows a write. It returns false when no
// more claims will be dispatched.
func (b *Batcher) waitForClaims() bool {
	for {
		queued, closed, delay := b.queueState()
		switch {
		case b.ctx.Err() != nil || (queued == 0 && closed):
			return false
		case queued == 0:
			select {
			case <-b.wake:
			case <-b.ctx.Done():
			}
		case delay > 0:
			b.pause(delay)
		case queued < platform.MaxTransactWrites && !closed:
			return b.pause(b.cfg.BatchWindow)
		default:
			return true
		}
	}
}

// queueState returns the number of queued claims, whether the Batcher is closed,
// and the time until the limiter allows a write.
func (b *Batcher) queueState() (queued int, closed bool, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue), b.closed, b.rateLimiter.delay(time.Now())
}

func (b *Batcher) acquireTransactionSlot() bool {
	select {
	case b.transactionSlots <- struct{}{}:
		return true
	case <-b.ctx.Done():
		return false
	}
}

// takeBatch removes a batch from the queue. A batch has at most one claim of
// each key, because a transaction may not contain an item twice; a second claim of
// a key stays in the queue. Claims whose callers stopped waiting are discarded.
func (b *Batcher) takeBatch() []*waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	maxBatch := min(platform.MaxTransactWrites, b.rateLimiter.available(time.Now()))
	keys := map[platform.Key]bool{}
	var batch, remaining []*waiter
	for _, w := range b.queue {
		switch {
		case w.isAbandoned():
		case len(batch) >= maxBatch || keys[w.key]:
			remaining = append(remaining, w)
		default:
			keys[w.key] = true
			batch = append(batch, w)
		}
	}
	b.queue = remaining
	b.rateLimiter.spend(time.Now(), len(batch))
	return batch
}

// failQueue fails the claims that are still queued when dispatch ends.
func (b *Batcher) failQueue() {
	b.mu.Lock()
	remaining := b.queue
	b.queue = nil
	b.mu.Unlock()
	for _, w := range remaining {
		b.complete(w, Grant{}, fault.New(fault.NotReady, "claims were closed before this one was written"))
	}
}

// complete delivers the result of a claim. It releases a claim that was granted
// after its caller stopped waiting, and one that failed but may have been written.
func (b *Batcher) complete(w *waiter, grant Grant, err error) {
	delivered := w.deliver(result{grant: grant, err: err})
	granted := grant.Decision == Granted
	switch {
	case err != nil && w.maybeWritten:
		b.release(w.key, w.attempt, uncertainReleaseRepeats)
	case granted && !delivered:
		b.release(w.key, w.attempt, 0)
	}
	b.updateStats(func(s *Stats) {
		switch {
		case err != nil:
			s.Failed++
		case granted:
			s.Granted++
		case grant.Decision == Replay:
			s.Replayed++
		default:
			s.InDoubt++
		}
	})
}

// Limits of the rounds of one batch. Each round is one transaction.
const (
	// maxBatchRounds is the maximum number of rounds of any kind.
	maxBatchRounds = 8
	// maxBatchRetries is the maximum number of retries after a throttled round
	// or one with an unknown outcome.
	maxBatchRetries = 3
)

// runBatch writes the claims in one or more rounds until each has a result.
func (b *Batcher) runBatch(pending []*waiter) {
	failures := 0
	for round := 1; len(pending) > 0; round++ {
		err := b.writeClaims(pending, round > 1)
		if fault.Is(err, fault.ConditionFailed) && round < maxBatchRounds {
			pending = b.resolveConflicts(pending, platform.FailedWrites(err))
			continue
		}
		if retryable(err) && failures < maxBatchRetries {
			pending = b.handleFailure(pending, err, failures)
			failures++
			continue
		}
		b.completeAll(pending, err)
		return
	}
}

func retryable(err error) bool {
	return fault.Is(err, fault.Throttled) || fault.Is(err, fault.UnknownOutcome)
}

// writeClaims writes the claims in one transaction. takeBatch spends the
// limiter's tokens for the first round only, so later rounds spend theirs here.
func (b *Batcher) writeClaims(pending []*waiter, retried bool) error {
	now := time.Now()
	writes := make([]platform.Write, len(pending))
	for i, w := range pending {
		writes[i] = claimWrite(w.key, w.attempt, b.cfg.Holder, now)
	}
	b.updateStats(func(s *Stats) {
		s.Transactions++
		s.Writes += uint64(len(writes))
		if retried {
			b.rateLimiter.spend(now, len(writes))
		}
	})
	return b.transact(writes)
}

// completeAll completes all claims with the same result.
func (b *Batcher) completeAll(pending []*waiter, err error) {
	if fault.Is(err, fault.UnknownOutcome) || fault.Is(err, fault.ConditionFailed) {
		err = fault.Wrap(err, fault.Unavailable, "the claim could not be decided")
	}
	for _, w := range pending {
		if err != nil {
			b.complete(w, Grant{}, err)
			continue
		}
		b.complete(w, Grant{Decision: Granted, Attempt: w.attempt.String()}, nil)
	}
}

// handleFailure returns the claims to write again after a round that was
// throttled or whose response was lost. A transaction takes effect as a whole,
// so reading one claim shows whether all of them were written.
func (b *Batcher) handleFailure(pending []*waiter, err error, failures int) []*waiter {
	if fault.Is(err, fault.Throttled) {
		b.pause(b.backoff(failures))
		return pending
	}
	for _, w := range pending {
		w.maybeWritten = true
	}
	first := pending[0]
	grant, err := b.readClaim(first)
	switch {
	case fault.Is(err, fault.NotFound) || fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Throttled):
		// The delayed write may still take effect. The next round repeats it
		// with the same attempts: either it succeeds, or its conditions fail
		// and the claims are read again.
		b.pause(b.backoff(failures))
		return pending
	case err == nil && grant.Decision == Granted:
		b.completeAll(pending, nil)
		return nil
	default:
		b.complete(first, grant, err)
		return pending[1:]
	}
}

// resolveConflicts reads the claims whose conditions failed and completes them.
// It returns the claims that have to be written again.
func (b *Batcher) resolveConflicts(pending []*waiter, failed []int) []*waiter {
	var conflicting, unwritten []*waiter
	for i, w := range pending {
		if slices.Contains(failed, i) {
			conflicting = append(conflicting, w)
		} else {
			unwritten = append(unwritten, w)
		}
	}
	return append(unwritten, b.resolveExisting(conflicting)...)
}

// maxConcurrentReads limits the concurrent reads of claims of one batch.
const maxConcurrentReads = 8

// resolveExisting reads claims that exist in the table and completes them. It
// returns the claims that were released since the failed write.
func (b *Batcher) resolveExisting(existing []*waiter) []*waiter {
	var (
		mu       sync.Mutex
		reads    sync.WaitGroup
		released []*waiter
	)
	readSlots := make(chan struct{}, maxConcurrentReads)
	for _, w := range existing {
		readSlots <- struct{}{}
		reads.Go(func() {
			defer func() { <-readSlots }()
			grant, err := b.readClaim(w)
			if !fault.Is(err, fault.NotFound) {
				b.complete(w, grant, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			released = append(released, w)
		})
	}
	reads.Wait()
	return released
}
