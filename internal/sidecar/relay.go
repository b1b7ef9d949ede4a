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
	// relayWait is how long a reader keeps a question without news. A reader
	// that died is noticed after it and relayMargin; both together, and a call
	// to the store, are below the two seconds that a configuration may take.
	relayWait   = 800 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// relaySpacing is the least time between two answers with news. A large
	// configuration takes a small VM some 50 ms to put into force.
	relaySpacing = 300 * time.Millisecond
	// directFor is how long a daemon reads the store itself after its source
	// failed, and sourcePause how long a failed source is not asked.
	directFor   = 3 * time.Second
	sourcePause = 8 * time.Second
	// settleFor is how long a source that does not read the store is not asked,
	// and how long a daemon without another source reads the store itself. The
	// source notices within roleInterval that it should read, once it has the same
	// rows.
	settleFor = time.Second
	// probePause is how often a daemon calls the store while its reader says that
	// the store does not answer.
	probePause = 2 * time.Second
	// roleInterval is how often a daemon that reads the store looks whether it
	// still should.
	roleInterval = 250 * time.Millisecond
	// rolePause and roleLooks bound how long a daemon that has listed the
	// operators' table waits for the list of the mesh. A list takes 4 ms, or 240 ms
	// while the store is slow.
	rolePause = 20 * time.Millisecond
	roleLooks = 15
	// firstRead is when daemons that all start for the first time read the store:
	// after the first heartbeats, which come within 3.5 s, and seconds before
	// callers. By then the rows of all targets are written, so that one list
	// brings them and few daemons need a watch. firstReadSpread keeps the lists
	// below the store's rate, which is 16,000 reads/s for 295 daemons.
	firstRead       = 3700 * time.Millisecond
	firstReadSpread = 300 * time.Millisecond
	// firstLeave is when they leave the store to the readers, which have listed
	// it by then.
	firstLeave = firstRead + firstReadSpread + 100*time.Millisecond
)

// Reasons why a source that answers is left.
var (
	errNotReading = errors.New("it does not read the store")
	errTurnedAway = errors.New("the store turns it away and not this daemon")
)

// followRows keeps the tables up to date, from the store or from the readers
// of the failure domain.
func (d *Daemon) followRows(ctx context.Context) {
	if d.config.FirstStart {
		sleep(ctx, firstRead+rand.N(firstReadSpread))
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
		d.logger.Warn().Err(err).Str("event", "source-lost").Str("source", source).Msg("the daemon looks for another source of rows")
		switch {
		case errors.Is(err, errTurnedAway):
			directUntil = time.Now().Add(directFor)
		case errors.Is(err, errNotReading):
			// Daemons whose rows differ choose different readers for a moment.
			failed.add(time.Now(), source, settleFor)
			directUntil = d.directUnless(&failed, settleFor)
		default:
			failed.add(time.Now(), source, sourcePause)
			directUntil = d.directUnless(&failed, directFor)
		}
	}
}

// directUnless returns until when the daemon reads the store itself: not at all
// while there is another reader to ask.
func (d *Daemon) directUnless(failed *failedSources, wait time.Duration) time.Time {
	now := time.Now()
	if relay := d.relay.Load(); relay != nil && failed.choose(now, relay.Sources) != "" {
		return now
	}
	return now.Add(wait)
}

// failedSources remembers the sources that failed lately.
type failedSources struct{ until map[string]time.Time }

func (f *failedSources) add(now time.Time, source string, pause time.Duration) {
	if f.until == nil {
		f.until = map[string]time.Time{}
	}
	f.until[source] = now.Add(pause)
}

// choose returns the first source that did not fail lately, or "".
func (f *failedSources) choose(now time.Time, sources []string) string {
	for _, s := range sources {
		if now.After(f.until[s]) {
			return s
		}
	}
	return ""
}

// readStore watches both tables until the time, and on until another daemon
// reads them for this one. It ends early when the store does not answer and
// there is another daemon to ask.
func (d *Daemon) readStore(ctx context.Context, until time.Time, others bool) {
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	d.reading.Store(true)
	defer d.reading.Store(false)
	d.logger.Info().Str("event", "rows-from").Str("source", "store").Msg("the daemon reads the store")
	var group sync.WaitGroup
	// After a failed source there may be several versions of a configuration to
	// catch up with. A watch would bring them all, a list only the newest one.
	list := time.Now().Before(until)
	group.Go(func() { d.operatorFollower().run(watching, list) })
	group.Go(func() { d.meshFollower().run(watching, list) })
	group.Go(func() { d.askReader(watching) })
	for ctx.Err() == nil {
		sleep(ctx, roleInterval)
		relay := d.relay.Load()
		early := d.config.FirstStart && time.Since(d.started) < firstLeave
		settled := time.Now().After(until) || others && d.storeLost.Load()
		if relay != nil && !relay.Reader && d.listedOnce.Load() && !early && settled {
			break
		}
	}
	cancel()
	group.Wait()
}

// askReader lets a reader ask the next one while it reads the store, so that
// it learns of changes also when the store does not answer it.
func (d *Daemon) askReader(ctx context.Context) {
	for ctx.Err() == nil {
		relay := d.relay.Load()
		if relay == nil || !relay.Reader || len(relay.Sources) == 0 {
			sleep(ctx, roleInterval)
			continue
		}
		answer, err := d.ask(ctx, relay.Sources[0])
		lost := err != nil || !answer.Reading || answer.StoreLost
		d.nextLost.Store(lost)
		if lost {
			sleep(ctx, relayWait)
		}
	}
}

// followSource asks the daemon at the address for news until it fails, or
// until this daemon should read the store itself. It fails with fault.Stale
// when the other daemon does not read the store, or is turned away by it.
func (d *Daemon) followSource(ctx context.Context, source string) error {
	d.logger.Info().Str("event", "rows-from").Str("source", source).Msg("another daemon reads the store for this one")
	d.storeLost.Store(false)
	probed := time.Now()
	for ctx.Err() == nil {
		relay := d.relay.Load()
		if relay.Reader || !slices.Contains(relay.Sources, source) {
			return nil
		}
		answer, err := d.ask(ctx, source)
		if err != nil {
			return err
		}
		if !answer.Reading {
			return fault.Wrap(errNotReading, fault.Stale, "the daemon at %s", source)
		}
		d.storeLost.Store(answer.StoreLost)
		if !answer.StoreLost {
			continue
		}
		// Most likely the store is down for all. One call now and then tells
		// whether it only turns the reader away.
		if time.Since(probed) >= probePause {
			if _, err := d.list(ctx, causeProbe, d.config.Operators.Table()); err == nil {
				return fault.Wrap(errTurnedAway, fault.Stale, "the daemon at %s", source)
			}
			probed = time.Now()
		}
		sleep(ctx, relaySpacing)
	}
	return nil
}

// ask waits for news of the daemon at the address, takes them over and
// returns the answer.
func (d *Daemon) ask(ctx context.Context, source string) (*gossip, error) {
	var message gossip
	d.loop.call(func(time.Time) { message = d.cursors() })
	message.WaitMS = relayWait.Milliseconds()
	began := time.Now()
	watched, watch, release := progress.NewWatchdog(ctx, relayWait+relayMargin, relayMargin)
	defer release()
	answer, err := d.sendGossip(watched, d.relays, source, message, watch)
	if err != nil {
		return nil, err
	}
	d.loop.call(func(now time.Time) {
		d.takeRows(now, answer)
		d.tables.operators.reach(answer.Operators.Version)
		d.tables.mesh.reach(answer.Mesh.Version)
	})
	if len(answer.Operators.Rows)+len(answer.Mesh.Rows) > 0 {
		sleep(ctx, time.Until(began.Add(relaySpacing)))
	}
	return answer, nil
}

// cursors asks for all rows after those that this daemon has in full. It runs
// in the loop.
func (d *Daemon) cursors() gossip {
	return gossip{
		VM: d.config.VM, Peer: d.config.Peer, Own: d.own.record(),
		Operators: known{Version: d.tables.operators.complete}, Mesh: known{Version: d.tables.mesh.complete},
	}
}

// awaitNews returns once there are rows for the question, the store is lost,
// or the wait has ended.
func (d *Daemon) awaitNews(ctx context.Context, message *gossip) {
	deadline := time.NewTimer(min(relayWait, time.Duration(message.WaitMS)*time.Millisecond))
	defer deadline.Stop()
	for {
		var news bool
		var changed <-chan struct{}
		d.loop.call(func(time.Time) {
			news = d.tables.operators.newest() > message.Operators.Version || d.tables.mesh.newest() > message.Mesh.Version
			changed = d.tables.changed
		})
		if news || d.cutOff() || !d.reading.Load() {
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

// cutOff reports whether neither the store nor the next reader tells this
// daemon of changes.
func (d *Daemon) cutOff() bool { return d.storeLost.Load() && d.nextLost.Load() }
