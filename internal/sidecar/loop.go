package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// loopQueueTasks is the number of tasks that can wait for the event loop.
const loopQueueTasks = 1024

// loop is the queue of the event loop, which runs tasks one at a time. Only its
// tasks access the node and the local target.
type loop struct {
	tasks chan func(now time.Time)
	done  chan struct{}
}

func newLoop() loop {
	return loop{tasks: make(chan func(time.Time), loopQueueTasks), done: make(chan struct{})}
}

// post queues a task. It blocks while the queue is full, and drops the task
// once the loop has ended.
func (l *loop) post(task func(now time.Time)) {
	select {
	case l.tasks <- task:
	case <-l.done:
	}
}

// call runs a task and waits until it is done or the loop has ended.
func (l *loop) call(task func(now time.Time)) {
	finished := make(chan struct{})
	l.post(func(now time.Time) {
		defer close(finished)
		task(now)
	})
	select {
	case <-finished:
	case <-l.done:
	}
}

// start starts the daemon's goroutines, which run until ctx ends.
func (d *Daemon) start(ctx context.Context) {
	go d.run(ctx)
	go d.followRows(ctx)
	go d.targetRow.run(ctx)
	go d.runGossip(ctx)
	go d.logStoreCalls(ctx)
}

// run is the event loop. It publishes the node's state after each task and
// tick.
func (d *Daemon) run(ctx context.Context) {
	defer close(d.loop.done)
	ticker := time.NewTicker(mesh.TickInterval)
	defer ticker.Stop()
	var lastReport time.Time
	// Requests are refused until it is known that they may be sent to the target.
	d.publish()
	for {
		select {
		case task := <-d.loop.tasks:
			task(time.Now())
		case <-ticker.C:
			now := time.Now()
			report := now.Sub(lastReport) >= move.SampleInterval
			if report {
				lastReport = now
			}
			d.tick(ctx, now, report)
		case <-ctx.Done():
			return
		}
		d.publish()
	}
}

// tick advances the node and starts the commits and reports that it requests.
// It does nothing until both tables have been loaded. When report is true, the
// samples since the last report are included.
func (d *Daemon) tick(ctx context.Context, now time.Time, report bool) {
	if !d.meshLoaded || !d.operatorsLoaded {
		return
	}
	var samples []move.Sample
	if report {
		samples = d.collector.Drain()
	}
	if d.quotas != nil {
		d.quotas.observe()
	}
	d.node.SetStoreUnavailable(d.storeUnreachable())
	clock, clockKnown := d.config.Store.Clock()
	commits, reports := d.node.Tick(now, clock, clockKnown, samples, report)
	d.logHoldReasons()
	for _, c := range commits {
		go d.commit(ctx, c)
	}
	for _, r := range reports {
		go d.report(ctx, r)
	}
}

// logHoldReasons logs a changed reason why a move that this daemon leads is
// held.
func (d *Daemon) logHoldReasons() {
	for _, service := range d.node.OrderedServices() {
		reason := d.node.HoldReason(service)
		if reason == d.holdReasons[service] {
			continue
		}
		d.holdReasons[service] = reason
		if reason != "" {
			d.logger.Info().Str("event", "move-held").Str("service", service).Msg(reason)
		}
	}
}

// commit writes a transaction of the node and passes the result to it.
func (d *Daemon) commit(ctx context.Context, c mesh.Commit) {
	tx := c.Transaction
	if c.Status != nil {
		tx.Writes = append(tx.Writes, d.config.Operators.Status(*c.Status))
	}
	version, err := d.write(ctx, causeMove, tx)
	d.recordWriteResult(err)
	entry := d.logger.Info()
	if err != nil {
		entry = d.logger.Warn().Err(err)
	}
	entry.Str("event", "store-write").Str("purpose", c.Purpose).Uint64("version", version).Bytes("value", tx.Writes[0].Value).Msg("wrote rows of the mesh")
	d.loop.post(func(now time.Time) { c.Done(now, version, err) })
}

// logRateLimiter limits the number of log lines per second. It is safe for
// concurrent use.
type logRateLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	written     int
	dropped     int
}

// requestLinesPerSecond is the maximum number of log lines per second about
// single requests.
const requestLinesPerSecond = 20

// allow reports whether a line may be logged now, and counts it.
func (l *logRateLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written == requestLinesPerSecond {
		l.dropped++
		return false
	}
	l.written++
	return true
}
