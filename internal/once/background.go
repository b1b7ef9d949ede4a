package once

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/platform"
)

// How long answers and releases are retried. They outlast the minutes for
// which the platform may be down.
const (
	answerLifetime  = 2 * time.Minute
	releaseLifetime = 10 * time.Minute
)

// MaxContentTypeBytes is the longest content type of an answer that is kept.
const MaxContentTypeBytes = 256

// job is an answer or a release that waits to be written.
type job struct {
	write   platform.Write
	expires time.Time
}

// background writes answers and releases, in batches and one batch at a time.
type background struct {
	batcher *Batcher
	wake    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	jobs   []job
	limit  limiter
	closed bool
	// writing is the number of jobs in the open transaction.
	writing int
}

func newBackground(b *Batcher) *background {
	return &background{
		batcher: b,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		limit:   newLimiter(b.cfg.WritesPerSecond, time.Now()),
	}
}

// add queues a job, or drops it when too many wait. A dropped job leaves a
// claim without an answer, which later attempts see as InDoubt.
func (g *background) add(j job) {
	g.mu.Lock()
	accepted := !g.closed && len(g.jobs) < g.batcher.cfg.BackgroundLimit
	if accepted {
		g.jobs = append(g.jobs, j)
	}
	g.mu.Unlock()
	if !accepted {
		g.drop(1)
		return
	}
	notify(g.wake)
}

func (g *background) drop(n int) {
	g.batcher.count(func(s *Stats) { s.Dropped += uint64(n) })
}

func (g *background) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	notify(g.wake)
}

func (g *background) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs) + g.writing
}

// run writes jobs until the Batcher ends or all are written after close.
func (g *background) run() {
	defer close(g.done)
	failures := 0
	for g.waitForJobs() {
		batch := g.take()
		left, err := g.write(batch)
		g.putBack(left)
		if err == nil {
			failures = 0
			continue
		}
		g.batcher.pause(g.batcher.backoff(failures))
		failures++
	}
	g.drop(g.waiting())
}

func (g *background) waitForJobs() bool {
	b := g.batcher
	for {
		queued, closed, delay := g.look()
		switch {
		case b.ctx.Err() != nil || (queued == 0 && closed):
			return false
		case queued == 0:
			select {
			case <-g.wake:
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

func (g *background) look() (queued int, closed bool, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.jobs), g.closed, g.limit.delay(time.Now())
}

// take removes a batch with each key at most once, and drops expired jobs.
func (g *background) take() []job {
	now := time.Now()
	g.mu.Lock()
	room := min(platform.MaxTransactWrites, g.limit.available(now))
	taken := map[platform.Key]bool{}
	var batch, left []job
	expired := 0
	for _, j := range g.jobs {
		key := j.write.Item.Key
		switch {
		case now.After(j.expires):
			expired++
		case len(batch) >= room || taken[key]:
			left = append(left, j)
		default:
			taken[key] = true
			batch = append(batch, j)
		}
	}
	g.jobs = left
	g.writing = len(batch)
	g.limit.spend(now, len(batch))
	g.mu.Unlock()
	g.drop(expired)
	return batch
}

func (g *background) putBack(left []job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs = append(left, g.jobs...)
	g.writing = 0
}

// write carries out the batch and returns the jobs to repeat. After a failed
// condition only the others are repeated: the claim then is gone, or an
// earlier write of the same job took effect and its answer was lost. The
// error is nil when no pause is needed.
func (g *background) write(batch []job) ([]job, error) {
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
		g.finished(batch)
		return nil, nil
	case fault.ConditionFailed:
		return g.withoutFailed(batch, platform.FailedWrites(err)), nil
	case fault.Invalid:
		g.drop(len(batch))
		return nil, nil
	default:
		return batch, err
	}
}

func (g *background) withoutFailed(batch []job, failed []int) []job {
	isFailed := map[int]bool{}
	for _, i := range failed {
		isFailed[i] = true
	}
	var gone, left []job
	for i := range batch {
		if isFailed[i] {
			gone = append(gone, batch[i])
		} else {
			left = append(left, batch[i])
		}
	}
	g.finished(gone)
	return left
}

func (g *background) finished(jobs []job) {
	g.batcher.count(func(s *Stats) {
		for i := range jobs {
			if jobs[i].write.Op == platform.Delete {
				s.Released++
			} else {
				s.Kept++
			}
		}
	})
}

// transact carries out writes within the time of one operation.
func (b *Batcher) transact(writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(b.ctx, b.cfg.Timeout)
	defer cancel()
	return b.cfg.Table.Transact(ctx, writes)
}

// read returns what the claim of the waiter's key means for it.
func (b *Batcher) read(w *waiter) (Grant, error) {
	ctx, cancel := context.WithTimeout(b.ctx, b.cfg.Timeout)
	defer cancel()
	item, err := b.cfg.Table.Get(ctx, w.key)
	if err != nil {
		return Grant{}, err
	}
	return judge(item, w.attempt)
}
