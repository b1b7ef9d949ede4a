package routing

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

const (
	// bulkSlotFraction is the fraction of the slots that bulk requests may use.
	bulkSlotFraction = 0.6
	// maxQueuePerSlot is the maximum queue length per slot. A longer queue only
	// adds latency that callers do not wait for.
	maxQueuePerSlot = 2
	// maxObjectiveQueuePerSlot is the maximum queue length per slot for
	// requests with an objective. It bounds memory.
	maxObjectiveQueuePerSlot = 16
	// holdTimeSmoothing is the smoothing factor of the moving averages of hold
	// times.
	holdTimeSmoothing = 0.1
	// fifoGrantInterval is the interval, in grants of a slot, at which the slot
	// goes to the oldest waiter with an objective. Without it, short requests
	// with a near objective starve long ones; on a document service, look-ups
	// starved uploads.
	fifoGrantInterval = 4
	// maxKinds bounds the number of request kinds that are tracked.
	maxKinds = 256
)

// Verdict is the result of admission for a request.
type Verdict int

// Results of admission.
const (
	// Waiting requests are in the queue.
	Waiting Verdict = iota
	// Admitted requests hold a slot.
	Admitted
	// ShedFull requests were rejected or dropped because the queue was full.
	ShedFull
	// ShedDeadline requests cannot finish before their deadline.
	ShedDeadline
	// ShedBusy requests would wait longer than their patience.
	ShedBusy
	// ShedObjective requests cannot meet their objective while others can.
	ShedObjective
	// Abandoned requests left the queue before they got a slot.
	Abandoned
)

// Waiter is a request that asks for a slot of a target.
type Waiter struct {
	Class model.Class
	// Priority orders the requests of a class; the lowest value goes first.
	Priority uint32
	// Kind is the name of the route. Requests of a kind take similar times.
	Kind     string
	Deadline time.Time
	// Objective is the time by which the caller wants the response; zero means
	// that the caller has not set one.
	Objective time.Time
	// UsefulUntil is the time until which the response is still useful after
	// the objective has passed; zero means until the objective.
	UsefulUntil time.Time
	// Patience is the longest time in the queue that the sender accepts at this
	// target, since it can try other daemons; a negative value means no bound.
	Patience   time.Duration
	Verdict    Verdict
	arrivedAt  time.Time
	admittedAt time.Time
}

// Admission manages the slots of one target and the queue for them. It is not
// safe for concurrent use.
type Admission struct {
	slots     int
	inUse     int
	bulkInUse int
	queues    [classCount][]*Waiter
	// classHoldTimes holds the mean time that requests of a class hold a slot,
	// and kindHoldTimes that of each kind.
	classHoldTimes [classCount]time.Duration
	kindHoldTimes  map[string]time.Duration
	// meanHoldTime is the mean time that requests of all classes hold a slot.
	meanHoldTime time.Duration
	grants       int
}

const classCount = 3

// rank returns the index of the queue of a class. Queues with a lower index go
// first.
func rank(c model.Class) int {
	switch c {
	case model.Urgent:
		return 0
	case model.Bulk:
		return 2
	}
	return 1
}

// NewAdmission returns an Admission with the number of slots, which is at least
// 1.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: max(1, slots), kindHoldTimes: map[string]time.Duration{}}
}

// Arrive admits, queues or sheds a new request and sets its verdict. It returns
// the other waiters whose verdict changed: a full queue drops a waiter of a
// lower class or priority in favor of the new request.
func (a *Admission) Arrive(now time.Time, w *Waiter) []*Waiter {
	w.arrivedAt = now
	if a.hasFreeSlot(w.Class) && a.countAhead(w) == 0 {
		a.admit(now, w)
		return nil
	}
	if w.Verdict = a.shedVerdict(now, w); w.Verdict != Waiting {
		return nil
	}
	var dropped []*Waiter
	if a.Queued() >= a.queueLimit(w) {
		victim := a.evictLower(w)
		if victim == nil {
			w.Verdict = ShedFull
			return nil
		}
		dropped = append(dropped, victim)
	}
	a.enqueue(w)
	return dropped
}

// Preview returns the verdict that Arrive would give, without a change to the
// queue. It does not consider waiters that Arrive would drop.
func (a *Admission) Preview(now time.Time, w *Waiter) Verdict {
	if a.hasFreeSlot(w.Class) && a.countAhead(w) == 0 {
		return Admitted
	}
	if verdict := a.shedVerdict(now, w); verdict != Waiting {
		return verdict
	}
	if a.Queued() >= a.queueLimit(w) {
		return ShedFull
	}
	return Waiting
}

// queueLimit returns the maximum queue length for the request. An objective
// bounds the wait by itself, so that short requests in the queue need not keep
// a long one out.
func (a *Admission) queueLimit(w *Waiter) int {
	if w.Objective.IsZero() {
		return a.slots * maxQueuePerSlot
	}
	return a.slots * maxObjectiveQueuePerSlot
}

// shedVerdict returns the reason to shed a request that has to queue, or
// Waiting.
func (a *Admission) shedVerdict(now time.Time, w *Waiter) Verdict {
	wait, holdTime := a.expectedWait(w), a.expectedHoldTime(w)
	end := now.Add(wait + holdTime)
	switch {
	case !w.Deadline.IsZero() && end.After(w.Deadline):
		return ShedDeadline
	case w.Patience >= 0 && wait > w.Patience && !w.Objective.IsZero():
		return ShedBusy
	case !w.Objective.IsZero() && end.After(w.usefulUntil()):
		return ShedObjective
	}
	return Waiting
}

// usefulUntil returns the time until which the response is useful. It has no
// meaning for a request without an objective.
func (w *Waiter) usefulUntil() time.Time {
	if w.UsefulUntil.After(w.Objective) {
		return w.UsefulUntil
	}
	return w.Objective
}

func (a *Admission) enqueue(w *Waiter) {
	queue := a.queues[rank(w.Class)]
	at := len(queue)
	for at > 0 && goesBefore(w, queue[at-1]) {
		at--
	}
	a.queues[rank(w.Class)] = slices.Insert(queue, at, w)
}

// goesBefore reports whether a new waiter goes before another of its class: by
// priority, then by objective.
func goesBefore(w, other *Waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return !w.Objective.IsZero() && (other.Objective.IsZero() || w.Objective.Before(other.Objective))
}

// Release frees the slot of an admitted request and returns the waiters whose
// verdict changed.
func (a *Admission) Release(now time.Time, w *Waiter) []*Waiter {
	a.inUse--
	if w.Class == model.Bulk {
		a.bulkInUse--
	}
	a.recordHoldTime(w, now.Sub(w.admittedAt))
	return a.admitWaiters(now)
}

// Abandon removes a waiter from the queue. It returns false when the waiter is
// not in the queue.
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
// changed. Admitted requests keep their slots.
func (a *Admission) Resize(now time.Time, slots int) []*Waiter {
	a.slots = max(1, slots)
	return a.admitWaiters(now)
}

// InUse returns the number of slots in use.
func (a *Admission) InUse() int { return a.inUse }

// Queued returns the number of waiters.
func (a *Admission) Queued() int {
	n := 0
	for _, queue := range a.queues {
		n += len(queue)
	}
	return n
}

// Load returns the number of requests in flight and queued, divided by the
// number of slots.
func (a *Admission) Load() float64 {
	return float64(a.inUse+a.Queued()) / float64(a.slots)
}

// Pace returns the mean time that requests hold a slot, or zero before the
// first request completes.
func (a *Admission) Pace() time.Duration { return a.meanHoldTime }

func (a *Admission) hasFreeSlot(class model.Class) bool {
	if a.inUse >= a.slots {
		return false
	}
	return class != model.Bulk || a.bulkInUse < a.bulkLimit()
}

func (a *Admission) bulkLimit() int { return max(1, int(bulkSlotFraction*float64(a.slots))) }

func (a *Admission) admit(now time.Time, w *Waiter) {
	a.inUse++
	if w.Class == model.Bulk {
		a.bulkInUse++
	}
	w.admittedAt = now
	w.Verdict = Admitted
}

// admitWaiters admits waiters while slots are free. It first sheds the waiters
// that are too late.
func (a *Admission) admitWaiters(now time.Time) []*Waiter {
	changed := a.shedExpired(now)
	for class := range a.queues {
		for len(a.queues[class]) > 0 && a.hasFreeSlot(a.queues[class][0].Class) {
			w := a.dequeue(class)
			a.admit(now, w)
			changed = append(changed, w)
		}
	}
	return changed
}

// shedExpired sheds the waiters whose deadline has passed, and those that
// cannot meet their objective while others wait.
func (a *Admission) shedExpired(now time.Time) []*Waiter {
	var shed []*Waiter
	waiting := a.Queued()
	for class, queue := range a.queues {
		a.queues[class] = slices.DeleteFunc(queue, func(w *Waiter) bool {
			switch {
			case !w.Deadline.IsZero() && !now.Before(w.Deadline):
				w.Verdict = ShedDeadline
			case !w.Objective.IsZero() && waiting > 1 && now.Add(a.expectedHoldTime(w)).After(w.usefulUntil()):
				w.Verdict = ShedObjective
			default:
				return false
			}
			waiting--
			shed = append(shed, w)
			return true
		})
	}
	return shed
}

// dequeue removes and returns the first waiter of the class. Every
// fifoGrantInterval grants, it takes the oldest waiter with an objective,
// regardless of priority.
func (a *Admission) dequeue(class int) *Waiter {
	queue := a.queues[class]
	at := 0
	a.grants++
	if a.grants%fifoGrantInterval == 0 {
		for i, w := range queue {
			if !w.Objective.IsZero() && w.arrivedAt.Before(queue[at].arrivedAt) {
				at = i
			}
		}
	}
	w := queue[at]
	a.queues[class] = slices.Delete(queue, at, at+1)
	return w
}

// countAhead returns the number of waiters that go before a new request.
func (a *Admission) countAhead(w *Waiter) int {
	n := 0
	class := rank(w.Class)
	for i := range class {
		n += len(a.queues[i])
	}
	for _, other := range a.queues[class] {
		if !goesBefore(w, other) {
			n++
		}
	}
	return n
}

// expectedWait estimates how long a new request waits for a slot.
func (a *Admission) expectedWait(w *Waiter) time.Duration {
	turns := float64(a.countAhead(w)+1) / float64(a.slots)
	return time.Duration(turns * float64(a.queueHoldTime()))
}

// expectedHoldTime estimates how long a request holds its slot.
func (a *Admission) expectedHoldTime(w *Waiter) time.Duration {
	if t, ok := a.kindHoldTimes[w.Kind]; ok && w.Kind != "" {
		return t
	}
	if t := a.classHoldTimes[rank(w.Class)]; t > 0 || w.Kind == "" {
		return t
	}
	return a.meanHoldTime
}

// queueHoldTime returns the hold time from which the wait in the queue is
// estimated: the mean over all requests when kinds are tracked, otherwise the
// mean over the classes with equal weights.
func (a *Admission) queueHoldTime() time.Duration {
	if len(a.kindHoldTimes) > 0 {
		return a.meanHoldTime
	}
	var sum time.Duration
	measured := 0
	for _, t := range a.classHoldTimes {
		if t > 0 {
			sum += t
			measured++
		}
	}
	return sum / time.Duration(max(1, measured))
}

func (a *Admission) recordHoldTime(w *Waiter, holdTime time.Duration) {
	class := rank(w.Class)
	a.classHoldTimes[class] = movingAverage(a.classHoldTimes[class], holdTime)
	a.meanHoldTime = movingAverage(a.meanHoldTime, holdTime)
	if w.Kind == "" {
		return
	}
	if _, known := a.kindHoldTimes[w.Kind]; known || len(a.kindHoldTimes) < maxKinds {
		a.kindHoldTimes[w.Kind] = movingAverage(a.kindHoldTimes[w.Kind], holdTime)
	}
}

func movingAverage(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(holdTimeSmoothing*float64(newest-mean))
}

// evictLower drops the last waiter of a lower class, or of the same class with
// a lower priority. It returns nil when there is none.
func (a *Admission) evictLower(w *Waiter) *Waiter {
	class := rank(w.Class)
	for i := classCount - 1; i >= class; i-- {
		n := len(a.queues[i])
		if n == 0 {
			continue
		}
		victim := a.queues[i][n-1]
		if i == class && victim.Priority <= w.Priority {
			return nil
		}
		a.queues[i] = a.queues[i][:n-1]
		victim.Verdict = ShedFull
		return victim
	}
	return nil
}
