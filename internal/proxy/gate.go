package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// maxAbandonedTime bounds how long an abandoned request keeps its slot.
	maxAbandonedTime = time.Second
	// abandonedMargin is the factor by which the expected rest of an abandoned request is
	// extended, since half of the requests take longer than expected.
	abandonedMargin = 1.5
)

// gate makes goroutines wait for the decisions of a target's admission control.
type gate struct {
	mu        sync.Mutex
	admission *routing.Admission
	waiting   map[*routing.Waiter]chan struct{}
	closed    bool
	// abandoned holds the requests without a response that the target may still run,
	// oldest first. They keep their slots.
	abandoned []*routing.Waiter
	now       func() time.Time
	// wakeTimer is pending while a waiter has a free slot but the target is cold.
	wakeTimer *time.Timer
}

func newGate(slots uint32, cold *routing.ColdLimiter, now func() time.Time) *gate {
	g := &gate{
		admission: routing.NewAdmission(int(slots)),
		waiting:   map[*routing.Waiter]chan struct{}{},
		now:       now,
	}
	g.admission.SetColdLimiter(cold)
	return g
}

// wake admits the waiters that a cold target can take now.
func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.notify(g.admission.Wake(now))
	g.scheduleWake(now)
}

// scheduleWake starts the timer of the next wake if a waiter needs one.
func (g *gate) scheduleWake(now time.Time) {
	if g.wakeTimer != nil {
		g.wakeTimer.Stop()
		g.wakeTimer = nil
	}
	if wait := g.admission.NextWake(now); wait > 0 {
		g.wakeTimer = time.AfterFunc(wait, g.wake)
	}
}

func (g *gate) resize(now time.Time, slots uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.admission.Resize(now, int(slots)))
}

// preview returns the error that acquire would return for the request now, or
// nil if the request would get a slot or queue. It changes only w.Verdict.
func (g *gate) preview(now time.Time, w *routing.Waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.Verdict = routing.Abandoned
	if !g.closed {
		w.Verdict = g.admission.Preview(now, w)
	}
	if w.Verdict == routing.Waiting {
		return nil
	}
	return waiterError(w)
}

// acquire waits for a slot. It fails with fault.Overloaded when the request is shed,
// also as soon as it cannot finish before its deadline, with fault.NotReady when the
// gate is closed, and with fault.Timeout when the context ends or stopDeadline makes
// the request too late first.
func (g *gate) acquire(ctx context.Context, now func() time.Time, w *routing.Waiter, stopDeadline *StopDeadline) error {
	admitted, latestStart := g.enqueue(now(), w)
	if admitted == nil {
		return waiterError(w)
	}
	late := stopDeadline.lateChannel()
	missed, stop := timerUntil(latestStart)
	defer stop()
	for waiting := true; waiting; {
		select {
		case <-admitted:
			return waiterError(w)
		case <-late:
			late, waiting = nil, !stopDeadline.isTooLate(w.Deadline)
		case <-missed:
			if g.shed(w) {
				return verdictError(w.Verdict)
			}
			missed = nil
		case <-ctx.Done():
			waiting = false
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.Abandon(w) {
		delete(g.waiting, w)
	} else if w.Verdict == routing.Admitted {
		g.notify(g.admission.Release(now(), w))
	}
	return fault.New(fault.Timeout, "the request waited for a slot until its deadline or until the daemon stopped")
}

// timerUntil returns a channel that receives at the time, or nil for the zero time.
func timerUntil(at time.Time) (<-chan time.Time, func()) {
	if at.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(at))
	return timer.C, func() { timer.Stop() }
}

// shed refuses a waiter that cannot finish before its deadline. It returns false when
// the waiter already has a verdict.
func (g *gate) shed(w *routing.Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admission.Abandon(w) {
		return false
	}
	delete(g.waiting, w)
	w.Verdict = routing.ShedDeadline
	return true
}

// enqueue returns nil when the verdict is immediate, or else a channel that is
// closed once there is a verdict, and the time from which a request with an objective
// cannot finish before its deadline.
func (g *gate) enqueue(now time.Time, w *routing.Waiter) (chan struct{}, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		w.Verdict = routing.Abandoned
		return nil, time.Time{}
	}
	g.notify(g.admission.Arrive(now, w))
	if w.Verdict != routing.Waiting {
		return nil, time.Time{}
	}
	admitted := make(chan struct{})
	g.waiting[w] = admitted
	g.scheduleWake(now)
	return admitted, g.admission.LatestStart(w)
}

func (g *gate) release(now time.Time, w *routing.Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.admission.Release(now, w))
	g.scheduleWake(now)
}

func (g *gate) load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.EffectiveLoad(g.now())
}

// close refuses the waiting requests, because their target takes no new
// requests.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for w, admitted := range g.waiting {
		g.admission.Abandon(w)
		close(admitted)
	}
	clear(g.waiting)
}

// refuseWaiting refuses the requests that wait for a slot.
func (g *gate) refuseWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w, admitted := range g.waiting {
		g.admission.Abandon(w)
		close(admitted)
	}
	clear(g.waiting)
}

func (g *gate) pace() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Pace()
}

func (g *gate) kindPace(kind string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.KindPace(kind)
}

// observeLoad records what the target tells about itself. It frees the slots of abandoned
// requests that the target no longer runs. The target may or may not count the request
// that it responds to.
func (g *gate) observeLoad(now time.Time, load targetLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.ObservePace(now, load.pacePercent)
	others := g.admission.InUse() - len(g.abandoned)
	running := max(0, int(load.running+load.waiting)+1-others)
	for len(g.abandoned) > running {
		g.endAbandoned(now, g.abandoned[0])
	}
}

// abandon keeps the slot of a request whose response is no longer awaited for as long as
// the target is expected to run it. Some targets reset connections when they get more
// requests than they have slots. It returns false where targets do not tell their pace.
func (g *gate) abandon(now func() time.Time, w *routing.Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	rest, ok := g.admission.Rest(now(), w)
	if !ok {
		return false
	}
	g.abandoned = append(g.abandoned, w)
	time.AfterFunc(min(maxAbandonedTime, time.Duration(abandonedMargin*float64(rest))), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.endAbandoned(now(), w)
	})
	return true
}

// endAbandoned frees the slot of an abandoned request, unless that was done before.
func (g *gate) endAbandoned(now time.Time, w *routing.Waiter) {
	if at := slices.Index(g.abandoned, w); at >= 0 {
		g.abandoned = slices.Delete(g.abandoned, at, at+1)
		g.notify(g.admission.Release(now, w))
	}
}

// reportWork returns what is known about the work of the target, for the sender of w,
// which may be nil.
func (g *gate) reportWork(now time.Time, w *routing.Waiter) (routing.WorkReport, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.ReportWork(now, w)
}

func (g *gate) notify(changed []*routing.Waiter) {
	for _, w := range changed {
		close(g.waiting[w])
		delete(g.waiting, w)
	}
}

// waiterError returns the error of a request that was shed, or nil.
func waiterError(w *routing.Waiter) error {
	if w.Cold && w.Verdict != routing.Admitted && w.Verdict != routing.Abandoned {
		return fault.New(fault.Overloaded, "the target is cold and cannot take the request in time")
	}
	return verdictError(w.Verdict)
}

func verdictError(v routing.Verdict) error {
	switch v {
	case routing.Admitted:
		return nil
	case routing.Abandoned:
		return fault.New(fault.NotReady, "the target takes no new requests")
	case routing.ShedBusy:
		return fault.New(fault.Overloaded, "all slots of the target are taken")
	case routing.ShedObjective:
		return fault.New(fault.Overloaded, "the target cannot answer in the time that the caller wants")
	case routing.ShedDeadline:
		return fault.New(fault.Overloaded, "the target cannot finish the request before its deadline")
	}
	return fault.New(fault.Overloaded, "the target's queue is full")
}

// callerLinkRule is the rule of linkRefusal. The other rules are those of ruleOf.
const callerLinkRule = "caller-link"

// ruleOf returns the name of the rule by which a request with the verdict is refused.
func ruleOf(v routing.Verdict) string {
	switch v {
	case routing.ShedBusy:
		return "patience"
	case routing.ShedObjective:
		return "objective"
	case routing.ShedDeadline:
		return "deadline"
	case routing.ShedFull:
		return "queue-full"
	}
	return "left"
}
