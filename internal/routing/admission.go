package routing

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/workcost"
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
	// coldWaitMargin is added to the wait for a cold target. Without it, a request that
	// may be sent just before its deadline is in doubt when the deadline passes.
	coldWaitMargin = 20 * time.Millisecond
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
	// Tenant is the name of the tenant that sent the request; empty when it has none.
	Tenant string
	// Kind is the name of the route. Requests of a kind take similar times.
	Kind     string
	Deadline time.Time
	// Objective is the time by which the caller wants the response; zero means
	// that the caller has not set one.
	Objective time.Time
	// ServerCall is true when a server sent the request on behalf of another one,
	// which fails unless it gets the response before the deadline.
	ServerCall bool
	// Patience is the longest time in the queue that the sender accepts at this
	// target, since it can try other daemons; a negative value means no bound.
	Patience time.Duration
	// Work has the properties from which the work of the request is expected. Its route
	// and tenant are set by admission.
	Work workcost.Features
	// Unfinished is set before the release of a request whose time in the slot does not
	// tell its work.
	Unfinished bool
	Verdict    Verdict
	// Cold is true when the request was shed because the target is cold.
	Cold bool
	// latestStart is the time by which the request needs a slot to meet its
	// objective.
	latestStart time.Time
	admittedAt  time.Time

	// cost is the expected slot time in seconds.
	cost float64
	// The fields below are set where targets tell their pace. progressAtStart is the
	// progress of the target's pace at the admission.
	key             workcost.Key
	keyed           bool
	distribution    *workcost.Distribution
	progressAtStart time.Duration
	// The fields below are set where requests have tenants. weight is the share of the
	// tenant at the admission.
	tenant, kindFlow *flow
	weight           float64
	// promoted is true for a kind or tenant that is served much less than the mean.
	promoted bool
}

// Admission manages the slots of one target and the queue for them. It is not
// safe for concurrent use.
type Admission struct {
	slots     int
	inUse     int
	bulkInUse int
	queue     waitQueue
	holdTimes holdTimes
	// shares is nil until a request of a tenant arrives.
	shares *fairShares
	// work is nil until the target tells how long work takes on its machine.
	work *workload
	// cold limits the requests to a cold target; nil means that there is no limit.
	cold *ColdLimiter
}

// NewAdmission returns an Admission with the number of slots, which is at least
// 1.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: max(1, slots), holdTimes: newHoldTimes()}
}

// SetColdLimiter makes requests wait for the limiter in addition to a slot.
func (a *Admission) SetColdLimiter(l *ColdLimiter) { a.cold = l }

// Arrive admits, queues or sheds a new request and sets its verdict. It returns
// the other waiters whose verdict changed: a full queue drops a waiter of a
// lower class or priority in favor of the new request.
func (a *Admission) Arrive(now time.Time, w *Waiter) []*Waiter {
	a.prepare(now, w)
	if a.shares != nil {
		a.shares.countDemand(w)
	}
	if a.hasFreeSlot(w.Class) && a.countAhead(w) == 0 && a.takeCold(now) {
		a.admit(now, w)
		return nil
	}
	if w.Verdict = a.shedVerdict(now, w); w.Verdict != Waiting {
		return nil
	}
	var dropped []*Waiter
	if a.Queued() >= a.queueLimit(w) {
		victim := a.queue.evictLower(w, a.shares)
		if victim == nil {
			w.Verdict = ShedFull
			return nil
		}
		victim.Verdict = ShedFull
		dropped = append(dropped, victim)
	}
	a.queue.insert(w)
	return dropped
}

// Preview returns the verdict that Arrive would give, without a change to the
// queue. It does not consider waiters that Arrive would drop.
func (a *Admission) Preview(now time.Time, w *Waiter) Verdict {
	a.prepare(now, w)
	if a.hasFreeSlot(w.Class) && a.countAhead(w) == 0 && a.coldWait(now, 1) == 0 {
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

// describe sets the waiter's place among the tenants, if requests have tenants.
func (a *Admission) describe(now time.Time, w *Waiter) {
	if a.shares == nil && w.Tenant != "" {
		a.shares = newFairShares(now, a.slots)
		a.queue.each(func(other *Waiter) { a.shares.describe(now, other) })
	}
	if a.shares != nil {
		a.shares.describe(now, w)
	}
}

// countAhead returns the number of waiters that go before a new request.
func (a *Admission) countAhead(w *Waiter) int { return a.queue.countAhead(w, a.shares) }

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
	wait, coldWait := a.expectedWait(w), a.coldWait(now, a.countAhead(w)+1)
	if coldWait > 0 {
		coldWait += coldWaitMargin
	}
	verdict := a.verdictAfter(now, w, max(wait, coldWait))
	w.Cold = verdict != Waiting && coldWait > wait
	return verdict
}

// verdictAfter is shedVerdict for a request that gets a slot after the wait.
func (a *Admission) verdictAfter(now time.Time, w *Waiter, wait time.Duration) Verdict {
	end := now.Add(wait + a.expected(w))
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
	if w.ServerCall {
		return w.Deadline
	}
	return w.Objective
}

// Release frees the slot of an admitted request and returns the waiters whose
// verdict changed.
func (a *Admission) Release(now time.Time, w *Waiter) []*Waiter {
	a.inUse--
	if w.Class == model.Bulk {
		a.bulkInUse--
	}
	used := now.Sub(w.admittedAt)
	a.holdTimes.record(w, used)
	if a.work != nil {
		a.work.released(now, w)
	}
	if w.weight > 0 {
		a.shares.released(w, used)
	}
	return a.admitWaiters(now)
}

// Abandon removes a waiter from the queue. It returns false when the waiter is
// not in the queue.
func (a *Admission) Abandon(w *Waiter) bool {
	if !a.queue.remove(w) {
		return false
	}
	w.Verdict = Abandoned
	return true
}

// Resize changes the number of slots and returns the waiters whose verdict
// changed. Admitted requests keep their slots.
func (a *Admission) Resize(now time.Time, slots int) []*Waiter {
	a.slots = max(1, slots)
	if a.shares != nil {
		a.shares.slots = a.slots
	}
	return a.admitWaiters(now)
}

// LatestStart returns the time from which a request with an objective is not expected
// to finish before its deadline, or the zero time when it has none.
func (a *Admission) LatestStart(w *Waiter) time.Time {
	if w.Objective.IsZero() || w.Deadline.IsZero() {
		return time.Time{}
	}
	return w.Deadline.Add(-a.expected(w))
}

// Wake returns the waiters whose verdict changed because time has passed.
func (a *Admission) Wake(now time.Time) []*Waiter { return a.admitWaiters(now) }

// NextWake returns how long it takes until Wake may admit a waiter, or zero when
// none waits for the target to become warm.
func (a *Admission) NextWake(now time.Time) time.Duration {
	for class := range classCount {
		if !a.queue.empty(class) && a.hasFreeSlot(classes[class]) {
			return a.coldWait(now, 1)
		}
	}
	return 0
}

// takeCold reserves the right to send a request to a cold target.
func (a *Admission) takeCold(now time.Time) bool { return a.cold == nil || a.cold.Take(now) }

// coldWait returns how long the last of n further requests waits because the target
// is cold.
func (a *Admission) coldWait(now time.Time, n int) time.Duration {
	if a.cold == nil {
		return 0
	}
	return a.cold.Wait(now, n)
}

// InUse returns the number of slots in use.
func (a *Admission) InUse() int { return a.inUse }

// Queued returns the number of waiters.
func (a *Admission) Queued() int { return a.queue.length() }

// Load returns the number of requests in flight and queued, divided by the
// number of slots.
func (a *Admission) Load() float64 {
	return float64(a.inUse+a.Queued()) / float64(a.slots)
}

// EffectiveLoad is Load, but a cold target that can take no further request now is
// full.
func (a *Admission) EffectiveLoad(now time.Time) float64 {
	load := a.Load()
	if a.coldWait(now, a.Queued()+1) > 0 {
		return max(load, 1+float64(a.Queued())/float64(a.slots))
	}
	return load
}

// Pace returns the mean time that requests hold a slot, or zero before the
// first request completes.
func (a *Admission) Pace() time.Duration { return a.holdTimes.mean }

// KindPace returns the mean time that requests of the kind hold a slot, or zero
// before the first one completes.
func (a *Admission) KindPace(kind string) time.Duration { return a.holdTimes.byKind[kind] }

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
	if a.shares != nil {
		a.shares.admitted(now, w)
	}
	if a.work != nil {
		a.work.admitted(now, w)
	}
	w.admittedAt = now
	w.Verdict = Admitted
}

// admitWaiters admits waiters while slots are free. It first sheds the waiters
// that are too late.
func (a *Admission) admitWaiters(now time.Time) []*Waiter {
	if a.work != nil {
		a.work.now = now
	}
	changed := a.shedExpired(now)
	for class := range classCount {
		for !a.queue.empty(class) && a.hasFreeSlot(classes[class]) && a.takeCold(now) {
			w := a.queue.pop(class, a.shares)
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
	a.queue.removeIf(func(w *Waiter) bool {
		switch {
		case !w.Deadline.IsZero() && !now.Before(w.Deadline):
			w.Verdict = ShedDeadline
		case !w.Objective.IsZero() && waiting > 1 && now.Add(a.expected(w)).After(w.usefulUntil()):
			w.Verdict = ShedObjective
		default:
			return false
		}
		waiting--
		shed = append(shed, w)
		return true
	})
	return shed
}

// expectedWait estimates how long a new request waits for a slot.
func (a *Admission) expectedWait(w *Waiter) time.Duration {
	turns := float64(a.countAhead(w)+1) / float64(a.slots)
	return time.Duration(turns * float64(a.holdTimes.ofQueue()))
}
