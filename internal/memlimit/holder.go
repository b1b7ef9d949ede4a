package memlimit

import (
	"context"
	"time"
)

// use tells what a reservation is for.
type use int

const (
	// small is a connection, a header or a small body.
	small use = iota
	large
)

// state is what a connection is doing.
type state int

const (
	// waiting has received no part of a request yet.
	waiting state = iota
	// header has received part of a request header.
	header
	// body receives the body of a request.
	body
	// running has received a whole request, whose response is not complete.
	running
	// idle has carried a request and has received no part of the next.
	idle
)

// Holder holds the reservations of one connection. A nil *Holder has no limits.
type Holder struct {
	listener *Listener
	// drop ends the connection: at once, or if atOnce is false by failing the reads of
	// the request's body, so that the request is answered.
	drop func(atOnce bool)

	// The fields below are guarded by the budget's mu.
	state state
	// progress is when the connection last made progress.
	progress time.Time
	// received counts the bytes of the body since the last progress.
	received int
	// connection and header are the reserved bytes that end with the connection and
	// with the request. Those of bodies are returned by Release.
	connection, header int64
	// bodies are the bytes of bodies that Release has not returned yet.
	bodies          int64
	headerRead      int64
	dropped, closed bool
	// reading is true while the daemon waits for bytes of the connection.
	reading bool
	// holdsSlot is true while the request holds a slot of a target.
	holdsSlot bool
}

// busy reports whether the connection waits for the daemon and not for its client.
func (h *Holder) busy() bool { return h.state == running || h.state == body && !h.reading }

// before reports whether h is dropped before other.
func (h *Holder) before(other *Holder) bool {
	if (h.state == idle) != (other.state == idle) {
		return other.state == idle
	}
	return h.progress.Before(other.progress)
}

// endsAtOnce reports whether a drop closes the connection. Another daemon would take a
// closed connection for a broken target, so its request is answered.
func (h *Holder) endsAtOnce() bool { return h.listener.kind != Inbound || h.state != body }

// dropAndUnlock drops the connection. The budget's mu is held and is unlocked.
func (h *Holder) dropAndUnlock() {
	b := h.listener.budget
	atOnce := h.endsAtOnce()
	h.dropped = true
	h.listener.dropped++
	b.droppedBodies += h.bodies
	event := h.listener.event(Stalled)
	event.Stalled = b.now().Sub(h.progress)
	b.mu.Unlock()
	b.report(event)
	h.drop(atOnce)
}

// Dropped reports whether the connection was dropped.
func (h *Holder) Dropped() bool {
	if h == nil {
		return false
	}
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.dropped
}

// SetSlot tells whether the request holds a slot of a target.
func (h *Holder) SetSlot(held bool) {
	if h == nil {
		return
	}
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.holdsSlot = held
}

// DropStalledSlot drops the request that holds a slot of a target and whose body has
// been stalled longest, if there is one.
func (h *Holder) DropStalledSlot() {
	b := h.listener.budget
	b.mu.Lock()
	if victim := b.longestStalled(func(v *Holder) bool { return v.holdsSlot && v.state == body }); victim != nil {
		victim.dropAndUnlock()
		return
	}
	b.mu.Unlock()
}

// BeginRead tells that the daemon waits for bytes of the connection, until Received.
func (h *Holder) BeginRead() {
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.reading = true
}

// Received counts bytes that the connection received, which may be none. It returns
// false if the request header does not fit into the budget; the connection must then
// be closed.
func (h *Holder) Received(n int) bool {
	b := h.listener.budget
	b.mu.Lock()
	h.reading = false
	if n == 0 || h.closed {
		b.mu.Unlock()
		return !h.closed
	}
	if h.state == waiting || h.state == idle {
		// The progress of a header is its first byte, so that single bytes do not keep a
		// connection.
		h.state, h.progress = header, b.now()
	}
	if h.state != header {
		if h.received += n; h.received >= progressBytes {
			h.received, h.progress = 0, b.now()
		}
		b.mu.Unlock()
		return true
	}
	h.headerRead += int64(n)
	// net/http holds the fields of a header in buffers of up to twice their length.
	// ConnectionBytes covers headers of the usual length.
	needed := 2*h.headerRead - ConnectionBytes - h.header
	if needed <= 0 || b.fits(h, needed, small) {
		if needed > 0 {
			h.header += needed
			b.used += needed
		}
		b.mu.Unlock()
		return true
	}
	if victim := b.longestStalled(func(v *Holder) bool { return v != h }); victim != nil {
		victim.dropAndUnlock()
		b.mu.Lock()
		if b.fits(h, needed, small) {
			h.header += needed
			b.used += needed
			b.mu.Unlock()
			return true
		}
	}
	event := h.listener.event(Headers)
	b.mu.Unlock()
	b.report(event)
	return false
}

// BeginBody tells that the header of a request has been received.
func (h *Holder) BeginBody() { h.setState(body) }

// BeginRun tells that a request has been received whole.
func (h *Holder) BeginRun() { h.setState(running) }

// EndRequest tells that the response is complete and the connection idle.
func (h *Holder) EndRequest() {
	if h == nil {
		return
	}
	h.setState(idle)
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.releaseLocked(h.header)
	h.header, h.headerRead = 0, 0
}

func (h *Holder) setState(s state) {
	if h == nil {
		return
	}
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.state, h.progress, h.received = s, b.now(), 0
}

// Close returns the reservations of a closed connection, except those of bodies.
func (h *Holder) Close() {
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(b.holders, h)
	h.listener.open--
	if h.dropped {
		h.listener.dropped--
	}
	h.releaseLocked(h.connection + h.header)
	h.connection, h.header = 0, 0
}

// Reserve reserves n more bytes for the body of a request, which has total bytes with
// them. If they do not fit, it drops stalled connections and waits for releaseWait at
// most. It returns false if the bytes do not fit then; the request must be refused.
func (h *Holder) Reserve(n, total int64) bool {
	if h.try(n, total) {
		return true
	}
	b := h.listener.budget
	timeout := time.NewTimer(releaseWait)
	defer timeout.Stop()
	for expired := false; ; {
		b.mu.Lock()
		if b.reserve(h, n, useOf(total)) {
			b.mu.Unlock()
			return true
		}
		if victim := b.longestStalled(func(v *Holder) bool { return v != h }); victim != nil && !expired {
			victim.dropAndUnlock()
			continue
		}
		if expired || h.dropped || !b.dropping() {
			event := h.listener.event(Bodies)
			b.mu.Unlock()
			b.report(event)
			return false
		}
		if b.released == nil {
			b.released = make(chan struct{})
		}
		released := b.released
		b.mu.Unlock()
		select {
		case <-released:
		case <-timeout.C:
			expired = true
		}
	}
}

// ReserveResponse reserves n bytes for the body of a response. If they do not fit, it
// returns false and the response must be streamed.
func (h *Holder) ReserveResponse(n int64) bool {
	if h.try(n, n) {
		return true
	}
	b := h.listener.budget
	b.mu.Lock()
	event := h.listener.event(Responses)
	b.mu.Unlock()
	b.report(event)
	return false
}

func useOf(total int64) use {
	if total <= SmallBytes {
		return small
	}
	return large
}

func (h *Holder) try(n, total int64) bool {
	if h == nil {
		return true
	}
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(h, n, useOf(total))
}

// reserve reserves bytes of a body if they fit. mu is held.
func (b *Budget) reserve(h *Holder, n int64, use use) bool {
	if h.dropped || !b.fits(h, n, use) {
		return false
	}
	b.used += n
	b.bodies += n
	h.bodies += n
	return true
}

// dropping reports whether the bodies of a dropped connection may still be returned.
// mu is held.
func (b *Budget) dropping() bool { return b.droppedBodies > 0 }

// Release returns n bytes of a body.
func (h *Holder) Release(n int64) {
	if h == nil || n == 0 {
		return
	}
	b := h.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies -= n
	h.bodies -= n
	if h.dropped {
		b.droppedBodies -= n
	}
	h.releaseLocked(n)
}

func (h *Holder) releaseLocked(n int64) {
	b := h.listener.budget
	b.used -= n
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

type holderKey struct{}

// NewContext returns a context with the holder of the connection of a request.
func NewContext(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// FromContext returns the holder of the connection of a request, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}
