package routing

import (
	"slices"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// classes lists the classes in the order in which their requests go.
var classes = [classCount]model.Class{model.Urgent, model.Normal, model.Bulk}

const classCount = 3

// rank returns the index of a class in classes. Unknown classes rank as normal.
func rank(c model.Class) int {
	switch c {
	case model.Urgent:
		return 0
	case model.Bulk:
		return 2
	}
	return 1
}

// waitQueue holds the waiters of one target, by class and in the order in which
// they get a slot.
type waitQueue struct {
	classes [classCount][]*Waiter
}

// length returns the number of waiters.
func (q *waitQueue) length() int {
	n := 0
	for _, waiters := range q.classes {
		n += len(waiters)
	}
	return n
}

func (q *waitQueue) empty(class int) bool { return len(q.classes[class]) == 0 }

func (q *waitQueue) insert(w *Waiter) {
	waiters := q.classes[rank(w.Class)]
	at := len(waiters)
	for at > 0 && goesBefore(w, waiters[at-1]) {
		at--
	}
	q.classes[rank(w.Class)] = slices.Insert(waiters, at, w)
}

// goesBefore reports whether a new waiter goes before another of its class: first those
// of starved kinds and tenants, then by priority, then calls of servers, then by the
// latest start. A call that waits keeps a slot of another target in use. In the order of
// objectives, short requests starve long ones, which need their slot well before their
// objective.
func goesBefore(w, other *Waiter) bool {
	switch {
	case w.promoted != other.promoted:
		return w.promoted
	case w.Priority != other.Priority:
		return w.Priority < other.Priority
	case w.ServerCall != other.ServerCall:
		return w.ServerCall
	}
	return !w.Objective.IsZero() && (other.Objective.IsZero() || w.latestStart.Before(other.latestStart))
}

// remove removes a waiter. It returns false when the waiter is not in the queue.
func (q *waitQueue) remove(w *Waiter) bool {
	waiters := q.classes[rank(w.Class)]
	i := slices.Index(waiters, w)
	if i < 0 {
		return false
	}
	q.classes[rank(w.Class)] = slices.Delete(waiters, i, i+1)
	return true
}

// removeIf removes the waiters for which expired returns true.
func (q *waitQueue) removeIf(expired func(*Waiter) bool) {
	for class, waiters := range q.classes {
		q.classes[class] = slices.DeleteFunc(waiters, expired)
	}
}

// each calls do for each waiter.
func (q *waitQueue) each(do func(*Waiter)) {
	for _, waiters := range q.classes {
		for _, w := range waiters {
			do(w)
		}
	}
}

// pop removes and returns the waiter of the class that gets the next slot. shares may
// be nil.
func (q *waitQueue) pop(class int, shares *fairShares) *Waiter {
	at := 0
	if shares != nil {
		at = shares.first(q.classes[class])
	}
	w := q.classes[class][at]
	q.classes[class] = slices.Delete(q.classes[class], at, at+1)
	return w
}

// countAhead returns the number of waiters that go before a new request. shares may be
// nil.
func (q *waitQueue) countAhead(w *Waiter, shares *fairShares) int {
	n := 0
	class := rank(w.Class)
	for i := range class {
		n += len(q.classes[i])
	}
	if shares != nil {
		return n + shares.countAhead(w, q.classes[class])
	}
	for _, other := range q.classes[class] {
		if !goesBefore(w, other) {
			n++
		}
	}
	return n
}

// evictLower removes and returns the last waiter of a lower class, or of the same class
// with a lower priority, or else one of the tenant with the largest share. It returns
// nil when there is none. shares may be nil.
func (q *waitQueue) evictLower(w *Waiter, shares *fairShares) *Waiter {
	class := rank(w.Class)
	for i := classCount - 1; i >= class; i-- {
		n := len(q.classes[i])
		if n == 0 {
			continue
		}
		victim := q.classes[i][n-1]
		if i == class && victim.Priority <= w.Priority {
			return q.evictShare(w, shares)
		}
		q.classes[i] = q.classes[i][:n-1]
		return victim
	}
	return nil
}

// evictShare removes and returns a waiter of the tenant with the largest share, or
// returns nil when that is the tenant of w.
func (q *waitQueue) evictShare(w *Waiter, shares *fairShares) *Waiter {
	if shares == nil {
		return nil
	}
	class := rank(w.Class)
	at := shares.victim(w, q.classes[class])
	if at < 0 {
		return nil
	}
	victim := q.classes[class][at]
	q.classes[class] = slices.Delete(q.classes[class], at, at+1)
	return victim
}
