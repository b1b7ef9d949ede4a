package once

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// Responses and releases are retried for these periods. They are longer than
// the platform's outages, which may last minutes.
const (
	responseRetryPeriod = 2 * time.Minute
	releaseRetryPeriod  = 10 * time.Minute
)

// uncertainReleaseRepeats is how often a release is repeated when a delayed
// request may still write the claim to the table.
const uncertainReleaseRepeats = 3

// MaxContentTypeBytes is the maximum length of the content type of a stored
// response.
const MaxContentTypeBytes = 256

// job is a queued write that stores a response or releases a claim.
type job struct {
	write   platform.Write
	expires time.Time
	// due is the earliest time of the write; zero means immediately.
	due time.Time
	// maxRepeats is how often the write is repeated after it succeeded.
	maxRepeats int
	// repeatCount is the number of repetitions so far.
	repeatCount int
}

// backgroundWriter writes responses and releases in batches, one batch at a time.
type backgroundWriter struct {
	batcher *Batcher
	wake    chan struct{}
	done    chan struct{}

	mu          sync.Mutex
	jobs        []job
	rateLimiter limiter
	closed      bool
	// inFlight is the number of jobs in the open transaction.
	inFlight int
}

func newBackgroundWriter(b *Batcher) *backgroundWriter {
	return &backgroundWriter{
		batcher:     b,
		wake:        make(chan struct{}, 1),
		done:        make(chan struct{}),
		rateLimiter: newLimiter(b.cfg.WritesPerSecond, time.Now()),
	}
}

// add queues a job, or drops it when the queue is full or closed. A dropped job
// leaves a claim without a response, for which later attempts get InDoubt.
func (g *backgroundWriter) add(j job) {
	g.mu.Lock()
	queued := !g.closed && len(g.jobs) < g.batcher.cfg.BackgroundLimit
	if queued {
		g.jobs = append(g.jobs, j)
	}
	g.mu.Unlock()
	if !queued {
		g.drop(1)
		return
	}
	notify(g.wake)
}

func (g *backgroundWriter) drop(n int) {
	g.batcher.updateStats(func(s *Stats) { s.Dropped += uint64(n) })
}

// close makes add reject jobs and discards the queued repetitions.
func (g *backgroundWriter) close() {
	g.mu.Lock()
	g.closed = true
	g.jobs = slices.DeleteFunc(g.jobs, func(j job) bool { return j.repeatCount > 0 })
	g.mu.Unlock()
	notify(g.wake)
}

func (g *backgroundWriter) pendingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs) + g.inFlight
}

// run writes jobs until the Batcher's context ends, or until all jobs are
// written after close.
func (g *backgroundWriter) run() {
	defer close(g.done)
	failures := 0
	for g.waitForJobs() {
		batch := g.takeBatch()
		remaining, err := g.writeBatch(batch)
		g.requeue(remaining)
		if err == nil {
			failures = 0
			continue
		}
		g.batcher.pause(g.batcher.backoff(failures))
		failures++
	}
	g.drop(g.clearJobs())
}

func (g *backgroundWriter) clearJobs() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	discarded := len(g.jobs)
	g.jobs = nil
	return discarded
}

// waitForJobs waits until a job is due, the batch window has passed or the batch
// is full, and the limiter allows a write. It returns false when no more jobs
// will be written.
func (g *backgroundWriter) waitForJobs() bool {
	b := g.batcher
	for {
		due, closed, delay := g.queueState()
		switch {
		case b.ctx.Err() != nil || (due == 0 && closed):
			return false
		case due == 0:
			g.sleep(delay)
		case delay > 0:
			b.pause(delay)
		case due < platform.MaxTransactWrites && !closed:
			return b.pause(b.cfg.BatchWindow)
		default:
			return true
		}
	}
}

// maxIdleSleep is the longest sleep of a background writer without jobs.
const maxIdleSleep = time.Minute

// queueState returns the number of jobs that are due, whether the writer is
// closed, and how long to wait: for the limiter when jobs are due, otherwise for
// the next job.
func (g *backgroundWriter) queueState() (due int, closed bool, delay time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	next := maxIdleSleep
	for i := range g.jobs {
		if wait := g.jobs[i].due.Sub(now); wait > 0 {
			next = min(next, wait)
		} else {
			due++
		}
	}
	if due == 0 {
		return 0, g.closed, next
	}
	return due, g.closed, g.rateLimiter.delay(now)
}

// sleep returns after d, when a job is added, or when the Batcher's context ends.
func (g *backgroundWriter) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.wake:
	case <-g.batcher.ctx.Done():
	}
}

// takeBatch removes a batch with at most one job of each key from the queue, and
// drops expired jobs.
func (g *backgroundWriter) takeBatch() []job {
	now := time.Now()
	g.mu.Lock()
	maxBatch := min(platform.MaxTransactWrites, g.rateLimiter.available(now))
	keys := map[platform.Key]bool{}
	var batch, remaining []job
	expired := 0
	for _, j := range g.jobs {
		key := j.write.Item.Key
		switch {
		case now.After(j.expires):
			expired++
		case len(batch) >= maxBatch || keys[key] || j.due.After(now):
			remaining = append(remaining, j)
		default:
			keys[key] = true
			batch = append(batch, j)
		}
	}
	g.jobs = remaining
	g.inFlight = len(batch)
	g.rateLimiter.spend(now, len(batch))
	g.mu.Unlock()
	g.drop(expired)
	return batch
}

func (g *backgroundWriter) requeue(remaining []job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs = append(remaining, g.jobs...)
	g.inFlight = 0
}

// writeBatch writes the batch and returns the jobs to write again. Jobs with a
// failed condition are not written again: their claim no longer exists, or an
// earlier write of the same job took effect and its response was lost. The
// error is nil when no backoff is needed.
func (g *backgroundWriter) writeBatch(batch []job) ([]job, error) {
	if len(batch) == 0 {
		return nil, nil
	}
	writes := make([]platform.Write, len(batch))
	for i := range batch {
		writes[i] = batch[i].write
	}
	err := g.batcher.transact(writes)
	switch fault.KindOf(err) {
	case "":
		g.recordCompleted(batch)
		return nil, nil
	case fault.ConditionFailed:
		return g.completeConflicts(batch, platform.FailedWrites(err)), nil
	case fault.Invalid:
		g.drop(len(batch))
		return nil, nil
	default:
		return batch, err
	}
}

// completeConflicts records the jobs with a failed condition as completed and
// returns the other jobs.
func (g *backgroundWriter) completeConflicts(batch []job, failed []int) []job {
	isFailed := map[int]bool{}
	for _, i := range failed {
		isFailed[i] = true
	}
	var completed, remaining []job
	for i := range batch {
		if isFailed[i] {
			completed = append(completed, batch[i])
		} else {
			remaining = append(remaining, batch[i])
		}
	}
	g.recordCompleted(completed)
	return remaining
}

// recordCompleted counts the completed jobs and schedules their repetitions.
func (g *backgroundWriter) recordCompleted(jobs []job) {
	for i := range jobs {
		g.scheduleRepeat(jobs[i])
	}
	g.batcher.updateStats(func(s *Stats) {
		for i := range jobs {
			switch {
			case jobs[i].repeatCount > 0:
			case jobs[i].write.Op == platform.Delete:
				s.Released++
			default:
				s.Stored++
			}
		}
	})
}

// scheduleRepeat queues the next repetition of a job, if any is left. Without
// repetitions, a delayed write of the claim could take effect after its release
// and block the key forever.
func (g *backgroundWriter) scheduleRepeat(j job) {
	if j.repeatCount == j.maxRepeats {
		return
	}
	j.due = time.Now().Add(g.batcher.cfg.ReleaseRepeatDelay << j.repeatCount)
	j.repeatCount++
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.jobs = append(g.jobs, j)
	}
}

// transact runs one transaction with the timeout of one operation.
func (b *Batcher) transact(writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(b.ctx, b.cfg.Timeout)
	defer cancel()
	return b.cfg.Table.Transact(ctx, writes)
}

// readClaim reads the claim of the waiter's key and returns the waiter's grant.
func (b *Batcher) readClaim(w *waiter) (Grant, error) {
	ctx, cancel := context.WithTimeout(b.ctx, b.cfg.Timeout)
	defer cancel()
	item, err := b.cfg.Table.Get(ctx, w.key)
	if err != nil {
		return Grant{}, err
	}
	return grantFromItem(item, w.attempt)
}
