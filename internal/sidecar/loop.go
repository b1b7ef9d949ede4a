package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
)

// loopQueue is the number of tasks that may wait for the loop.
const loopQueue = 1024

// loop runs tasks one at a time. They own the node and the local target.
type loop struct {
	tasks chan func(now time.Time)
	done  chan struct{}
}

func newLoop() loop {
	return loop{tasks: make(chan func(time.Time), loopQueue), done: make(chan struct{})}
}

// post queues a task. It waits while the queue is full.
func (l *loop) post(task func(now time.Time)) {
	select {
	case l.tasks <- task:
	case <-l.done:
	}
}

// call runs a task and waits for its end.
func (l *loop) call(task func(now time.Time)) {
	ended := make(chan struct{})
	l.post(func(now time.Time) {
		defer close(ended)
		task(now)
	})
	select {
	case <-ended:
	case <-l.done:
	}
}

// start begins the daemon's work, which ends with ctx.
func (d *Daemon) start(ctx context.Context) {
	go d.run(ctx)
	go d.followRows(ctx)
	go d.own.run(ctx)
	go d.gossip(ctx)
	go d.logCalls(ctx)
}

func (d *Daemon) run(ctx context.Context) {
	defer close(d.loop.done)
	ticker := time.NewTicker(mesh.TickInterval)
	defer ticker.Stop()
	var sampled time.Time
	for {
		select {
		case task := <-d.loop.tasks:
			task(time.Now())
		case <-ticker.C:
			now := time.Now()
			report := now.Sub(sampled) >= move.SampleInterval
			if report {
				sampled = now
			}
			d.tick(ctx, now, report)
		case <-ctx.Done():
			return
		}
		d.publish()
	}
}

func (d *Daemon) tick(ctx context.Context, now time.Time, report bool) {
	if !d.listed || !d.configured {
		return
	}
	var samples []move.Sample
	if report {
		samples = d.collector.Drain()
	}
	d.node.SetStoreUnavailable(d.withoutStore())
	clock, clocked := d.config.Store.Clock()
	commits, reports := d.node.Tick(now, clock, clocked, samples, report)
	d.logHolding()
	for _, c := range commits {
		go d.commit(ctx, c)
	}
	for _, r := range reports {
		go d.report(ctx, r)
	}
}

// logHolding logs why the moves that this daemon leads do not go on, when
// that changes.
func (d *Daemon) logHolding() {
	for _, service := range d.node.OrderedServices() {
		reason := d.node.HoldReason(service)
		if reason == d.holding[service] {
			continue
		}
		d.holding[service] = reason
		if reason != "" {
			d.logger.Info().Str("event", "move-held").Str("service", service).Msg(reason)
		}
	}
}

func (d *Daemon) commit(ctx context.Context, c mesh.Commit) {
	tx := c.Transaction
	if c.Status != nil {
		tx.Writes = append(tx.Writes, d.config.Operators.Status(*c.Status))
	}
	version, err := d.write(ctx, causeMove, tx)
	d.noteWrite(err)
	entry := d.logger.Info()
	if err != nil {
		entry = d.logger.Warn().Err(err)
	}
	entry.Str("event", "store-write").Str("purpose", c.Purpose).Uint64("version", version).Bytes("value", tx.Writes[0].Value).Msg("a write of the mesh")
	d.loop.post(func(now time.Time) { c.Done(now, version, err) })
}

// logLimit bounds log lines that come in bursts.
type logLimit struct {
	mu      sync.Mutex
	second  time.Time
	written int
	dropped int
}

// linesPerSecond is the most log lines about single requests.
const linesPerSecond = 20

func (l *logLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.written = now, 0
	}
	if l.written == linesPerSecond {
		l.dropped++
		return false
	}
	l.written++
	return true
}
