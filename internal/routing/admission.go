package routing

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

const (
	// bulkPart is the part of the slots that bulk requests may hold.
	bulkPart = 0.6
	// queuePerSlot is the length of the queue for each slot. A longer queue
	// only adds latency that callers do not wait for.
	queuePerSlot = 2
	// timeWeight is the weight of the newest request in the mean times.
	timeWeight = 0.1
)

// Verdict is what admission decided about a request.
type Verdict int

// Verdicts of admission.
const (
	// Waiting requests are in the queue.
	Waiting Verdict = iota
	// Admitted requests hold a slot.
	Admitted
	// ShedFull requests found the queue full.
	ShedFull
	// ShedDeadline requests cannot be finished before their deadline.
	ShedDeadline
	// Abandoned requests left the queue by themselves.
	Abandoned
)

// Waiter is a request at a target's admission.
type Waiter struct {
	Class    model.Class
	Deadline time.Time
	Verdict  Verdict
	admitted time.Time
}

// Admission holds the slots of one target and the queue for them. It is not
// safe for use by several goroutines.
type Admission struct {
	slots  int
	inUse  int
	bulk   int
	queues [classes][]*Waiter
	// times holds the mean time that requests of a class hold a slot.
	times [classes]time.Duration
}

const classes = 3

func rank(c model.Class) int {
	switch c {
	case model.Urgent:
		return 0
	case model.Bulk:
		return 2
	}
	return 1
}

// NewAdmission returns the admission of a target with the number of slots.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: max(1, slots)}
}

// Arrive decides about a new request. It returns the waiters whose verdict
// changed by this, without the new one: a full queue drops its lowest class
// for a higher one.
func (a *Admission) Arrive(now time.Time, w *Waiter) []*Waiter {
	if a.free(w.Class) && a.ahead(w.Class) == 0 {
		a.admit(now, w)
		return nil
	}
	if a.late(now, w) {
		w.Verdict = ShedDeadline
		return nil
	}
	var dropped []*Waiter
	if a.Queued() >= a.slots*queuePerSlot {
		victim := a.dropBelow(rank(w.Class))
		if victim == nil {
			w.Verdict = ShedFull
			return nil
		}
		dropped = append(dropped, victim)
	}
	w.Verdict = Waiting
	a.queues[rank(w.Class)] = append(a.queues[rank(w.Class)], w)
	return dropped
}

// Leave gives back the slot of an admitted request and returns the waiters
// whose verdict changed by this.
func (a *Admission) Leave(now time.Time, w *Waiter) []*Waiter {
	a.inUse--
	if w.Class == model.Bulk {
		a.bulk--
	}
	a.learn(rank(w.Class), now.Sub(w.admitted))
	return a.fill(now)
}

// Abandon takes a waiter out of the queue. It returns false when the waiter
// is not in the queue any more.
func (a *Admission) Abandon(w *Waiter) bool {
	queue := a.queues[rank(w.Class)]
	i := slices.Index(queue, w)
	if i < 0 {
		return false
	}
	a.queues[rank(w.Class)] = slices.Delete(queue, i, i+1)
	w.Verdict = Abandoned
	return true
}

// Resize changes the number of slots and returns the waiters whose verdict
// changed by this. Requests that hold a slot keep it.
func (a *Admission) Resize(now time.Time, slots int) []*Waiter {
	a.slots = max(1, slots)
	return a.fill(now)
}

// InUse returns the number of held slots.
func (a *Admission) InUse() int { return a.inUse }

// Queued returns the number of waiters.
func (a *Admission) Queued() int {
	n := 0
	for _, queue := range a.queues {
		n += len(queue)
	}
	return n
}

// Load returns the requests in flight and queued, over slots.
func (a *Admission) Load() float64 {
	return float64(a.inUse+a.Queued()) / float64(a.slots)
}

func (a *Admission) free(class model.Class) bool {
	if a.inUse >= a.slots {
		return false
	}
	return class != model.Bulk || a.bulk < a.bulkLimit()
}

func (a *Admission) bulkLimit() int { return max(1, int(bulkPart*float64(a.slots))) }

func (a *Admission) admit(now time.Time, w *Waiter) {
	a.inUse++
	if w.Class == model.Bulk {
		a.bulk++
	}
	w.admitted = now
	w.Verdict = Admitted
}

// fill admits waiters while slots are free, urgent ones first, and sheds
// those whose deadline cannot be met any more.
func (a *Admission) fill(now time.Time) []*Waiter {
	var changed []*Waiter
	for class := range a.queues {
		for len(a.queues[class]) > 0 {
			w := a.queues[class][0]
			if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
				w.Verdict = ShedDeadline
			} else if a.free(w.Class) {
				a.admit(now, w)
			} else {
				break
			}
			a.queues[class] = a.queues[class][1:]
			changed = append(changed, w)
		}
	}
	return changed
}

// ahead counts the waiters that go before a new one of the class.
func (a *Admission) ahead(class model.Class) int {
	n := 0
	for i := 0; i <= rank(class); i++ {
		n += len(a.queues[i])
	}
	return n
}

// late reports whether the estimated end of the request is after its deadline.
func (a *Admission) late(now time.Time, w *Waiter) bool {
	if w.Deadline.IsZero() {
		return false
	}
	own := a.times[rank(w.Class)]
	turns := float64(a.ahead(w.Class)+1) / float64(a.slots)
	wait := time.Duration(turns * float64(a.meanTime()))
	return now.Add(wait + own).After(w.Deadline)
}

func (a *Admission) meanTime() time.Duration {
	var sum time.Duration
	known := 0
	for _, t := range a.times {
		if t > 0 {
			sum += t
			known++
		}
	}
	return sum / time.Duration(max(1, known))
}

func (a *Admission) learn(class int, held time.Duration) {
	if a.times[class] == 0 {
		a.times[class] = held
		return
	}
	a.times[class] += time.Duration(timeWeight * float64(held-a.times[class]))
}

func (a *Admission) dropBelow(class int) *Waiter {
	for i := classes - 1; i > class; i-- {
		if n := len(a.queues[i]); n > 0 {
			victim := a.queues[i][n-1]
			a.queues[i] = a.queues[i][:n-1]
			victim.Verdict = ShedFull
			return victim
		}
	}
	return nil
}
