package timeline

import (
	"sync"
	"time"
)

// Filter selects events; zero fields select all.
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

// Recorder keeps the newest events of one daemon and its Lamport clock. Its
// methods may be called from several goroutines.
type Recorder struct {
	vm  string
	now func() time.Time

	mu    sync.Mutex
	clock uint64
	ring  []Event
	// next is where the next event goes once the ring is full.
	next int
}

// New returns a recorder that keeps capacity events, at least one.
func New(vm string, capacity int, now func() time.Time) *Recorder {
	return &Recorder{vm: vm, now: now, ring: make([]Event, 0, max(capacity, 1))}
}

// Append advances the clock, stamps the event with clock, time and VM, and
// keeps it. It returns the stamped event. The oldest event makes room.
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

// Witness takes note of the clock of a received message, so that later events
// here come after the sender's.
func (r *Recorder) Witness(clock uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock = max(r.clock, clock)
}

// Clock returns the clock to send with a message.
func (r *Recorder) Clock() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock
}

// Events returns the kept events that the filter selects, oldest first.
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
