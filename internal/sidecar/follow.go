package sidecar

import (
	"context"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

const (
	// meshWatchTimeout is how long one watch of the mesh table waits for changes.
	// It limits the calls of an idle daemon to one every 20 s for that table. A
	// dead connection is detected earlier, by the keep-alive probes of the store's
	// client.
	meshWatchTimeout = 20 * time.Second
	// operatorWatchTimeout is how long one watch of the operators' table waits for
	// changes. It is short because it also detects whether the store responds: a
	// store that has fallen silent leaves pending calls without a response, even
	// after it is back.
	operatorWatchTimeout = 2 * time.Second
	// unavailableWatchTimeout is how long a watch waits for changes while the store
	// is unavailable.
	unavailableWatchTimeout = 100 * time.Millisecond
	// meshWatchesPerSecond is the number of watches of a table that all daemons of
	// the mesh together start per second while the table keeps changing. Each
	// change completes the watch of every daemon, so without a limit the calls grow
	// with the square of the number of daemons. The platform bills each call.
	meshWatchesPerSecond = 100
	// minWatchSpacing and maxWatchSpacing bound the resulting time between two
	// watches of a daemon. A change may be delayed by that time; the platform
	// requires a configuration to be in force within two seconds.
	minWatchSpacing = 200 * time.Millisecond
	maxWatchSpacing = time.Second
	// startupPeriod is the time after a daemon's start in which the mesh table is
	// watched at maxWatchSpacing. The first heartbeats arrive within 3.5 s.
	startupPeriod = 4 * time.Second
)

// watchSpacing returns the minimum time between the starts of two watches of a
// table by one daemon. One response returns all changes since the previous
// watch.
func watchSpacing(daemons int) time.Duration {
	return min(max(time.Duration(daemons)*time.Second/meshWatchesPerSecond, minWatchSpacing), maxWatchSpacing)
}

// follower keeps the local copy of a store table up to date. Its fields belong
// to its run goroutine, except copy.
type follower struct {
	d     *Daemon
	table string
	// copy is the local copy of the table; it belongs to the event loop.
	copy *table
	// prepare runs before the first list of the table is applied, outside the event
	// loop. It may wait for other daemons.
	prepare func(ctx context.Context, snapshot rows.Snapshot)
	// reset applies a complete list of the table, and change applies a set of
	// changes. They run in the event loop.
	reset            func(now time.Time, snapshot rows.Snapshot)
	change           func(now time.Time, changes []rows.Change)
	storeUnavailable bool
	backoff          backoff
	// callBegan is when the latest call to the store began.
	callBegan time.Time
}

// run keeps the copy up to date from the store until ctx ends. It lists the
// table first when list is true, or when the copy has no complete version from
// which a watch can continue.
func (f *follower) run(ctx context.Context, list bool) {
	var version uint64
	f.d.loop.call(func(time.Time) { version = f.copy.completeVersion })
	if version > 0 && !list {
		f.watch(ctx, version)
	}
	cause := causeStart
	if version > 0 {
		cause = causeCatchUp
	}
	for ctx.Err() == nil {
		began := f.d.knowledge.Now()
		f.callBegan = time.Now()
		snapshot, err := f.d.list(ctx, cause, f.table)
		if !f.handleResult(ctx, err) {
			continue
		}
		cause = causeCatchUp
		if version == 0 && f.prepare != nil {
			f.prepare(ctx, snapshot)
		}
		restored := version > 0 && rows.Era(snapshot.Version) > rows.Era(version)
		if restored && f.d.config.strict() && f.table == f.d.config.Operators.Table() {
			f.d.recoverConfiguration(ctx)
		}
		f.d.loop.post(func(now time.Time) {
			// Another daemon may have sent newer rows meanwhile.
			if snapshot.Version < f.copy.completeVersion {
				return
			}
			f.reset(now, snapshot)
			f.copy.advance(snapshot.Version)
			f.confirmList(began)
			f.d.tables.notify()
		})
		if restored {
			// The pending watch of the other table does not notice the restore
			// before its wait ends.
			f.d.recovery.signal()
		}
		version = snapshot.Version
		if !list {
			f.awaitRole(ctx)
		}
		list = true
		f.watch(ctx, version)
	}
}

// awaitRole delays the first watch of a daemon that has just listed the tables
// and does not have to be a reader according to them. Within that time
// readStore stops the follower, and no watch has been started.
func (f *follower) awaitRole(ctx context.Context) {
	// The role follows from the mesh table only, and the list of that table may
	// still be in progress.
	for range maxRoleChecks {
		if f.d.meshLoadedFlag.Load() {
			break
		}
		sleep(ctx, roleCheckInterval)
	}
	// The listed rows are in force once the loop has run another task.
	f.d.loop.call(func(time.Time) {})
	if relay := f.d.relay.Load(); relay != nil && !relay.Reader {
		sleep(ctx, 3*readerCheckInterval)
	}
}

// watch applies changes of the table after the version. It returns when ctx
// ends or the table has to be listed again.
func (f *follower) watch(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		watchStart := time.Now()
		f.callBegan = watchStart
		call, cancel := f.d.untilStoreRecovers(ctx)
		completed := watchCall{began: f.d.knowledge.Now(), wait: f.watchTimeout()}
		changes, next, err := f.d.watch(call, f.table, version, completed.wait)
		completed.ended, completed.changed = f.d.knowledge.Now(), len(changes) > 0
		canceled := call.Err() != nil
		cancel()
		if err != nil && canceled {
			continue
		}
		if fault.Is(err, fault.Stale) {
			f.d.logger.Info().Str("event", "history-lost").Str("table", f.table).Uint64("version", version).Msg("store no longer has the history after this version; listing the table again")
			return
		}
		if !f.handleResult(ctx, err) {
			continue
		}
		version = next
		f.d.loop.post(func(now time.Time) {
			if len(changes) > 0 {
				f.change(now, changes)
				f.d.tables.notify()
			}
			f.copy.advance(next)
			f.confirmWatch(completed)
		})
		if len(changes) > 0 {
			sleep(ctx, time.Until(watchStart.Add(f.spacing(time.Now()))))
		}
	}
}

// spacing returns the minimum time between the starts of two watches. While the
// whole mesh starts, rows of targets are written one after the other for
// seconds.
func (f *follower) spacing(now time.Time) time.Duration {
	if f.table == mesh.Table && now.Sub(f.d.started) < startupPeriod {
		return maxWatchSpacing
	}
	return watchSpacing(int(f.d.daemonCount.Load()))
}

// watchTimeout returns how long the next watch waits for changes.
func (f *follower) watchTimeout() time.Duration {
	switch {
	case f.storeUnavailable:
		return unavailableWatchTimeout
	case f.table == f.d.config.Operators.Table():
		return f.d.operatorWatchWait()
	}
	return meshWatchTimeout
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// handleResult processes the result of a call to the store and reports whether
// the call succeeded. It logs when the store becomes unavailable or available
// again, and waits for the backoff after a failure.
func (f *follower) handleResult(ctx context.Context, err error) bool {
	if err == nil {
		if f.storeUnavailable {
			f.d.logger.Info().Str("event", "store-regained").Str("table", f.table).Msg("store responds again")
			f.storeUnavailable = false
			if f.d.lostTables.remove() {
				// The calls for the other table wait, or may never get a response.
				f.d.recovery.signal()
			}
		}
		if f.d.storeUnavailable.Load() && f.d.lostTables.none() {
			f.setStoreUnavailable(false)
			f.d.probes.reset()
		}
		f.backoff.reset()
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	// The first call to fail may have waited for changes before.
	callTime := time.Duration(0)
	if f.storeUnavailable {
		callTime = time.Since(f.callBegan)
	} else {
		f.d.lostTables.add()
		f.d.logger.Warn().Err(err).Str("event", "store-lost").Str("table", f.table).Msg("store does not respond; the last known state stays in force")
		f.setStoreUnavailable(true)
	}
	f.storeUnavailable = true
	f.backoff.maxDelay = watchSpacing(int(f.d.daemonCount.Load()))
	f.awaitRetry(ctx, callTime)
	return false
}

// awaitRetry waits until a failed call may be repeated, or until another one succeeds. A
// reader offers every second call to the daemons that poll it. If one of them makes the
// call, the reader waits for the time that its own would have taken.
func (f *follower) awaitRetry(ctx context.Context, callTime time.Duration) {
	ctx, cancel := f.d.untilStoreRecovers(ctx)
	defer cancel()
	if f.table != f.d.config.Operators.Table() {
		if f.d.KnowledgeAge() < f.d.maxRelayedAge() {
			// The store serves the operators' table, so that its follower offers no calls.
			f.d.probes.offer()
		}
		// The first call that succeeds, for either table, ends the wait.
		f.backoff.wait(ctx)
		f.backoff.wait(ctx)
		return
	}
	f.d.probes.offer()
	f.backoff.wait(ctx)
	if f.d.probes.collect() > 0 {
		sleep(ctx, callTime)
		f.backoff.wait(ctx)
	}
}

// setStoreUnavailable records whether the store is unavailable and wakes the
// long polls of other daemons, which end when there are no updates to wait for.
func (f *follower) setStoreUnavailable(unavailable bool) {
	f.d.storeUnavailable.Store(unavailable)
	f.d.loop.post(func(time.Time) { f.d.tables.notify() })
}

// operatorFollower returns the follower of the operators' table.
func (d *Daemon) operatorFollower() *follower {
	return &follower{d: d, table: d.config.Operators.Table(), copy: &d.tables.operators, prepare: d.awaitFirstMeshList,
		reset: func(now time.Time, snapshot rows.Snapshot) {
			for _, row := range d.tables.operators.merge(snapshot.Rows) {
				d.applyOperatorRow(row)
			}
			d.listEvacuations(snapshot)
			d.operatorsLoaded = true
		},
		change: func(now time.Time, changes []rows.Change) {
			for _, row := range d.tables.operators.merge(newestOfEachRow(changes)) {
				d.applyOperatorRow(row)
			}
			d.removeEvacuations(changes)
		},
	}
}

// newestOfEachRow returns the newest version of each changed row, without
// removed rows. A watch returns every version of a configuration, but only the
// newest one is applied.
func newestOfEachRow(changes []rows.Change) []rows.Row {
	indexes := map[rows.Key]int{}
	var newest []rows.Row
	for _, c := range changes {
		if c.Removed {
			continue
		}
		if i, ok := indexes[c.Key]; ok {
			newest[i] = c.Row
			continue
		}
		indexes[c.Key] = len(newest)
		newest = append(newest, c.Row)
	}
	return newest
}

// applyOperatorRow applies a configuration, an order or an evacuation from the
// operators' table. A row that cannot be decoded is logged and leaves the last valid state
// in force.
func (d *Daemon) applyOperatorRow(row rows.Row) {
	decoded, err := d.config.Operators.Decode(row)
	if err != nil {
		d.refuseRow(row, err)
		return
	}
	switch v := decoded.(type) {
	case *mesh.Evacuation:
		d.addEvacuation(*v)
	case *mesh.Configuration:
		d.setConfiguration(row, v)
		d.keepNewestConfiguration(row, v)
	case *mesh.Order:
		if d.node.SetOrder(*v) {
			d.logger.Info().Str("event", "move-ordered").Str("service", v.Service).Str("to", v.Version).Dur("within", v.Within).Uint64("order", v.Revision).Msg("move ordered")
		}
	}
}

// setConfiguration puts a configuration in force if it is newer. It runs in the
// event loop.
func (d *Daemon) setConfiguration(row rows.Row, c *mesh.Configuration) {
	first := d.node.Configuration() == nil
	if !d.coldLimitsEnabled() {
		for name, service := range c.Services {
			service.ColdPerSecond = 0
			c.Services[name] = service
		}
	}
	if !d.node.SetConfiguration(c) {
		return
	}
	if first && d.target.state == member.Ready {
		// The connection limit of the target comes from the configuration.
		d.serveTarget()
	}
	d.configurationRow = row
	d.reportOddEntries(c)
	d.logger.Info().Str("event", "config-applied").Uint64("config", c.Version).Uint64("version", row.Version).Int("routes", len(c.Routes)).Int("bytes", len(row.Value)).Msg("configuration applied")
}

// meshFollower returns the follower of the mesh table.
func (d *Daemon) meshFollower() *follower {
	return &follower{d: d, table: mesh.Table, copy: &d.tables.mesh, prepare: d.recoverLostState,
		reset: func(now time.Time, snapshot rows.Snapshot) {
			d.enterEra(now, snapshot.Version)
			d.logRefusedRows(d.node.Reset(now, snapshot.Rows))
			d.tables.mesh.clear()
			d.tables.mesh.merge(snapshot.Rows)
			for _, row := range snapshot.Rows {
				d.targetRow.observe(row)
			}
			d.markMeshLoaded()
			d.firstLists.setMeshApplied()
			d.targetRow.update()
		},
		change: func(now time.Time, changes []rows.Change) {
			d.logRefusedRows(d.node.ApplyChanges(now, changes))
			for _, c := range changes {
				if c.Removed {
					d.tables.mesh.remove(c.Key)
					continue
				}
				d.tables.mesh.merge([]rows.Row{c.Row})
				d.targetRow.observe(c.Row)
			}
		},
	}
}

// markMeshLoaded records that rows of the mesh table have been loaded. The
// first call resumes the target of an earlier start and schedules the write of
// the target's row.
func (d *Daemon) markMeshLoaded() {
	if d.meshLoaded {
		return
	}
	d.meshLoaded = true
	d.meshLoadedFlag.Store(true)
	d.resumeTarget(d.backgroundContext)
	time.AfterFunc(firstHeartbeatTimeout, func() { d.loop.post(func(time.Time) { d.targetRow.update() }) })
}

// logRefusedRows logs the errors of rows that the node has rejected.
func (d *Daemon) logRefusedRows(failures []error) {
	for _, err := range failures {
		d.logger.Error().Err(err).Str("event", "row-refused").Msg("invalid row of the mesh table ignored")
	}
}
