package once

import (
	"context"
	"slices"
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

// lateRepeats is how often a release is repeated when a request that writes
// the claim may still be on its way to the table.
const lateRepeats = 3

// MaxContentTypeBytes is the longest content type of an answer that is kept.
const MaxContentTypeBytes = 256

// job is an answer or a release that waits to be written.
type job struct {
	write   platform.Write
	expires time.Time
	// due is the earliest time of the write; zero means at once.
	due time.Time
	// repeats is how often the write is repeated after it was carried out.
	repeats int
	// repeated is the number of repetitions so far.
	repeated int
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

// close accepts no more jobs and discards the repetitions that wait.
func (g *background) close() {
	g.mu.Lock()
	g.closed = true
	g.jobs = slices.DeleteFunc(g.jobs, func(j job) bool { return j.repeated > 0 })
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
	g.drop(g.clear())
}

func (g *background) clear() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := len(g.jobs)
	g.jobs = nil
	return left
}

func (g *background) waitForJobs() bool {
	b := g.batcher
	for {
		due, closed, delay := g.look()
		switch {
		case b.ctx.Err() != nil || (due == 0 && closed):
			return false
		case due == 0:
			g.sleep(delay)
		case delay > 0:
			b.pause(delay)
		case due < platform.MaxTransactWrites && !closed:
			return b.pause(b.cfg.Window)
		default:
			return true
		}
	}
}

// idlePause is the longest sleep of a background writer without jobs.
const idlePause = time.Minute

// look returns the number of jobs that are due, and how long to wait: for the
// limiter when there are such jobs, for the next job otherwise.
func (g *background) look() (due int, closed bool, delay time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	next := idlePause
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
	return due, g.closed, g.limit.delay(now)
}

// sleep waits for the time, a new job, or the end.
func (g *background) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.wake:
	case <-g.batcher.ctx.Done():
	}
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
		case len(batch) >= room || taken[key] || j.due.After(now):
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

// finished counts the jobs and queues their repetitions.
func (g *background) finished(jobs []job) {
	for i := range jobs {
		g.repeat(jobs[i])
	}
	g.batcher.count(func(s *Stats) {
		for i := range jobs {
			switch {
			case jobs[i].repeated > 0:
			case jobs[i].write.Op == platform.Delete:
				s.Released++
			default:
				s.Kept++
			}
		}
	})
}

// repeat queues the next repetition of a job, if it has one. The first write
// of a claim that is released may come late and would otherwise hold the key
// for ever.
func (g *background) repeat(j job) {
	if j.repeated == j.repeats {
		return
	}
	j.due = time.Now().Add(g.batcher.cfg.LatePause << j.repeated)
	j.repeated++
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.jobs = append(g.jobs, j)
	}
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
