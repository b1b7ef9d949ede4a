package timeline

import (
	"sync"
	"time"
)

// Filter selects events by the fields that are set. A zero field matches every
// event.
type Filter struct {
	Ticket  uint64
	VM      string
	Request string
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	if f.Ticket != 0 && f.Ticket != e.Ticket {
		return false
	}
	if f.VM != "" && f.VM != e.VM {
		return false
	}
	return f.Request == "" || f.Request == e.Request
}

// Recorder stores the newest events of one daemon and its Lamport clock. It is safe
// for concurrent use.
type Recorder struct {
	vm  string
	now func() time.Time

	mu    sync.Mutex
	clock uint64
	ring  []Event
	// next is the index of the oldest event once the ring is full. The next
	// event replaces it.
	next int
}

// New returns a recorder that stores up to capacity events, at least one. now
// returns the wall clock time of events.
func New(vm string, capacity int, now func() time.Time) *Recorder {
	return &Recorder{vm: vm, now: now, ring: make([]Event, 0, max(capacity, 1))}
}

// Append advances the clock, sets the event's clock, time and VM, and stores it. It
// returns the event as stored. A full recorder drops its oldest event.
func (r *Recorder) Append(e Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	e.Clock = r.clock
	e.At = r.now().UTC().Round(0)
	e.VM = r.vm
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return e
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
	return e
}

// Witness advances the clock to at least that of a received message, so that later
// events of this daemon are ordered after the sender's.
func (r *Recorder) Witness(clock uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = max(r.clock, clock)
}

// Clock returns the current Lamport clock, which the daemon sends with a message.
func (r *Recorder) Clock() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock
}

// Events returns the stored events that match the filter, oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if filter.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}
