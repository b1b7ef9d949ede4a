package memlimit

import (
	"sync"
	"time"
)

// Budget holds the reservations of all connections of a process. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	// report is called, without locks, for each decision against a client.
	report func(Event)
	now    func() time.Time

	mu sync.Mutex
	// used is the sum of all reservations, and bodies the part of it for bodies.
	used, bodies int64
	// droppedBodies is the part of bodies that belongs to dropped connections.
	droppedBodies int64
	holders       map[*Holder]struct{}
	// released is closed when a reservation is returned; nil while nobody waits.
	released chan struct{}
}

// New returns a budget. report may be nil.
func New(limits Limits, now func() time.Time, report func(Event)) *Budget {
	if report == nil {
		report = func(Event) {}
	}
	return &Budget{limits: limits, now: now, report: report, holders: map[*Holder]struct{}{}}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Kind is the kind of a listener.
type Kind int

// Kinds of listeners.
const (
	// Caller accepts requests of callers.
	Caller Kind = iota
	// Inbound accepts requests of other daemons.
	Inbound
	// Peer accepts messages of other daemons.
	Peer
	// Other accepts no requests of callers.
	Other
)

// Listener bounds the connections of one listener.
type Listener struct {
	budget         *Budget
	name           string
	kind           Kind
	maxConnections int
	// open is the number of connections, and dropped the part of them that is being
	// closed. The budget's mu guards both.
	open, dropped int
}

// Listener returns the limits of a listener.
func (b *Budget) Listener(name string, kind Kind) *Listener {
	l := &Listener{budget: b, name: name, kind: kind, maxConnections: b.limits.RequestConnections}
	switch kind {
	case Peer:
		l.maxConnections = b.limits.PeerConnections
	case Other:
		l.maxConnections = b.limits.OtherConnections
	}
	return l
}

// Open reserves a connection. If there is no room, it drops the connections that have
// been stalled longest. It returns nil if that makes no room. drop(true) must close the
// connection and then call Holder.Close; drop(false) must fail the reads of the
// request's body.
func (l *Listener) Open(drop func(atOnce bool)) *Holder {
	b := l.budget
	h := &Holder{listener: l, drop: drop, connection: ConnectionBytes, state: waiting, progress: b.now()}
	for {
		b.mu.Lock()
		countFull := l.maxConnections > 0 && l.open >= l.maxConnections
		memoryFull := b.limits.Bytes > 0 && b.used+ConnectionBytes > b.limits.Bytes
		if !countFull && !memoryFull {
			l.open++
			b.used += h.connection
			b.holders[h] = struct{}{}
			b.mu.Unlock()
			return h
		}
		victim := b.longestStalled(func(v *Holder) bool { return !countFull || v.listener == l })
		if victim == nil || l.dropped > 0 {
			event := l.event(Connections)
			b.mu.Unlock()
			b.report(event)
			return nil
		}
		victim.dropAndUnlock()
	}
}

// event returns an event with the current figures. The budget's mu is held.
func (l *Listener) event(reason Reason) Event {
	return Event{Reason: reason, Listener: l.name, Open: l.open, Used: l.budget.used, Capacity: l.budget.limits.Bytes}
}

// longestStalled returns the connection to drop first: of those that have made no
// progress for StallTime the one with the oldest progress, idle connections last. It
// returns nil if there is none. mu is held.
func (b *Budget) longestStalled(eligible func(*Holder) bool) *Holder {
	var found *Holder
	now := b.now()
	for h := range b.holders {
		if h.dropped || h.busy() || now.Sub(h.progress) < StallTime || !eligible(h) {
			continue
		}
		if found == nil || h.before(found) {
			found = h
		}
	}
	return found
}

// fits reports whether n more bytes fit. mu is held.
func (b *Budget) fits(h *Holder, n int64, use use) bool {
	capacity := b.limits.Bytes
	switch {
	case capacity == 0:
		return true
	case use == small:
		return b.used+n <= capacity
	case h.listener.kind == Caller && b.bodies+n > capacity/callerBodyDivisor:
		return false
	}
	return b.used+n <= capacity-capacity/reservedDivisor
}
