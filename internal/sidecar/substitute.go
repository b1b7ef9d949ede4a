package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
)

// delegatedProbes hands calls to the store from a reader that gets no updates to the
// daemons that poll it. The store may serve them while it rejects the reader. The reader
// leaves out one of its own calls for each, so the store gets no more calls than from the
// reader alone. It is safe for concurrent use.
type delegatedProbes struct {
	mu      sync.Mutex
	offered bool
	// taken counts the calls that were handed over.
	taken int
	// delegates are the VMs that have taken an offer. None takes a second one before the
	// others that poll have taken one.
	delegates map[string]bool
}

// offer offers one call. If the previous one was not taken, all VMs may take the next.
func (p *delegatedProbes) offer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offered {
		clear(p.delegates)
	}
	p.offered = true
}

// take reports whether the daemon of the VM should make the offered call.
func (p *delegatedProbes) take(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.offered || p.delegates[vm] {
		return false
	}
	if p.delegates == nil {
		p.delegates = map[string]bool{}
	}
	p.offered, p.delegates[vm] = false, true
	p.taken++
	return true
}

// collect returns the number of calls that were handed over since it was last called.
func (p *delegatedProbes) collect() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.taken
	p.taken = 0
	return taken
}

// reset withdraws the offer and forgets the delegates.
func (p *delegatedProbes) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offered, p.taken = false, 0
	clear(p.delegates)
}

// substituteReader is the daemon from which a reader gets its rows while the store rejects
// the reader. It is safe for concurrent use.
type substituteReader struct {
	mu      sync.Mutex
	address string
	// appointed is closed and replaced when a daemon becomes the substitute.
	appointed chan struct{}
}

// appoint makes the daemon at the address the substitute unless there is one.
func (s *substituteReader) appoint(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address != "" {
		return
	}
	s.address = address
	if s.appointed != nil {
		close(s.appointed)
		s.appointed = nil
	}
}

// dismiss removes the substitute at the address.
func (s *substituteReader) dismiss(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		s.address = ""
	}
}

// current returns the address of the substitute, or "" without one, and a channel that is
// closed when the next one is appointed.
func (s *substituteReader) current() (address string, appointed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appointed == nil {
		s.appointed = make(chan struct{})
	}
	return s.address, s.appointed
}

// readerRetryTime is how long a daemon that has reached the store for its reader waits until
// the reader has called the store again: the wait time and the latency of a watch.
const readerRetryTime = unavailableWatchTimeout + 50*time.Millisecond

// announceSubstitute tells the readers of the failure domain that this daemon reads the
// store in their place, if it does.
func (d *Daemon) announceSubstitute(ctx context.Context) {
	if !d.substituting.Load() {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for _, reader := range d.relay.Load().Sources {
		group.Go(func() {
			// A reader that does not respond is told again by the polls of confirmedSource.
			_, _ = d.pollSource(ctx, reader, confirmationWait)
		})
	}
}

// handleStoreContact handles a message whose sender may get responses of the store. If it
// does, a reader that the store rejects calls the store again at once, or follows the sender
// if that reads the store.
func (d *Daemon) handleStoreContact(message *gossipMessage) {
	if !message.StoreResponds || !d.reading.Load() || !d.storeUnavailable.Load() {
		return
	}
	if !message.Reading {
		d.recovery.signal()
		return
	}
	known := false
	d.loop.call(func(time.Time) { known = slices.Contains(d.node.PeerAddresses(), message.Peer) })
	if known {
		d.substitute.appoint(message.Peer)
	}
}

// probeForReader calls the store in place of the reader at the address, which the store
// rejects. It reports whether this daemon should read the store as a substitute, because
// the store responds to it and still not to the reader.
func (d *Daemon) probeForReader(ctx context.Context, reader string) bool {
	if _, err := d.list(ctx, causeProbe, d.config.Operators.Table()); err != nil {
		return false
	}
	d.storeUnavailable.Store(false)
	d.substituting.Store(true)
	// The reader learns from the first poll that the store may serve it again.
	if _, err := d.pollSource(ctx, reader, confirmationWait); err == nil {
		sleep(ctx, readerRetryTime)
		if response, err := d.pollSource(ctx, reader, confirmationWait); err == nil && d.checkSource(response) == nil {
			d.substituting.Store(false)
			return false
		}
	}
	// The store may reject the calls for one table only.
	if _, err := d.list(ctx, causeProbe, mesh.Table); err != nil {
		d.substituting.Store(false)
		return false
	}
	d.logger.Info().Str("event", "substitute-reader").Str("reader", reader).Msg("the store responds to this daemon but rejects the reader; reading the store in its place")
	return true
}
