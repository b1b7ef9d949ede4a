package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// callCause says what a call of the store was made for. The platform bills each
// call, so that a mesh whose calls grow has to be told by its causes.
type callCause string

const (
	// causeStart is the first list of a table after the daemon's start.
	causeStart callCause = "start"
	// causeWatch is a wait for changes.
	causeWatch callCause = "watch"
	// causeCatchUp is a list after the first one: the history was lost, or a reader.
	causeCatchUp callCause = "catch-up"
	// causeProbe asks whether the store turns only the reader away.
	causeProbe callCause = "probe"
	// causeOwnRow writes the row of the VM's target.
	causeOwnRow callCause = "own-row"
	// causeMove writes baselines, moves and crashes.
	causeMove callCause = "move"
)

// callLogInterval is how often the calls since the last line are logged.
const callLogInterval = 5 * time.Second

// calls counts the calls of the store by their cause and result.
type calls struct {
	total *prometheus.CounterVec
	mu    sync.Mutex
	// since holds the calls that are not logged yet.
	since map[callKey]int
}

type callKey struct {
	cause  callCause
	result string
}

func newCalls(r prometheus.Registerer) *calls {
	c := &calls{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_store_calls_total", Help: "Calls of the platform's store, by cause and result.",
		}, []string{"cause", "result"}),
		since: map[callKey]int{},
	}
	r.MustRegister(c.total)
	return c
}

// made counts a call that ended with the error, or with none.
func (c *calls) made(cause callCause, err error) {
	result := "ok"
	if err != nil {
		result = string(fault.KindOf(err))
	}
	c.total.WithLabelValues(string(cause), result).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since[callKey{cause, result}]++
}

// drain returns the calls since the last drain.
func (c *calls) drain() map[callKey]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := c.since
	c.since = map[callKey]int{}
	return drained
}

// logCalls logs the calls of the store now and then, while there are any.
func (d *Daemon) logCalls(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, callLogInterval)
		made := d.calls.drain()
		if len(made) == 0 {
			continue
		}
		entry := d.logger.Info().Str("event", "store-calls")
		for key, count := range made {
			entry = entry.Int(string(key.cause)+"."+key.result, count)
		}
		entry.Msg("calls of the store since the last such line, by cause and result")
	}
}

// list lists a table and counts the call.
func (d *Daemon) list(ctx context.Context, cause callCause, table string) (rows.Snapshot, error) {
	snapshot, err := d.config.Store.List(ctx, table)
	d.calls.made(cause, err)
	return snapshot, err
}

// watch waits for changes of a table and counts the call.
func (d *Daemon) watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]rows.Change, uint64, error) {
	changes, next, err := d.config.Store.Watch(ctx, table, after, wait)
	d.calls.made(causeWatch, err)
	return changes, next, err
}

// write commits a transaction and counts the call.
func (d *Daemon) write(ctx context.Context, cause callCause, tx rows.Transaction) (uint64, error) {
	version, err := d.config.Store.Commit(ctx, tx)
	d.calls.made(cause, err)
	return version, err
}
