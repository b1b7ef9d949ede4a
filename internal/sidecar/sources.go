package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/progress"
)

const (
	// backupDelay and confirmationTimeout count from the latest confirmation of a
	// source. After backupDelay the daemon asks the other sources too, and after
	// confirmationTimeout it reads the store itself, however many sources there are
	// and in whatever way they fail. That leaves 600 ms of the two seconds in which a
	// configuration must be in force for the call to the store.
	backupDelay         = longPollTimeout + 200*time.Millisecond
	confirmationTimeout = longPollTimeout + 600*time.Millisecond
	// confirmationWait is the wait time of a poll that asks only for a confirmation.
	confirmationWait = time.Millisecond
	// minConfirmationTime is the time that other sources have at least to respond. It
	// counts when the daemon itself has stood still until after confirmationTimeout.
	minConfirmationTime = confirmationTimeout - backupDelay
	// directReadPeriod is how long a daemon reads the store itself after its sources
	// failed, and failedSourceQuarantine is how long it does not prefer a source that
	// has failed.
	directReadPeriod       = 3 * time.Second
	failedSourceQuarantine = 8 * time.Second
	// unfitSourceQuarantine is how long a daemon does not prefer a source that
	// responds but does not provide updates. A source finds out within
	// readerCheckInterval that it should be a reader, once it has the same rows.
	unfitSourceQuarantine = time.Second
	// probeInterval is the interval at which the daemons of a failure domain together call
	// the store without being asked while their readers report that it is unavailable.
	probeInterval = 4 * time.Second
)

// Reasons for leaving a source, or for not following it.
var (
	errNotReading     = errors.New("the source does not read the store")
	errReaderRejected = errors.New("the store rejects the source's calls but not those of this daemon")
	errSourceBehind   = errors.New("the source lacks rows that this daemon has")
	errLate           = errors.New("another source confirmed its rows first")
	errNotConfirmed   = errors.New("no source has confirmed its rows in time")
)

// sourceTracker records which sources of rows have failed, and when a source last
// confirmed that the daemon has all rows.
type sourceTracker struct {
	quarantinedUntil map[string]time.Time
	confirmedAt      time.Time
}

// confirm records a confirmation.
func (t *sourceTracker) confirm(now time.Time) { t.confirmedAt = now }

// quarantine makes the source less preferred for the duration.
func (t *sourceTracker) quarantine(now time.Time, source string, duration time.Duration) {
	if t.quarantinedUntil == nil {
		t.quarantinedUntil = map[string]time.Time{}
	}
	t.quarantinedUntil[source] = now.Add(duration)
}

// quarantined reports whether the source is in quarantine.
func (t *sourceTracker) quarantined(now time.Time, source string) bool {
	return !now.After(t.quarantinedUntil[source])
}

// preferred returns the first source that is not in quarantine, or "".
func (t *sourceTracker) preferred(now time.Time, relay *mesh.Relay) string {
	for _, source := range slices.Concat(relay.Sources, relay.Spares) {
		if !t.quarantined(now, source) {
			return source
		}
	}
	return ""
}

// backups returns the sources to ask in addition to those that were already asked:
// the readers that are not in quarantine, or without one all others.
func (t *sourceTracker) backups(now time.Time, relay *mesh.Relay, asked []string) []string {
	var fit, all []string
	for _, source := range slices.Concat(relay.Sources, relay.Spares) {
		if slices.Contains(asked, source) {
			continue
		}
		all = append(all, source)
		if slices.Contains(relay.Sources, source) && !t.quarantined(now, source) {
			fit = append(fit, source)
		}
	}
	if len(fit) > 0 {
		return fit
	}
	return all
}

// pollSource sends a long poll that the daemon at the address may hold for the wait
// time, applies the rows in the response and returns the response.
func (d *Daemon) pollSource(ctx context.Context, address string, wait time.Duration) (*gossipMessage, error) {
	ctx, watchdog, release := progress.NewWatchdog(ctx, wait+longPollMargin, longPollMargin)
	defer release()
	return d.sendPoll(ctx, address, wait, watchdog)
}

// sendPoll is pollSource with the watchdog of ctx.
func (d *Daemon) sendPoll(ctx context.Context, address string, wait time.Duration, watchdog *progress.Watchdog) (*gossipMessage, error) {
	var message gossipMessage
	d.loop.call(func(time.Time) { message = d.completeDigest() })
	message.WaitMS = wait.Milliseconds()
	message.Reading = d.reading.Load()
	message.StoreResponds = d.substituting.Load() && !d.storeUnavailable.Load()
	began := d.knowledge.Now()
	response, err := d.sendGossip(ctx, d.longPollClient, address, message, watchdog)
	if err != nil {
		return nil, err
	}
	ended := d.knowledge.Now()
	d.loop.call(func(now time.Time) {
		d.applyGossip(now, response)
		restored := d.enterEra(now, response.Mesh.Version)
		d.tables.operators.advance(response.Operators.Version)
		d.tables.mesh.advance(response.Mesh.Version)
		d.confirmPoll(began, ended, response)
		if restored {
			d.targetRow.update()
		}
	})
	return response, nil
}

// sourcePolls are the concurrent polls of one search for a confirmation.
type sourcePolls struct {
	d       *Daemon
	ctx     context.Context
	asked   []string
	pending []*progress.Watchdog
	results chan pollResult
}

// pollResult is the result of one poll.
type pollResult struct {
	source   string
	watchdog *progress.Watchdog
	response *gossipMessage
	err      error
}

// ask starts a poll.
func (p *sourcePolls) ask(source string, wait time.Duration) {
	if !slices.Contains(p.asked, source) {
		p.asked = append(p.asked, source)
	}
	ctx, watchdog, release := progress.NewWatchdog(p.ctx, wait+longPollMargin, longPollMargin)
	p.pending = append(p.pending, watchdog)
	go func() {
		defer release()
		response, err := p.d.sendPoll(ctx, source, wait, watchdog)
		select {
		case p.results <- pollResult{source, watchdog, response, err}:
		case <-p.ctx.Done():
		}
	}()
}

// remove removes the poll of the result from the pending ones.
func (p *sourcePolls) remove(r pollResult) {
	p.pending = slices.DeleteFunc(p.pending, func(w *progress.Watchdog) bool { return w == r.watchdog })
}

// receiving reports whether a response is being received.
func (p *sourcePolls) receiving() bool {
	return slices.ContainsFunc(p.pending, (*progress.Watchdog).Progressed)
}

// awaitConfirmation polls the source, and others when it does not respond in time,
// until one of them has responded. It returns the response and the address of the
// daemon that sent it. It fails with errNotReading when all sources respond that
// they do not read the store, and with errNotConfirmed when none has responded
// within confirmationTimeout.
func (d *Daemon) awaitConfirmation(ctx context.Context, source string, relay *mesh.Relay, sources *sourceTracker) (*gossipMessage, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	polls := &sourcePolls{d: d, ctx: ctx, results: make(chan pollResult)}
	polls.ask(source, max(confirmationWait, time.Until(sources.confirmedAt.Add(longPollTimeout))))
	backup := time.NewTimer(time.Until(sources.confirmedAt.Add(backupDelay)))
	defer backup.Stop()
	deadline := time.NewTimer(max(minConfirmationTime, time.Until(sources.confirmedAt.Add(confirmationTimeout))))
	defer deadline.Stop()
	askBackups := func() {
		for _, other := range sources.backups(time.Now(), relay, polls.asked) {
			polls.ask(other, confirmationWait)
		}
	}
	expired := false
	failure := error(errNotReading)
	for {
		select {
		case r := <-polls.results:
			polls.remove(r)
			err := r.err
			if err == nil && !r.response.Reading {
				err = errNotReading
			}
			if err == nil {
				sources.confirm(time.Now())
				if r.source != source && !sources.quarantined(time.Now(), source) {
					d.rejectSource(sources, source, errLate)
				}
				return r.response, r.source, nil
			}
			if !errors.Is(err, errNotReading) {
				failure = errNotConfirmed
			}
			d.rejectSource(sources, r.source, err)
			askBackups()
			if len(polls.pending) == 0 || expired && !polls.receiving() {
				return nil, "", fault.Wrap(failure, fault.Stale, "cannot follow the daemon at %s", source)
			}
		case <-backup.C:
			if !polls.receiving() {
				askBackups()
			}
		case <-deadline.C:
			// A response that is being received is not repeated from the store: it would
			// take as long over the same link.
			if expired = true; !polls.receiving() {
				return nil, "", fault.Wrap(errNotConfirmed, fault.Timeout, "cannot follow the daemon at %s", source)
			}
		case <-ctx.Done():
			return nil, "", fault.Wrap(ctx.Err(), fault.Unavailable, "the daemon is stopping")
		}
	}
}

// rejectSource makes a source less preferred for a time.
func (d *Daemon) rejectSource(sources *sourceTracker, source string, err error) {
	duration := failedSourceQuarantine
	if errors.IsAny(err, errNotReading, errReaderRejected, errSourceBehind) {
		duration = unfitSourceQuarantine
	}
	sources.quarantine(time.Now(), source, duration)
	d.logger.Warn().Err(err).Str("event", "source-lost").Str("source", source).Dur("for", duration).Msg("source of rows failed; other sources are preferred to it for a time")
}

// followSources follows the source, and other ones when it fails, until this daemon
// should read the store itself. It returns for how long.
func (d *Daemon) followSources(ctx context.Context, source string, sources *sourceTracker) time.Duration {
	d.logSource(source)
	d.storeUnavailable.Store(false)
	var nextProbe time.Time
	for ctx.Err() == nil {
		relay := d.relay.Load()
		if relay.Reader || !slices.Contains(slices.Concat(relay.Sources, relay.Spares), source) {
			return 0
		}
		begin := time.Now()
		response, from, err := d.awaitConfirmation(ctx, source, relay, sources)
		if err != nil {
			if ctx.Err() != nil {
				return 0
			}
			d.logger.Warn().Err(err).Str("event", "sources-lost").Dur("since", time.Since(sources.confirmedAt)).Msg("no source of rows left; reading the store")
			if errors.Is(err, errNotReading) {
				// Daemons with different rows choose different readers for a short time.
				return unfitSourceQuarantine
			}
			return directReadPeriod
		}
		if from != source {
			source = from
			d.logSource(source)
		}
		d.storeUnavailable.Store(response.StoreUnavailable)
		if !response.StoreUnavailable {
			nextProbe = time.Time{}
			if response.hasRows() {
				sleep(ctx, time.Until(begin.Add(longPollSpacing)))
			}
			continue
		}
		// The store is most likely down for all daemons, but it may reject only the
		// reader's calls. Without being asked, the daemons call it in a random order.
		interval := time.Duration(max(relay.Followers, 1)) * probeInterval
		if nextProbe.IsZero() {
			nextProbe = time.Now().Add(interval*3/5 + rand.N(interval*7/10))
		}
		due := !time.Now().Before(nextProbe)
		if due {
			nextProbe = time.Now().Add(interval)
		}
		if (response.ProbeStore || due) && d.probeForReader(ctx, source) {
			return readerCheckInterval
		}
		sleep(ctx, longPollSpacing)
	}
	return 0
}

// logSource logs the daemon from which rows are read.
func (d *Daemon) logSource(source string) {
	d.logger.Info().Str("event", "rows-from").Str("source", source).Msg("reading rows from another daemon")
}

// confirmedSource asks a source for a confirmation, while this daemon reads the store
// itself. It returns the source's address if the daemon may follow it from now on, and
// "" otherwise.
func (d *Daemon) confirmedSource(ctx context.Context, sources *sourceTracker) string {
	relay := d.relay.Load()
	beforeHandover := d.config.FirstStart && time.Since(d.started) < firstHandoverDelay
	if relay == nil || relay.Reader || !d.meshLoadedFlag.Load() || beforeHandover {
		return ""
	}
	source := sources.preferred(time.Now(), relay)
	if source == "" {
		return ""
	}
	response, err := d.pollSource(ctx, source, confirmationWait)
	if err == nil {
		err = d.checkSource(response)
	}
	if err != nil {
		switch {
		case ctx.Err() != nil:
		case d.substituting.Load():
			// No source is expected to be fit until the store serves a reader.
			sources.quarantine(time.Now(), source, unfitSourceQuarantine)
		default:
			d.rejectSource(sources, source, err)
		}
		return ""
	}
	sources.confirm(time.Now())
	return source
}

// checkSource returns why the daemon that sent the response cannot replace this
// daemon's own reads of the store, or nil.
func (d *Daemon) checkSource(response *gossipMessage) error {
	if !response.Reading {
		return errNotReading
	}
	// While the store does not respond to this daemon, any reader will do.
	if d.storeUnavailable.Load() {
		return nil
	}
	// A reader that the store rejects may get its rows from this daemon.
	if response.StoreUnavailable || d.substituting.Load() && response.StoreAgeMS > 0 {
		return errReaderRejected
	}
	behind := false
	d.loop.call(func(time.Time) {
		// The complete version of a copy also grows with changes of other tables.
		behind = response.Operators.Version < d.tables.operators.newestVersion() || response.Mesh.Version < d.tables.mesh.newestVersion()
	})
	if behind {
		return errSourceBehind
	}
	return nil
}
