package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

const (
	// watchWait is how long one call waits for changes. It keeps the calls of
	// a calm daemon at one every 20 s for each table; a dead connection shows
	// earlier, by the keep-alive probes of the adapter.
	watchWait = 20 * time.Second
	// operatorWait is how long one call waits for what operators write. It is
	// short, since it shows whether the store answers at all: one that fell silent
	// leaves calls without an answer, also when it is back.
	operatorWait = 2 * time.Second
	// lostWait is how long a call waits for changes while the store does not answer.
	lostWait = 100 * time.Millisecond
	// firstPause and lastPause bound the time between tries of a call that
	// failed. A daemon is back within half a second of the store's return, and
	// within the spacing of watches in a large mesh.
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// watchesPerSecond is how many watches of a table the daemons of the mesh
	// start together in a second while it keeps changing. Each change wakes the
	// watch of every daemon, so that without a limit the calls grow with the
	// square of the daemons. The platform bills each call.
	watchesPerSecond = 100
	// minSpacing and maxSpacing bound the time between two watches of a daemon
	// that follows from it. News may wait that long at a daemon; the platform
	// gives a configuration two seconds to be in force.
	minSpacing = 200 * time.Millisecond
	maxSpacing = time.Second
	// youngFor is how long a daemon's spacing is the longest after its start. The
	// first heartbeats come within 3.5 s.
	youngFor = 4 * time.Second
)

// watchSpacing is the least time between the starts of two watches of a table
// by one of the daemons. Changes in between come with one answer.
func watchSpacing(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*time.Second/watchesPerSecond, minSpacing), maxSpacing)
}

// pause waits between two tries, longer each time, with some jitter so that
// the daemons do not come back together.
type pause struct {
	next time.Duration
	// longest bounds the time; zero means lastPause.
	longest time.Duration
}

func (p *pause) wait(ctx context.Context) {
	p.next = min(max(2*p.next, firstPause), max(lastPause, p.longest))
	sleep(ctx, p.next/2+rand.N(p.next))
}

func (p *pause) reset() { p.next = 0 }

// follower keeps a copy of a table up to date.
type follower struct {
	d     *Daemon
	table string
	// copy is what is known of the table; it belongs to the loop.
	copy *table
	// reset and change run in the loop.
	reset  func(now time.Time, all []rows.Row)
	change func(now time.Time, changes []rows.Change)
	lost   bool
	pause  pause
}

// run keeps the copy up to date from the store until ctx ends. It lists the
// table first if that is asked for, or if the copy is not complete up to a
// version that the store can continue from.
func (f *follower) run(ctx context.Context, list bool) {
	var version uint64
	f.d.loop.call(func(time.Time) { version = f.copy.complete })
	if version > 0 && !list {
		f.watch(ctx, version)
	}
	cause := causeStart
	if version > 0 {
		cause = causeCatchUp
	}
	for ctx.Err() == nil {
		snapshot, err := f.d.list(ctx, cause, f.table)
		if !f.noted(ctx, err) {
			continue
		}
		cause = causeCatchUp
		f.d.loop.post(func(now time.Time) {
			f.reset(now, snapshot.Rows)
			f.copy.reach(snapshot.Version)
			f.d.tables.wake()
		})
		if !list {
			f.awaitRole(ctx)
		}
		list = true
		f.watch(ctx, snapshot.Version)
	}
}

// awaitRole gives a daemon that has just listed the tables, and need not read
// the store by what they say, the time to leave it to others without a watch.
func (f *follower) awaitRole(ctx context.Context) {
	// The list of the other table is on its way, and only that of the mesh tells
	// the role.
	for range roleLooks {
		if f.d.listedOnce.Load() {
			break
		}
		sleep(ctx, rolePause)
	}
	// The rows are in force once the loop takes another task.
	f.d.loop.call(func(time.Time) {})
	if relay := f.d.relay.Load(); relay != nil && !relay.Reader {
		sleep(ctx, 3*roleInterval)
	}
}

// watch returns when the table has to be listed again.
func (f *follower) watch(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		began := time.Now()
		call, release := f.d.untilRegained(ctx)
		changes, next, err := f.d.watch(call, f.table, version, f.wait())
		superseded := call.Err() != nil
		release()
		if err != nil && superseded {
			continue
		}
		if fault.Is(err, fault.Stale) {
			f.d.logger.Info().Str("event", "history-lost").Str("table", f.table).Uint64("version", version).Msg("the table is listed again")
			return
		}
		if !f.noted(ctx, err) {
			continue
		}
		version = next
		f.d.loop.post(func(now time.Time) {
			if len(changes) > 0 {
				f.change(now, changes)
				f.d.tables.wake()
			}
			f.copy.reach(next)
		})
		if len(changes) > 0 {
			sleep(ctx, time.Until(began.Add(f.spacing(time.Now()))))
		}
	}
}

// spacing is the least time between the starts of two watches. While the
// whole mesh starts, rows of targets come one after the other for seconds.
func (f *follower) spacing(now time.Time) time.Duration {
	if f.table == mesh.Table && now.Sub(f.d.started) < youngFor {
		return maxSpacing
	}
	return watchSpacing(int(f.d.daemons.Load()))
}

// wait is how long the next call waits for changes.
func (f *follower) wait() time.Duration {
	switch {
	case f.lost:
		return lostWait
	case f.table == f.d.config.Operators.Table():
		return operatorWait
	}
	return watchWait
}

// regained ends the calls that wait for changes once the store answers again.
type regained struct {
	mu    sync.Mutex
	ended chan struct{}
}

func (r *regained) channel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended == nil {
		r.ended = make(chan struct{})
	}
	return r.ended
}

func (r *regained) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended != nil {
		close(r.ended)
		r.ended = nil
	}
}

// untilRegained returns a context that also ends when another watch finds that
// the store answers again.
func (d *Daemon) untilRegained(ctx context.Context) (context.Context, context.CancelFunc) {
	call, cancel := context.WithCancel(ctx)
	ended := d.regained.channel()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-call.Done():
		}
	}()
	return call, cancel
}

// sleep waits for the time, or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// noted logs a lost or regained store, and waits after a failure.
func (f *follower) noted(ctx context.Context, err error) bool {
	if err == nil {
		if f.lost {
			f.d.logger.Info().Str("event", "store-regained").Str("table", f.table).Msg("the store answers again")
			f.lost = false
			f.note(false)
			f.d.regained.announce()
		}
		f.pause.reset()
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if !f.lost {
		f.d.logger.Warn().Err(err).Str("event", "store-lost").Str("table", f.table).Msg("the store does not answer; the last state stays in force")
		f.note(true)
	}
	f.lost = true
	f.pause.longest = watchSpacing(int(f.d.daemons.Load()))
	f.pause.wait(ctx)
	return false
}

// note tells the node whether the store answers.
func (f *follower) note(lost bool) {
	f.d.storeLost.Store(lost)
	f.d.loop.post(func(time.Time) { f.d.tables.wake() })
}

func (d *Daemon) operatorFollower() *follower {
	return &follower{d: d, table: d.config.Operators.Table(), copy: &d.tables.operators,
		reset: func(now time.Time, all []rows.Row) {
			for _, row := range d.tables.operators.merge(all) {
				d.operatorRow(row)
			}
			d.configured = true
		},
		change: func(now time.Time, changes []rows.Change) {
			for _, row := range d.tables.operators.merge(lastOfEach(changes)) {
				d.operatorRow(row)
			}
		},
	}
}

// lastOfEach returns the newest of the changes of each row that was not
// removed. A watch returns every version of a configuration, and only the
// newest one matters.
func lastOfEach(changes []rows.Change) []rows.Row {
	at := map[rows.Key]int{}
	var last []rows.Row
	for _, c := range changes {
		if c.Removed {
			continue
		}
		if i, ok := at[c.Key]; ok {
			last[i] = c.Row
			continue
		}
		at[c.Key] = len(last)
		last = append(last, c.Row)
	}
	return last
}

// operatorRow takes over what operators wrote. A row that cannot be decoded
// leaves the last good state in force.
func (d *Daemon) operatorRow(row rows.Row) {
	decoded, err := d.config.Operators.Decode(row)
	if err != nil {
		d.logger.Error().Err(err).Str("event", "row-refused").Str("row", row.Name).Uint64("version", row.Version).Msg("an operator's row cannot be used")
		return
	}
	switch v := decoded.(type) {
	case *mesh.Configuration:
		first := d.node.Configuration() == nil
		if d.node.SetConfiguration(v) {
			if first && d.target.state == member.Ready {
				// The limit of its connections is known only now.
				d.serveTarget()
			}
			d.logger.Info().Str("event", "config-applied").Uint64("config", v.Version).Uint64("version", row.Version).Int("routes", len(v.Routes)).Int("bytes", len(row.Value)).Msg("a configuration is in force")
		}
	case *mesh.Order:
		if d.node.SetOrder(*v) {
			d.logger.Info().Str("event", "move-ordered").Str("service", v.Service).Str("to", v.Version).Dur("within", v.Within).Uint64("order", v.Revision).Msg("a move is ordered")
		}
	}
}

func (d *Daemon) meshFollower() *follower {
	return &follower{d: d, table: mesh.Table, copy: &d.tables.mesh,
		reset: func(now time.Time, all []rows.Row) {
			d.refused(d.node.Reset(now, all))
			d.tables.mesh.clear()
			d.tables.mesh.merge(all)
			for _, row := range all {
				d.own.saw(row)
			}
			d.meshKnown()
			d.own.update()
		},
		change: func(now time.Time, changes []rows.Change) {
			d.refused(d.node.ApplyChanges(now, changes))
			for _, c := range changes {
				if c.Removed {
					d.tables.mesh.remove(c.Key)
					continue
				}
				d.tables.mesh.merge([]rows.Row{c.Row})
				d.own.saw(c.Row)
			}
		},
	}
}

// meshKnown is called once rows of the product's own table are known.
func (d *Daemon) meshKnown() {
	if d.listed {
		return
	}
	d.listed = true
	d.listedOnce.Store(true)
	d.resumeTarget(d.background)
	time.AfterFunc(heartbeatWait, func() { d.loop.post(func(time.Time) { d.own.update() }) })
}

func (d *Daemon) refused(failures []error) {
	for _, err := range failures {
		d.logger.Error().Err(err).Str("event", "row-refused").Msg("a row of the mesh cannot be used")
	}
}
