package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// targetRowWriter keeps this VM's target row in the store up to date. Each
// write is conditional on the version that it replaces: a write whose response
// was lost may be applied seconds later and must not overwrite a newer one. It
// is safe for concurrent use.
type targetRowWriter struct {
	d    *Daemon
	wake chan struct{}

	mu sync.Mutex
	// desired is the record that the row should hold, or nil while it is not known.
	desired *mesh.TargetRecord
	// stored is the record that the row holds at storedVersion.
	stored        *mesh.TargetRecord
	storedVersion uint64
	// baseIncarnation is the last incarnation that an earlier start of the daemon
	// published.
	baseIncarnation uint64
	// baseEra is the era of that record. Until the store responds to this start, its
	// own era is not known.
	baseEra uint64
	// meshLoaded is true once rows of the mesh table have been loaded. A row that
	// is observed later does not change baseIncarnation.
	meshLoaded bool
	// sequence counts the changes of the desired record.
	sequence uint64
}

// newTargetRowWriter returns a targetRowWriter for the daemon's VM.
func newTargetRowWriter(d *Daemon) *targetRowWriter {
	return &targetRowWriter{d: d, wake: make(chan struct{}, 1)}
}

// observe records the row as read from the store. It ignores other rows and
// older versions.
func (w *targetRowWriter) observe(row rows.Row) {
	if row.Key != mesh.TargetKey(w.d.config.VM) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if row.Version <= w.storedVersion {
		return
	}
	w.storedVersion = row.Version
	record, err := mesh.DecodeTarget(row)
	if err != nil {
		// Another writer has replaced the row, which is written again.
		record = nil
		w.signal()
	}
	w.stored = record
	if record != nil && !w.meshLoaded {
		w.baseIncarnation, w.baseEra = record.Incarnation, record.Era
	}
}

// recordWritten records the row as written by this start of the daemon.
func (w *targetRowWriter) recordWritten(record *mesh.TargetRecord, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.storedVersion {
		w.storedVersion, w.stored = version, record
	}
}

// firstHeartbeatTimeout is how long a daemon that has just started waits for
// its target before it publishes that it has none. The first heartbeat arrives
// up to 3.5 s after the start of both, and a target that an earlier start
// published is checked at once, so most starts write their row only once.
const firstHeartbeatTimeout = 4 * time.Second

// update sets the desired record from the target's state. It runs in the event
// loop.
func (w *targetRowWriter) update() {
	d := w.d
	// At a first start there is no earlier row to read. If one exists nevertheless,
	// the write fails with a conflict that returns it.
	known := d.meshLoaded || d.config.FirstStart && d.target.state != 0
	if !known || d.target.state == 0 && time.Since(d.started) < firstHeartbeatTimeout {
		return
	}
	w.mu.Lock()
	w.meshLoaded = d.meshLoaded
	t := d.target
	record := &mesh.TargetRecord{
		VM: d.config.VM, Incarnation: w.baseIncarnation + 1 + t.incarnation, State: "gone", Domain: d.config.Domain,
		Inbound: d.config.Inbound, Peer: d.config.Peer, LinkRate: d.config.LinkRate, Era: max(d.node.Era(), w.baseEra),
	}
	if t.state != 0 {
		record.Service, record.Version, record.Instance, record.Slots = t.current.Service, t.current.Version, t.current.Instance, t.current.Slots
		record.ColdMS = max(0, time.Until(t.warmAt).Milliseconds())
	}
	switch {
	case t.state == member.Ready && !d.leaving.Load():
		record.State = "ready"
	case t.state != 0:
		record.State = "draining"
	}
	previous := w.desired
	if previous == nil {
		previous = w.stored
	}
	record.SetStateSince(previous, d.storeClock())
	if w.desired == nil || !sameRecord(w.desired, record) {
		w.sequence++
	}
	record.Sequence = w.sequence
	w.desired = record
	w.mu.Unlock()
	w.signal()
}

// signal lets run compare the stored record with the desired one.
func (w *targetRowWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes the row after each change of the desired record until ctx ends.
func (w *targetRowWriter) run(ctx context.Context) {
	var retry backoff
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && !w.write(ctx) {
			retry.wait(ctx)
		}
		retry.reset()
	}
}

// write writes the row unless it is up to date, and reports whether it is up to
// date afterwards.
func (w *targetRowWriter) write(ctx context.Context) bool {
	w.mu.Lock()
	record, version := w.desired, w.storedVersion
	current := record == nil || w.stored != nil && sameRecord(w.stored, record)
	if !current {
		record = stateAtWrite(record, w.stored, w.d.storeClock())
		w.desired, w.sequence = record, record.Sequence
	}
	w.mu.Unlock()
	if current {
		return true
	}
	row := record.Row()
	next, err := w.d.write(ctx, causeOwnRow, rows.Transaction{
		Conditions: []rows.Condition{{Key: row.Key, Version: version}}, Writes: []rows.Row{row},
	})
	w.d.recordWriteResult(err)
	if err == nil {
		w.recordWritten(record, next)
		w.d.loop.post(func(now time.Time) { w.d.node.MergeTarget(now, record) })
		w.d.logger.Info().Str("event", "target-published").Str("state", record.State).Str("instance", record.Instance).Uint64("version", next).Msg("row of the target written")
		return w.upToDate(record)
	}
	var conflict *rows.ConflictError
	if errors.As(err, &conflict) {
		w.handleConflict(conflict.Rows)
		return false
	}
	w.d.logger.Warn().Err(err).Str("event", "target-unpublished").Str("state", record.State).Msg("cannot write the row of the target; retrying")
	return false
}

// stateAtWrite returns the record with the time of its state as of the write that begins
// now. Other daemons learn of a changed state only when the row is written, which an
// outage of the store may delay by any time after the record was made. stored is the
// record in the store, or nil.
func stateAtWrite(record, stored *mesh.TargetRecord, clock time.Duration) *mesh.TargetRecord {
	written := *record
	written.SetStateSince(stored, clock)
	if written.StateSinceMS == record.StateSinceMS {
		return record
	}
	written.Sequence++
	return &written
}

// handleConflict records the rows that a conflicting write returned and updates
// the desired record.
func (w *targetRowWriter) handleConflict(storedRows []rows.Row) {
	if len(storedRows) == 0 {
		w.mu.Lock()
		w.storedVersion, w.stored = rows.Version(rows.Era(w.storedVersion), 0), nil
		w.mu.Unlock()
	}
	for _, row := range storedRows {
		w.observe(row)
	}
	// The row may have been written by an earlier start that this one did not
	// expect. The incarnation of the next write must be higher.
	w.d.loop.post(func(time.Time) { w.update() })
}

// upToDate reports whether the written record is still the desired one.
func (w *targetRowWriter) upToDate(written *mesh.TargetRecord) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.desired == written
}

// desiredRecord returns the record that the row should hold, or nil while it is
// not known.
func (w *targetRowWriter) desiredRecord() *mesh.TargetRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.desired
}

// sameRecord reports whether two records are equal apart from the sequence, the
// era and the cold time, which decreases by itself.
func sameRecord(a, b *mesh.TargetRecord) bool {
	x, y := *a, *b
	x.ColdMS, y.ColdMS = 0, 0
	x.Sequence, y.Sequence = 0, 0
	x.Era, y.Era = 0, 0
	return x == y
}
