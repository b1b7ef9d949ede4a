package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// longPollTimeout is how long a reader holds a long poll that has no newer
	// rows, and longPollMargin is how much longer the response may take.
	longPollTimeout = 800 * time.Millisecond
	longPollMargin  = 400 * time.Millisecond
	// longPollSpacing is the minimum time between the starts of two long polls when
	// the first returns rows. A small VM takes about 50 ms to apply a large
	// configuration.
	longPollSpacing = 300 * time.Millisecond
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

// followRows keeps the tables up to date until ctx ends, from the store or from
// the readers of the failure domain.
func (d *Daemon) followRows(ctx context.Context) {
	if d.config.FirstStart {
		sleep(ctx, firstListDelay+rand.N(firstListJitter))
	}
	var sources sourceTracker
	directUntil := time.Now()
	sources.confirm(directUntil)
	for ctx.Err() == nil {
		source := ""
		if relay := d.relay.Load(); relay != nil && !relay.Reader && !time.Now().Before(directUntil) {
			source = sources.preferred(time.Now(), relay)
		}
		if source == "" {
			source = d.readStore(ctx, directUntil, &sources)
		}
		if source != "" {
			direct := d.followSources(ctx, source, &sources)
			directUntil = time.Now().Add(direct)
		}
	}
}

// readStore watches both tables until the deadline, and after it until another
// daemon has confirmed that it reads them for this one. It returns the address of
// that daemon, or "" when ctx ends. While the store does not respond, it does not
// wait for the deadline.
func (d *Daemon) readStore(ctx context.Context, deadline time.Time, sources *sourceTracker) string {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	d.lostTables.reset()
	d.reading.Store(true)
	defer d.reading.Store(false)
	defer d.substituting.Store(false)
	d.logger.Info().Str("event", "rows-from").Str("source", "store").Msg("reading rows from the store")
	var group sync.WaitGroup
	// After a failed source there may be several newer versions of a configuration.
	// A watch would return all of them, a list returns only the newest one.
	list := time.Now().Before(deadline)
	group.Go(func() { d.operatorFollower().run(watching, list) })
	group.Go(func() { d.meshFollower().run(watching, list && !d.substituting.Load()) })
	group.Go(func() { d.pollNextReader(watching) })
	group.Go(func() { d.announceSubstitute(watching) })
	source := ""
	for source == "" && ctx.Err() == nil {
		sleep(ctx, readerCheckInterval)
		if time.Now().After(deadline) || d.storeUnavailable.Load() {
			source = d.confirmedSource(ctx, sources)
		}
	}
	cancel()
	group.Wait()
	return source
}

// pollNextReader polls the next reader, or a substitute, while this daemon is a reader
// itself, so that it gets updates even while the store does not respond to it.
func (d *Daemon) pollNextReader(ctx context.Context) {
	for ctx.Err() == nil {
		relay := d.relay.Load()
		if relay == nil || !relay.Reader || len(relay.Sources) == 0 {
			sleep(ctx, readerCheckInterval)
			continue
		}
		source := relay.Sources[0]
		substitute, appointed := d.substitute.current()
		if substitute != "" {
			source = substitute
		}
		begin := time.Now()
		poll, cancel := contextUntil(ctx, appointed)
		response, err := d.pollSource(poll, source, longPollTimeout)
		canceled := poll.Err() != nil
		cancel()
		if err != nil && canceled {
			continue
		}
		unavailable := err != nil || !response.Reading || response.StoreUnavailable
		d.nextReaderUnavailable.Store(unavailable)
		if err == nil {
			age := time.Duration(response.StoreAgeMS) * time.Millisecond
			d.relayedContact.Store(int64(time.Since(d.started) - age))
		}
		if substitute != "" && (unavailable || !d.storeUnavailable.Load()) {
			d.substitute.dismiss(substitute)
			continue
		}
		if unavailable {
			wait, cancel := contextUntil(ctx, appointed)
			sleep(wait, longPollTimeout)
			cancel()
			continue
		}
		if response.hasRows() {
			sleep(ctx, time.Until(begin.Add(longPollSpacing)))
		}
	}
}

// completeDigest returns a message with the versions up to which this daemon
// has every row. It runs in the event loop.
func (d *Daemon) completeDigest() gossipMessage {
	return gossipMessage{
		VM: d.config.VM, Peer: d.config.Peer, Own: d.targetRow.desiredRecord(),
		Operators: tableUpdate{Version: d.tables.operators.completeVersion}, Mesh: tableUpdate{Version: d.tables.mesh.completeVersion},
		Evacuations: d.knownEvacuations(),
	}
}

// awaitNewerRows returns when there are rows for the long poll, strict revocation
// needs the newer knowledge of this daemon, it gets no updates or does not read the
// store, or the wait time has passed.
func (d *Daemon) awaitNewerRows(ctx context.Context, message *gossipMessage) {
	deadline := time.NewTimer(min(longPollTimeout, time.Duration(message.WaitMS)*time.Millisecond))
	defer deadline.Stop()
	progressed := d.knowledgeProgress()
	for {
		var hasNewer bool
		var changed <-chan struct{}
		d.loop.call(func(time.Time) {
			hasNewer = d.tables.operators.newerThan(message.Operators.Version) || d.tables.mesh.newerThan(message.Mesh.Version) || d.missesRemoval(message)
			changed = d.tables.changed
		})
		if hasNewer || progressed() || d.updatesUnavailable() || !d.reading.Load() {
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
// store nor from the next reader. The readers ask each other in a ring, so the next
// one may get its updates from this daemon.
func (d *Daemon) updatesUnavailable() bool {
	return d.storeUnavailable.Load() && (d.nextReaderUnavailable.Load() || d.storeAge() > d.maxRelayedAge())
}

// maxRelayedAge returns the age of the store's last response up to which a reader gets
// updates through another one: what a watch without changes and a long poll take.
func (d *Daemon) maxRelayedAge() time.Duration {
	age := d.config.confirmationInterval(operatorWatchTimeout) + longPollTimeout
	if d.config.strict() {
		// Long polls end as soon as the knowledge of the daemon that holds them is newer.
		return age
	}
	return age + longPollMargin
}

// storeAge returns how long ago the store responded to a reader from which this daemon
// gets its rows. It is zero while the store responds to this daemon. The age counts from
// the store, because a reader on the way may not yet have noticed that it gets no response.
func (d *Daemon) storeAge() time.Duration {
	if !d.storeUnavailable.Load() {
		return 0
	}
	sinceStart := time.Since(d.started)
	// The knowledge is that of the operators' table only.
	age := max(d.KnowledgeAge(), sinceStart-time.Duration(d.relayedContact.Load()))
	return max(min(age, sinceStart), time.Millisecond)
}
