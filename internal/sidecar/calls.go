package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// callCause is the reason for a call to the store. The platform bills each
// call, so the causes show why the number of calls of a mesh grows.
type callCause string

const (
	// causeStart is the first list of a table after the daemon starts.
	causeStart callCause = "start"
	// causeWatch is a long poll for changes.
	causeWatch callCause = "watch"
	// causeCatchUp is any later list of a table: the store no longer has the
	// history that a watch needs, or the daemon got its rows from another daemon
	// before.
	causeCatchUp callCause = "catch-up"
	// causeProbe checks whether the store rejects only the reader's calls while the
	// reader reports that the store is unavailable.
	causeProbe callCause = "probe"
	// causeOwnRow writes the row of the VM's target.
	causeOwnRow callCause = "own-row"
	// causeMove writes baselines, moves and crash records.
	causeMove callCause = "move"
)

// callLogInterval is the interval at which the calls to the store are logged.
const callLogInterval = 5 * time.Second

// storeCallCounter counts the calls to the store by cause and result. It is
// safe for concurrent use.
type storeCallCounter struct {
	total *prometheus.CounterVec
	mu    sync.Mutex
	// unlogged holds the counts since the last log line.
	unlogged map[storeCallKey]int
}

// storeCallKey identifies one counter of a storeCallCounter.
type storeCallKey struct {
	cause  callCause
	result string
}

// newStoreCallCounter returns a storeCallCounter whose metric is registered
// with r.
func newStoreCallCounter(r prometheus.Registerer) *storeCallCounter {
	c := &storeCallCounter{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_store_calls_total", Help: "Calls of the platform's store, by cause and result.",
		}, []string{"cause", "result"}),
		unlogged: map[storeCallKey]int{},
	}
	r.MustRegister(c.total)
	return c
}

// count counts a call that returned err; nil counts as success.
func (c *storeCallCounter) count(cause callCause, err error) {
	result := "ok"
	if err != nil {
		result = string(fault.KindOf(err))
	}
	c.total.WithLabelValues(string(cause), result).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlogged[storeCallKey{cause, result}]++
}

// drain returns the counts since the last drain and resets them.
func (c *storeCallCounter) drain() map[storeCallKey]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := c.unlogged
	c.unlogged = map[storeCallKey]int{}
	return drained
}

// logStoreCalls logs the calls to the store at callLogInterval until ctx ends.
// It skips intervals without calls.
func (d *Daemon) logStoreCalls(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, callLogInterval)
		counts := d.storeCalls.drain()
		if len(counts) == 0 {
			continue
		}
		entry := d.logger.Info().Str("event", "store-calls")
		for key, count := range counts {
			entry = entry.Int(string(key.cause)+"."+key.result, count)
		}
		entry.Msg("calls to the store since the last line of this kind, by cause and result")
	}
}

// list lists a table of the store and counts the call.
func (d *Daemon) list(ctx context.Context, cause callCause, table string) (rows.Snapshot, error) {
	snapshot, err := d.config.Store.List(ctx, table)
	d.storeCalls.count(cause, err)
	return snapshot, err
}

// watch waits for changes of a table of the store and counts the call.
func (d *Daemon) watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]rows.Change, uint64, error) {
	changes, next, err := d.config.Store.Watch(ctx, table, after, wait)
	d.storeCalls.count(causeWatch, err)
	return changes, next, err
}

// write commits a transaction to the store and counts the call.
func (d *Daemon) write(ctx context.Context, cause callCause, tx rows.Transaction) (uint64, error) {
	version, err := d.config.Store.Commit(ctx, tx)
	d.storeCalls.count(cause, err)
	return version, err
}
