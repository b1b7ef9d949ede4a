package routing

import (
	"slices"
	"time"
)

const (
	// minLongResponseShare is the fraction of the link's rate that long responses get
	// however much other data the VM sends, so that they are not starved.
	minLongResponseShare = 0.3
	// linkHeadroom is the fraction of the link's rate that long responses leave unused.
	// It keeps the queue of the link short, where short responses would wait.
	linkHeadroom = 0.1
)

// LongResponses decides in which order long responses use the link of a VM, and when
// each may send its next part. On a slow link, a response of 90 kB delays everything
// behind it by 45 ms, and a few of them delay it beyond the objective of short
// responses. One long response is sent at a time: in the order of their objectives,
// those that have passed last. It is not safe for concurrent use.
type LongResponses struct {
	// rate is the capacity of the link in bytes per second.
	rate    float64
	waiting []*LongResponse
	// freeAt is the time at which the parts that were sent have left the link.
	freeAt time.Time
	// otherRate is the rate of the other data that the VM sends, in bytes per second.
	otherRate float64
}

// LongResponse is a response that waits for its turn or is being sent.
type LongResponse struct {
	// Objective is the time by which the caller wants the response; zero means none.
	Objective time.Time
	// Left is the number of bytes that are not sent yet.
	Left int64
}

// NewLongResponses returns the order for a link with a capacity of rate bytes per second.
func NewLongResponses(rate uint64) *LongResponses { return &LongResponses{rate: float64(rate)} }

// SetOtherRate sets the rate of the other data that the VM sends, in bytes per second.
func (l *LongResponses) SetOtherRate(rate float64) { l.otherRate = max(0, rate) }

// Enter adds a response. Leave must follow.
func (l *LongResponses) Enter(r *LongResponse) { l.waiting = append(l.waiting, r) }

// Leave removes a response that is complete or was given up.
func (l *LongResponses) Leave(r *LongResponse) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *LongResponse) bool { return other == r })
}

// Next returns the response that sends next and the time until it may, or nil when
// none waits.
func (l *LongResponses) Next(now time.Time) (*LongResponse, time.Duration) {
	var next *LongResponse
	for _, r := range l.waiting {
		if next == nil || l.goesBefore(now, r, next) {
			next = r
		}
	}
	return next, max(0, l.freeAt.Sub(now))
}

// goesBefore reports whether r is sent before other: the one with the earlier
// objective, unless only the other one can still meet its own.
func (l *LongResponses) goesBefore(now time.Time, r, other *LongResponse) bool {
	if late, otherLate := l.late(now, r), l.late(now, other); late != otherLate {
		return otherLate
	}
	return !r.Objective.IsZero() && (other.Objective.IsZero() || r.Objective.Before(other.Objective))
}

// late reports whether the response misses its objective even if it is sent next.
func (l *LongResponses) late(now time.Time, r *LongResponse) bool {
	return !r.Objective.IsZero() && now.Add(l.transferTime(r.Left)).After(r.Objective)
}

// Sent records that a part of the response is passed to the network.
func (l *LongResponses) Sent(now time.Time, r *LongResponse, bytes int) {
	r.Left -= int64(bytes)
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.transferTime(int64(bytes)))
}

// Wait returns how long a further response waits until those with an earlier objective
// are sent.
func (l *LongResponses) Wait(now, objective time.Time) time.Duration {
	further := &LongResponse{Objective: objective}
	var ahead int64
	for _, r := range l.waiting {
		if !l.goesBefore(now, further, r) {
			ahead += max(0, r.Left)
		}
	}
	return max(0, l.freeAt.Sub(now)) + l.transferTime(ahead)
}

// transferTime returns how long a response of the length takes when no other waits.
func (l *LongResponses) transferTime(bytes int64) time.Duration {
	share := max(minLongResponseShare, 1-linkHeadroom-l.otherRate/l.rate)
	return time.Duration(float64(bytes) / (share * l.rate) * float64(time.Second))
}
