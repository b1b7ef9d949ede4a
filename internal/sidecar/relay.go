package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/progress"
)

const (
	// longPollTimeout is how long a reader holds a long poll that has no newer
	// rows. A failed reader is detected after longPollTimeout plus longPollMargin;
	// together with a call to the store this stays below the two seconds in which a
	// configuration must be in force.
	longPollTimeout = 800 * time.Millisecond
	longPollMargin  = 400 * time.Millisecond
	// longPollSpacing is the minimum time between the starts of two long polls when
	// the first returns rows. A small VM takes about 50 ms to apply a large
	// configuration.
	longPollSpacing = 300 * time.Millisecond
	// directReadPeriod is how long a daemon reads the store itself after its source
	// failed, and failedSourceQuarantine is how long it does not poll that source.
	directReadPeriod       = 3 * time.Second
	failedSourceQuarantine = 8 * time.Second
	// notReadingQuarantine is how long a daemon does not poll a source that does
	// not read the store, and how long it reads the store itself when it has no
	// other source. The source finds out within readerCheckInterval that it should
	// be a reader, once it has the same rows.
	notReadingQuarantine = time.Second
	// probeInterval is the interval at which a daemon calls the store itself while
	// its reader reports that the store is unavailable.
	probeInterval = 2 * time.Second
	// readerCheckInterval is the interval at which a daemon that reads the store
	// checks whether it still should.
	readerCheckInterval = 250 * time.Millisecond
	// roleCheckInterval and maxRoleChecks bound how long a daemon that has listed
	// the operators' table waits for the list of the mesh table. A list takes 4 ms,
	// or 240 ms while the store is slow.
	roleCheckInterval = 20 * time.Millisecond
	maxRoleChecks     = 15
	// firstListDelay is the delay after which daemons that all start for the first
	// time list the store. It lies after the first heartbeats, which arrive within
	// 3.5 s, and seconds before the first requests of callers. By then the rows of
	// all targets have been written, so one list returns them and few daemons need
	// a watch. firstListJitter keeps the lists below the rate limit of the store,
	// which is 16,000 reads/s for 295 daemons.
	firstListDelay  = 3700 * time.Millisecond
	firstListJitter = 300 * time.Millisecond
	// firstHandoverDelay is the time after a first start until which the daemons
	// read the store themselves. By then the readers have listed it.
	firstHandoverDelay = firstListDelay + firstListJitter + 100*time.Millisecond
)

// Reasons for leaving a source that still responds.
var (
	errNotReading     = errors.New("the source does not read the store")
	errReaderRejected = errors.New("the store rejects the source's calls but not those of this daemon")
)

// followRows keeps the tables up to date until ctx ends, from the store or from
// the readers of the failure domain.
func (d *Daemon) followRows(ctx context.Context) {
	if d.config.FirstStart {
		sleep(ctx, firstListDelay+rand.N(firstListJitter))
	}
	var failed failedSources
	directUntil := time.Now()
	for ctx.Err() == nil {
		source := ""
		if relay := d.relay.Load(); relay != nil && !relay.Reader {
			source = failed.choose(time.Now(), relay.Sources)
		}
		if source == "" || time.Now().Before(directUntil) {
			d.readStore(ctx, directUntil, source != "")
			directUntil = time.Now()
			continue
		}
		err := d.followSource(ctx, source)
		if err == nil || ctx.Err() != nil {
			continue
		}
		d.logger.Warn().Err(err).Str("event", "source-lost").Str("source", source).Msg("source of rows failed; looking for another source")
		switch {
		case errors.Is(err, errReaderRejected):
			directUntil = time.Now().Add(directReadPeriod)
		case errors.Is(err, errNotReading):
			// Daemons with different rows choose different readers for a short
			// time.
			failed.add(time.Now(), source, notReadingQuarantine)
			directUntil = d.directReadDeadline(&failed, notReadingQuarantine)
		default:
			failed.add(time.Now(), source, failedSourceQuarantine)
			directUntil = d.directReadDeadline(&failed, directReadPeriod)
		}
	}
}

// directReadDeadline returns the time until which the daemon reads the store
// itself: now when there is another source to poll, otherwise after the
// duration.
func (d *Daemon) directReadDeadline(failed *failedSources, wait time.Duration) time.Time {
	now := time.Now()
	if relay := d.relay.Load(); relay != nil && failed.choose(now, relay.Sources) != "" {
		return now
	}
	return now.Add(wait)
}

// failedSources holds the sources that failed recently and the end of their
// quarantine.
type failedSources struct{ quarantinedUntil map[string]time.Time }

// add puts a source into quarantine for the duration.
func (f *failedSources) add(now time.Time, source string, quarantine time.Duration) {
	if f.quarantinedUntil == nil {
		f.quarantinedUntil = map[string]time.Time{}
	}
	f.quarantinedUntil[source] = now.Add(quarantine)
}

// choose returns the first source that is not in quarantine, or "".
func (f *failedSources) choose(now time.Time, sources []string) string {
	for _, s := range sources {
		if now.After(f.quarantinedUntil[s]) {
			return s
		}
	}
	return ""
}

// readStore watches both tables until the deadline, and after it until another
// daemon reads them for this one. It returns early when the store is
// unavailable and otherSource is true, which means that there is a reader to
// poll.
func (d *Daemon) readStore(ctx context.Context, deadline time.Time, otherSource bool) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	d.reading.Store(true)
	defer d.reading.Store(false)
	d.logger.Info().Str("event", "rows-from").Str("source", "store").Msg("reading rows from the store")
	var group sync.WaitGroup
	// After a failed source there may be several newer versions of a configuration.
	// A watch would return all of them, a list returns only the newest one.
	list := time.Now().Before(deadline)
	group.Go(func() { d.operatorFollower().run(watching, list) })
	group.Go(func() { d.meshFollower().run(watching, list) })
	group.Go(func() { d.pollNextReader(watching) })
	for ctx.Err() == nil {
		sleep(ctx, readerCheckInterval)
		relay := d.relay.Load()
		beforeHandover := d.config.FirstStart && time.Since(d.started) < firstHandoverDelay
		mayLeave := time.Now().After(deadline) || otherSource && d.storeUnavailable.Load()
		if relay != nil && !relay.Reader && d.meshLoadedFlag.Load() && !beforeHandover && mayLeave {
			break
		}
	}
	cancel()
	group.Wait()
}

// pollNextReader polls the next reader while this daemon is a reader itself, so
// that it gets updates even while the store does not respond to it.
func (d *Daemon) pollNextReader(ctx context.Context) {
	for ctx.Err() == nil {
		relay := d.relay.Load()
		if relay == nil || !relay.Reader || len(relay.Sources) == 0 {
			sleep(ctx, readerCheckInterval)
			continue
		}
		response, err := d.pollSource(ctx, relay.Sources[0])
		unavailable := err != nil || !response.Reading || response.StoreUnavailable
		d.nextReaderUnavailable.Store(unavailable)
		if unavailable {
			sleep(ctx, longPollTimeout)
		}
	}
}

// followSource polls the daemon at the address until it fails, or until this
// daemon should read the store itself or poll another source. It fails with
// fault.Stale when the other daemon does not read the store, or when the store
// rejects only that daemon's calls.
func (d *Daemon) followSource(ctx context.Context, source string) error {
	d.logger.Info().Str("event", "rows-from").Str("source", source).Msg("reading rows from another daemon")
	d.storeUnavailable.Store(false)
	lastProbe := time.Now()
	for ctx.Err() == nil {
		relay := d.relay.Load()
		if relay.Reader || !slices.Contains(relay.Sources, source) {
			return nil
		}
		response, err := d.pollSource(ctx, source)
		if err != nil {
			return err
		}
		if !response.Reading {
			return fault.Wrap(errNotReading, fault.Stale, "cannot follow the daemon at %s", source)
		}
		d.storeUnavailable.Store(response.StoreUnavailable)
		if !response.StoreUnavailable {
			continue
		}
		// The store is most likely down for all daemons. An occasional call detects
		// a store that rejects only the reader's calls.
		if time.Since(lastProbe) >= probeInterval {
			if _, err := d.list(ctx, causeProbe, d.config.Operators.Table()); err == nil {
				return fault.Wrap(errReaderRejected, fault.Stale, "cannot follow the daemon at %s", source)
			}
			lastProbe = time.Now()
		}
		sleep(ctx, longPollSpacing)
	}
	return nil
}

// pollSource sends a long poll to the daemon at the address, applies the rows
// in the response and returns the response.
func (d *Daemon) pollSource(ctx context.Context, source string) (*gossipMessage, error) {
	var message gossipMessage
	d.loop.call(func(time.Time) { message = d.completeDigest() })
	message.WaitMS = longPollTimeout.Milliseconds()
	pollStart := time.Now()
	pollContext, watchdog, release := progress.NewWatchdog(ctx, longPollTimeout+longPollMargin, longPollMargin)
	defer release()
	response, err := d.sendGossip(pollContext, d.longPollClient, source, message, watchdog)
	if err != nil {
		return nil, err
	}
	d.loop.call(func(now time.Time) {
		d.applyGossip(now, response)
		restored := d.enterEra(now, response.Mesh.Version)
		d.tables.operators.advance(response.Operators.Version)
		d.tables.mesh.advance(response.Mesh.Version)
		if restored {
			d.targetRow.update()
		}
	})
	if len(response.Operators.Rows)+len(response.Mesh.Rows) > 0 {
		sleep(ctx, time.Until(pollStart.Add(longPollSpacing)))
	}
	return response, nil
}

// completeDigest returns a message with the versions up to which this daemon
// has every row. It runs in the event loop.
func (d *Daemon) completeDigest() gossipMessage {
	return gossipMessage{
		VM: d.config.VM, Peer: d.config.Peer, Own: d.targetRow.desiredRecord(),
		Operators: tableUpdate{Version: d.tables.operators.completeVersion}, Mesh: tableUpdate{Version: d.tables.mesh.completeVersion},
	}
}

// awaitNewerRows returns when there are rows for the long poll, this daemon
// gets no updates or does not read the store, or the wait time has passed.
func (d *Daemon) awaitNewerRows(ctx context.Context, message *gossipMessage) {
	deadline := time.NewTimer(min(longPollTimeout, time.Duration(message.WaitMS)*time.Millisecond))
	defer deadline.Stop()
	for {
		var hasNewer bool
		var changed <-chan struct{}
		d.loop.call(func(time.Time) {
			hasNewer = d.tables.operators.newerThan(message.Operators.Version) || d.tables.mesh.newerThan(message.Mesh.Version)
			changed = d.tables.changed
		})
		if hasNewer || d.updatesUnavailable() || !d.reading.Load() {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// updatesUnavailable reports whether this daemon gets updates neither from the
// store nor from the next reader.
func (d *Daemon) updatesUnavailable() bool {
	return d.storeUnavailable.Load() && d.nextReaderUnavailable.Load()
}
