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

// ownRow keeps this VM's target row in the store up to date. Each write names
// the version that it replaces: a write whose answer was lost may be done
// seconds later, and must not undo a newer one.
type ownRow struct {
	d    *Daemon
	wake chan struct{}

	mu sync.Mutex
	// wanted is what the row should hold, or nil while that is not known.
	wanted *mesh.TargetRecord
	// stored is what the row holds, at the version.
	stored  *mesh.TargetRecord
	version uint64
	// base is the incarnation that an earlier start of the daemon came to.
	base   uint64
	listed bool
	// sequence counts the records that were wanted.
	sequence uint64
}

func newOwnRow(d *Daemon) *ownRow { return &ownRow{d: d, wake: make(chan struct{}, 1)} }

// saw takes note of the row as the store has it.
func (o *ownRow) saw(row rows.Row) {
	if row.Key != mesh.TargetKey(o.d.config.VM) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if row.Version <= o.version {
		return
	}
	o.version = row.Version
	record, err := mesh.DecodeTarget(row)
	if err != nil {
		record = nil
	}
	o.stored = record
	if record != nil && !o.listed {
		o.base = record.Incarnation
	}
}

// wrote takes note of a row that this start of the daemon wrote.
func (o *ownRow) wrote(record *mesh.TargetRecord, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.version {
		o.version, o.stored = version, record
	}
}

// heartbeatWait is how long a daemon that has just started waits for its target
// before it publishes that it has none. The first heartbeat comes up to 3.5 s
// after the start of both, and a target that an earlier start knew is asked at
// once, so that most starts write their row once.
const heartbeatWait = 4 * time.Second

// update sets what the row should hold from the target's state. It runs in
// the loop.
func (o *ownRow) update() {
	d := o.d
	// At a first start there is no earlier row to learn of. One that exists all the
	// same shows by the conflict of the write.
	known := d.listed || d.config.FirstStart && d.target.state != 0
	if !known || d.target.state == 0 && time.Since(d.started) < heartbeatWait {
		return
	}
	o.mu.Lock()
	o.listed = d.listed
	t := d.target
	record := &mesh.TargetRecord{
		VM: d.config.VM, Incarnation: o.base + 1 + t.incarnation, State: "gone", Domain: d.config.Domain,
		Inbound: d.config.Inbound, Peer: d.config.Peer, LinkRate: d.config.LinkRate,
	}
	if t.state != 0 {
		record.Service, record.Version, record.Instance, record.Slots = t.current.Service, t.current.Version, t.current.Instance, t.current.Slots
		record.ColdMS = max(0, time.Until(t.warmAt).Milliseconds())
	}
	switch {
	case t.state == member.Ready && !d.stopping.Load():
		record.State = "ready"
	case t.state != 0:
		record.State = "draining"
	}
	if o.wanted == nil || !same(o.wanted, record) {
		o.sequence++
	}
	record.Sequence = o.sequence
	o.wanted = record
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run writes the row until ctx ends.
func (o *ownRow) run(ctx context.Context) {
	var between pause
	for {
		select {
		case <-o.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && !o.write(ctx) {
			between.wait(ctx)
		}
		between.reset()
	}
}

// write brings the row up to date and reports whether it is.
func (o *ownRow) write(ctx context.Context) bool {
	o.mu.Lock()
	wanted, version := o.wanted, o.version
	current := o.stored != nil && same(o.stored, wanted)
	o.mu.Unlock()
	if current {
		return true
	}
	row := wanted.Row()
	next, err := o.d.write(ctx, causeOwnRow, rows.Transaction{
		Conditions: []rows.Condition{{Key: row.Key, Version: version}}, Writes: []rows.Row{row},
	})
	o.d.noteWrite(err)
	if err == nil {
		o.wrote(wanted, next)
		o.d.loop.post(func(now time.Time) { o.d.node.MergeTarget(now, wanted) })
		o.d.logger.Info().Str("event", "target-published").Str("state", wanted.State).Str("instance", wanted.Instance).Uint64("version", next).Msg("the target's row is written")
		return o.upToDate(wanted)
	}
	var conflict *rows.ConflictError
	if errors.As(err, &conflict) {
		o.conflict(conflict.Rows)
		return false
	}
	o.d.logger.Warn().Err(err).Str("event", "target-unpublished").Str("state", wanted.State).Msg("the target's row cannot be written yet")
	return false
}

func (o *ownRow) conflict(found []rows.Row) {
	if len(found) == 0 {
		o.mu.Lock()
		o.version, o.stored = 0, nil
		o.mu.Unlock()
	}
	for _, row := range found {
		o.saw(row)
	}
	// The row may be of an earlier start that this one did not expect. The
	// next write has to follow it.
	o.d.loop.post(func(time.Time) { o.update() })
}

func (o *ownRow) upToDate(written *mesh.TargetRecord) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.wanted == written
}

// record returns what the row should hold, or nil while that is not known.
func (o *ownRow) record() *mesh.TargetRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.wanted
}

// same compares rows without the cold time, which passes by itself, and
// without the sequence.
func same(a, b *mesh.TargetRecord) bool {
	x, y := *a, *b
	x.ColdMS, y.ColdMS = 0, 0
	x.Sequence, y.Sequence = 0, 0
	return x == y
}
