package once

import (
	"slices"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// dispatch forms batches until the Batcher is closed and the queue is empty.
func (b *Batcher) dispatch() {
	defer close(b.dispatched)
	for b.waitForClaims() {
		if !b.acquireSlot() {
			break
		}
		batch := b.take()
		b.running.Go(func() {
			defer func() { <-b.slots }()
			b.runBatch(batch)
		})
	}
	b.failQueue()
	b.running.Wait()
}

// waitForClaims waits until a claim is queued, others had the window to join
// it, and the limiter allows a write. It reports false at the end.
func (b *Batcher) waitForClaims() bool {
	for {
		queued, closed, delay := b.look()
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
			return b.pause(b.cfg.Window)
		default:
			return true
		}
	}
}

func (b *Batcher) look() (queued int, closed bool, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue), b.closed, b.limit.delay(time.Now())
}

func (b *Batcher) acquireSlot() bool {
	select {
	case b.slots <- struct{}{}:
		return true
	case <-b.ctx.Done():
		return false
	}
}

// take removes a batch from the queue. Each key is taken once, because a
// transaction may not name an item twice; a second claim of a key stays in the
// queue. Claims whose callers left are discarded.
func (b *Batcher) take() []*waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := min(platform.MaxTransactWrites, b.limit.available(time.Now()))
	taken := map[platform.Key]bool{}
	var batch, left []*waiter
	for _, w := range b.queue {
		switch {
		case w.isAbandoned():
		case len(batch) >= room || taken[w.key]:
			left = append(left, w)
		default:
			taken[w.key] = true
			batch = append(batch, w)
		}
	}
	b.queue = left
	b.limit.spend(time.Now(), len(batch))
	return batch
}

// failQueue answers the claims that were not taken before the end.
func (b *Batcher) failQueue() {
	b.mu.Lock()
	left := b.queue
	b.queue = nil
	b.mu.Unlock()
	for _, w := range left {
		b.settle(w, Grant{}, fault.New(fault.NotReady, "claims were closed before this one was written"))
	}
}

// settle hands over a result. A claim that was granted after its caller left
// is released, and so is one that failed but may have been written.
func (b *Batcher) settle(w *waiter, grant Grant, err error) {
	received := w.settle(result{grant: grant, err: err})
	granted := grant.Decision == Granted
	switch {
	case err != nil && w.maybeWritten:
		b.release(w.key, w.attempt, lateRepeats)
	case granted && !received:
		b.release(w.key, w.attempt, 0)
	}
	b.count(func(s *Stats) {
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

// Limits of the rounds of one batch.
const (
	// maxRounds bounds all rounds.
	maxRounds = 8
	// maxFailures bounds the rounds that were throttled or whose outcome was
	// not known.
	maxFailures = 3
)

// runBatch writes the claims, round after round, until each is decided.
func (b *Batcher) runBatch(pending []*waiter) {
	failures := 0
	for round := 1; len(pending) > 0; round++ {
		err := b.writeClaims(pending, round > 1)
		if fault.Is(err, fault.ConditionFailed) && round < maxRounds {
			pending = b.withoutFailed(pending, platform.FailedWrites(err))
			continue
		}
		if retryable(err) && failures < maxFailures {
			pending = b.afterFailure(pending, err, failures)
			failures++
			continue
		}
		b.settleAll(pending, err)
		return
	}
}

func retryable(err error) bool {
	return fault.Is(err, fault.Throttled) || fault.Is(err, fault.UnknownOutcome)
}

// writeClaims writes the claims in one transaction. A repeated transaction
// was not counted by the limiter when the batch was taken.
func (b *Batcher) writeClaims(pending []*waiter, repeated bool) error {
	now := time.Now()
	writes := make([]platform.Write, len(pending))
	for i, w := range pending {
		writes[i] = claimWrite(w.key, w.attempt, b.cfg.Holder, now)
	}
	b.count(func(s *Stats) {
		s.Transactions++
		s.Writes += uint64(len(writes))
		if repeated {
			b.limit.spend(now, len(writes))
		}
	})
	return b.transact(writes)
}

// settleAll gives all claims the same result.
func (b *Batcher) settleAll(pending []*waiter, err error) {
	if fault.Is(err, fault.UnknownOutcome) || fault.Is(err, fault.ConditionFailed) {
		err = fault.Wrap(err, fault.Unavailable, "the claim could not be decided")
	}
	for _, w := range pending {
		if err != nil {
			b.settle(w, Grant{}, err)
			continue
		}
		b.settle(w, Grant{Decision: Granted, Attempt: w.attempt.String()}, nil)
	}
}

// afterFailure returns the claims to write again after a throttled or lost
// answer. A transaction takes effect as a whole, so one claim shows whether
// all of them were written.
func (b *Batcher) afterFailure(pending []*waiter, err error, failures int) []*waiter {
	if fault.Is(err, fault.Throttled) {
		b.pause(b.backoff(failures))
		return pending
	}
	for _, w := range pending {
		w.maybeWritten = true
	}
	first := pending[0]
	grant, err := b.read(first)
	switch {
	case fault.Is(err, fault.NotFound) || fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Throttled):
		// The write may still be on its way. The next round repeats it with
		// the same attempts: then either it succeeds or its conditions fail,
		// and the claims are read again.
		b.pause(b.backoff(failures))
		return pending
	case err == nil && grant.Decision == Granted:
		b.settleAll(pending, nil)
		return nil
	default:
		b.settle(first, grant, err)
		return pending[1:]
	}
}

// withoutFailed decides the claims whose conditions failed, and returns those
// that have to be written again.
func (b *Batcher) withoutFailed(pending []*waiter, failed []int) []*waiter {
	var held, again []*waiter
	for i, w := range pending {
		if slices.Contains(failed, i) {
			held = append(held, w)
		} else {
			again = append(again, w)
		}
	}
	return append(again, b.decideHeld(held)...)
}

// maxReads is how many claims of a batch are read at a time.
const maxReads = 8

// decideHeld reads claims that somebody holds. It returns those that were
// released in the meantime.
func (b *Batcher) decideHeld(held []*waiter) []*waiter {
	var (
		mu       sync.Mutex
		reads    sync.WaitGroup
		released []*waiter
	)
	slots := make(chan struct{}, maxReads)
	for _, w := range held {
		slots <- struct{}{}
		reads.Go(func() {
			defer func() { <-slots }()
			grant, err := b.read(w)
			if !fault.Is(err, fault.NotFound) {
				b.settle(w, grant, err)
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
