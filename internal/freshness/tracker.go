// Package freshness bounds the age of a daemon's knowledge of the operators' table.
// It does no I/O except for reading the clock in Boottime.
package freshness

import (
	"math"
	"sync/atomic"
	"time"
)

// Unknown is the age of knowledge that was never confirmed.
const Unknown = time.Duration(math.MaxInt64)

// Tracker holds the latest moment up to which everything that the store acknowledged
// is in force. Moments are readings of its clock. It is safe for concurrent use.
type Tracker struct {
	now func() time.Duration
	// confirmed is the moment plus one nanosecond, or zero before the first
	// confirmation.
	confirmed atomic.Int64
}

// NewTracker returns a Tracker without a confirmation. The clock must not stand still
// while the machine is suspended; see Boottime.
func NewTracker(now func() time.Duration) *Tracker { return &Tracker{now: now} }

// Now returns the reading of the clock.
func (t *Tracker) Now() time.Duration { return t.now() }

// Confirm records that everything that the store acknowledged before the moment is in
// force. A moment before an earlier one changes nothing, so the age never grows by a
// confirmation. A moment in the future, which no response can confirm, and one before
// the start of the clock are ignored.
func (t *Tracker) Confirm(at time.Duration) {
	if at < 0 || at > t.now() {
		return
	}
	for {
		known := t.confirmed.Load()
		if int64(at) < known || t.confirmed.CompareAndSwap(known, int64(at)+1) {
			return
		}
	}
}

// Confirmed returns the latest confirmed moment, or false before the first confirmation.
func (t *Tracker) Confirmed() (time.Duration, bool) {
	known := t.confirmed.Load()
	return time.Duration(max(known-1, 0)), known != 0
}

// Age returns an upper bound of the time since the confirmed moment, or Unknown.
func (t *Tracker) Age() time.Duration {
	// The clock is read last, so that a concurrent confirmation cannot make the age
	// negative.
	known := t.confirmed.Load()
	if known == 0 {
		return Unknown
	}
	if age := t.now() - time.Duration(known-1); age >= 0 {
		return age
	}
	// The clock ran backwards, so nothing is known about the time that has passed.
	return Unknown
}
