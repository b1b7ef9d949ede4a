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
	// timedPerSlot is the length of the queue for each slot for requests that
	// have an objective. It bounds memory.
	timedPerSlot = 16
	// timeWeight is the weight of the newest request in the mean times.
	timeWeight = 0.1
	// fairEvery is how many grants there are to one that goes to the waiter
	// that came first. Without it, short requests with a near objective starve
	// long ones, such as look-ups uploads on a document service.
	fairEvery = 4
	// maxKinds bounds the kinds whose times are kept.
	maxKinds = 256
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
	// ShedBusy requests would wait longer than their patience.
	ShedBusy
	// ShedLate requests cannot meet their objective, and others can.
	ShedLate
	// Abandoned requests left the queue by themselves.
	Abandoned
)

// Waiter is a request at a target's admission.
type Waiter struct {
	Class model.Class
	// Priority orders the requests of a class; the lowest goes first.
	Priority uint32
	// Kind names the route, whose requests take about the same time.
	Kind     string
	Deadline time.Time
	// Objective is when the caller wants its answer; zero means that it did not say.
	Objective time.Time
	// Latest is until when the answer is worth waiting for although the
	// objective has passed; zero means until the objective.
	Latest time.Time
	// Patience is the longest wait that the sender accepts here, because it
	// can ask other daemons; negative means any.
	Patience time.Duration
	Verdict  Verdict
	arrived  time.Time
	admitted time.Time
}

// Admission holds the slots of one target and the queue for them. It is not
// safe for use by several goroutines.
type Admission struct {
	slots  int
	inUse  int
	bulk   int
	queues [classes][]*Waiter
	// times holds the mean time that requests of a class hold a slot, and
	// kinds that of each kind.
	times [classes]time.Duration
	kinds map[string]time.Duration
	// mean is the mean time of all requests.
	mean   time.Duration
	grants int
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
	return &Admission{slots: max(1, slots), kinds: map[string]time.Duration{}}
}

// Arrive decides about a new request. It returns the waiters whose verdict
// changed by this, without the new one: a full queue drops its lowest class
// for a higher one.
func (a *Admission) Arrive(now time.Time, w *Waiter) []*Waiter {
	w.arrived = now
	if a.free(w.Class) && a.ahead(w) == 0 {
		a.admit(now, w)
		return nil
	}
	if w.Verdict = a.refusal(now, w); w.Verdict != Waiting {
		return nil
	}
	var dropped []*Waiter
	if a.Queued() >= a.room(w) {
		victim := a.dropBelow(w)
		if victim == nil {
			w.Verdict = ShedFull
			return nil
		}
		dropped = append(dropped, victim)
	}
	a.enqueue(w)
	return dropped
}

// Preview returns the verdict that Arrive would give, and leaves the queue as
// it is.
func (a *Admission) Preview(now time.Time, w *Waiter) Verdict {
	if a.free(w.Class) && a.ahead(w) == 0 {
		return Admitted
	}
	if verdict := a.refusal(now, w); verdict != Waiting {
		return verdict
	}
	if a.Queued() >= a.room(w) {
		return ShedFull
	}
	return Waiting
}

// room is how long the queue may be for the request. An objective bounds the
// wait by itself, so that short requests need not keep a long one out.
func (a *Admission) room(w *Waiter) int {
	if w.Objective.IsZero() {
		return a.slots * queuePerSlot
	}
	return a.slots * timedPerSlot
}

// refusal returns the verdict on a request that would have to wait.
func (a *Admission) refusal(now time.Time, w *Waiter) Verdict {
	wait, own := a.expectedWait(w), a.expectedTime(w)
	end := now.Add(wait + own)
	switch {
	case !w.Deadline.IsZero() && end.After(w.Deadline):
		return ShedDeadline
	case w.Patience >= 0 && wait > w.Patience && !w.Objective.IsZero():
		return ShedBusy
	case !w.Objective.IsZero() && end.After(w.latest()):
		return ShedLate
	}
	return Waiting
}

// latest is until when the answer is worth waiting for. It has no meaning for
// a request without an objective.
func (w *Waiter) latest() time.Time {
	if w.Latest.After(w.Objective) {
		return w.Latest
	}
	return w.Objective
}

func (a *Admission) enqueue(w *Waiter) {
	queue := a.queues[rank(w.Class)]
	at := len(queue)
	for at > 0 && before(w, queue[at-1]) {
		at--
	}
	a.queues[rank(w.Class)] = slices.Insert(queue, at, w)
}

// before reports whether a new waiter goes ahead of one of its class: by
// priority, then by the end of the objective.
func before(w, other *Waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return !w.Objective.IsZero() && (other.Objective.IsZero() || w.Objective.Before(other.Objective))
}

// Leave gives back the slot of an admitted request and returns the waiters
// whose verdict changed by this.
func (a *Admission) Leave(now time.Time, w *Waiter) []*Waiter {
	a.inUse--
	if w.Class == model.Bulk {
		a.bulk--
	}
	a.learn(w, now.Sub(w.admitted))
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

// Pace returns the mean time that requests hold a slot, or zero before the first.
func (a *Admission) Pace() time.Duration { return a.mean }

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

// fill admits waiters while slots are free, and sheds those whose deadline has
// passed or whose objective cannot be met while others wait.
func (a *Admission) fill(now time.Time) []*Waiter {
	changed := a.expire(now)
	for class := range a.queues {
		for len(a.queues[class]) > 0 && a.free(a.queues[class][0].Class) {
			w := a.next(class)
			a.admit(now, w)
			changed = append(changed, w)
		}
	}
	return changed
}

// expire sheds the waiters that have become late.
func (a *Admission) expire(now time.Time) []*Waiter {
	var shed []*Waiter
	waiting := a.Queued()
	for class, queue := range a.queues {
		a.queues[class] = slices.DeleteFunc(queue, func(w *Waiter) bool {
			switch {
			case !w.Deadline.IsZero() && !now.Before(w.Deadline):
				w.Verdict = ShedDeadline
			case !w.Objective.IsZero() && waiting > 1 && now.Add(a.expectedTime(w)).After(w.latest()):
				w.Verdict = ShedLate
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

// next takes the waiter of the class that goes first. Some grants go to the one
// that came first, whatever its priority.
func (a *Admission) next(class int) *Waiter {
	queue := a.queues[class]
	at := 0
	a.grants++
	if a.grants%fairEvery == 0 {
		for i, w := range queue {
			if !w.Objective.IsZero() && w.arrived.Before(queue[at].arrived) {
				at = i
			}
		}
	}
	w := queue[at]
	a.queues[class] = slices.Delete(queue, at, at+1)
	return w
}

// ahead counts the waiters that go before a new one.
func (a *Admission) ahead(w *Waiter) int {
	n := 0
	own := rank(w.Class)
	for i := range own {
		n += len(a.queues[i])
	}
	for _, other := range a.queues[own] {
		if !before(w, other) {
			n++
		}
	}
	return n
}

// expectedWait estimates how long a new request would wait for a slot.
func (a *Admission) expectedWait(w *Waiter) time.Duration {
	turns := float64(a.ahead(w)+1) / float64(a.slots)
	return time.Duration(turns * float64(a.meanTime()))
}

// expectedTime estimates how long a request will hold its slot.
func (a *Admission) expectedTime(w *Waiter) time.Duration {
	if t, ok := a.kinds[w.Kind]; ok && w.Kind != "" {
		return t
	}
	if t := a.times[rank(w.Class)]; t > 0 || w.Kind == "" {
		return t
	}
	return a.mean
}

// meanTime is the mean over the classes, each with the same weight, or over
// all requests where kinds are told apart.
func (a *Admission) meanTime() time.Duration {
	if len(a.kinds) > 0 {
		return a.mean
	}
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

func (a *Admission) learn(w *Waiter, held time.Duration) {
	class := rank(w.Class)
	a.times[class] = smoothed(a.times[class], held)
	a.mean = smoothed(a.mean, held)
	if w.Kind == "" {
		return
	}
	if _, known := a.kinds[w.Kind]; known || len(a.kinds) < maxKinds {
		a.kinds[w.Kind] = smoothed(a.kinds[w.Kind], held)
	}
}

func smoothed(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(timeWeight*float64(newest-mean))
}

// dropBelow drops the last waiter of a lower class, or of a lower priority of
// the same class.
func (a *Admission) dropBelow(w *Waiter) *Waiter {
	own := rank(w.Class)
	for i := classes - 1; i >= own; i-- {
		n := len(a.queues[i])
		if n == 0 {
			continue
		}
		victim := a.queues[i][n-1]
		if i == own && victim.Priority <= w.Priority {
			return nil
		}
		a.queues[i] = a.queues[i][:n-1]
		victim.Verdict = ShedFull
		return victim
	}
	return nil
}
