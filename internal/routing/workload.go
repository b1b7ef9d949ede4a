package routing

import (
	"slices"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/workcost"
)

// workload follows the work of one target that tells how long work takes on its
// machine. It learns what requests cost from the time that they hold a slot.
type workload struct {
	model *workcost.Model
	pace  workcost.Pace
	// now is the time of the current call.
	now time.Time
	// running holds the admitted waiters.
	running []*Waiter
}

// ObservePace records how long work currently takes on the target's machine, in percent
// of the usual time. From the first valid reading on, admission expects the work of each
// request from what it has learned about requests like it.
func (a *Admission) ObservePace(now time.Time, percent float64) {
	if a.work != nil {
		a.work.pace.Observe(now, percent)
		return
	}
	w := &workload{model: workcost.New(workcost.MeasuredSamples)}
	if w.pace.Observe(now, percent) {
		a.work = w
	}
}

// prepare sets the fields of the waiter that its place in the queue depends on.
func (a *Admission) prepare(now time.Time, w *Waiter) {
	if a.work != nil {
		a.work.now = now
		w.Work.Route, w.Work.Tenant = w.Kind, w.Tenant
		w.key = workcost.NewKey(w.Work)
		w.distribution = a.work.model.Expect(&w.key)
		w.keyed = true
	}
	w.cost = a.expected(w).Seconds()
	if !w.Objective.IsZero() {
		w.latestStart = w.Objective.Add(-a.expected(w))
	}
	a.describe(now, w)
}

// expected estimates how long a request holds its slot.
func (a *Admission) expected(w *Waiter) time.Duration {
	if a.work != nil && w.distribution != nil {
		return a.work.pace.Forecast(a.work.now, w.distribution.Mean())
	}
	return a.holdTimes.expected(w)
}

func (l *workload) admitted(now time.Time, w *Waiter) {
	w.progressAtStart = l.pace.Progress(now)
	l.running = append(l.running, w)
}

func (l *workload) released(now time.Time, w *Waiter) {
	at := slices.Index(l.running, w)
	if at < 0 {
		return
	}
	l.running = slices.Delete(l.running, at, at+1)
	if w.keyed && !w.Unfinished {
		l.model.Learn(&w.key, l.pace.Progress(now)-w.progressAtStart)
	}
}

// Rest returns how long the target is expected to work on an admitted request from now
// on, and false when the target does not tell its pace.
func (a *Admission) Rest(now time.Time, w *Waiter) (time.Duration, bool) {
	if a.work == nil {
		return 0, false
	}
	if w.distribution == nil {
		return a.holdTimes.mean, true
	}
	return a.work.pace.Forecast(now, w.distribution.Rest(a.work.pace.Progress(now)-w.progressAtStart)), true
}

// rest returns the expected time, at the current pace, until the running requests are
// done if they ran one after the other.
func (a *Admission) rest(now time.Time) time.Duration {
	var sum time.Duration
	for _, w := range a.work.running {
		left, _ := a.Rest(now, w)
		sum += left
	}
	return sum
}

// WorkReport is what admission knows about the work of a target.
type WorkReport struct {
	// Backlog is the expected rest of the running requests and the expected work of
	// the waiting ones, over the slots and at the current pace.
	Backlog time.Duration
	// Pace is how long work takes now, as a factor of the mean.
	Pace float64
	// Expected is how long the target is expected to work on the request that the report
	// is sent to at the mean pace of its machine; zero when it is not known.
	Expected time.Duration
}

// ReportWork returns the report to the sender of w, and false when the target does not
// tell its pace.
func (a *Admission) ReportWork(now time.Time, w *Waiter) (WorkReport, bool) {
	if a.work == nil {
		return WorkReport{}, false
	}
	a.work.now = now
	waiting := 0.0
	a.queue.each(func(other *Waiter) { waiting += other.cost })
	backlog := (a.rest(now).Seconds() + waiting) / float64(a.slots)
	r := WorkReport{Backlog: time.Duration(backlog * float64(time.Second)), Pace: a.work.pace.Current(now) / a.work.pace.Mean()}
	if w != nil && w.distribution != nil {
		r.Expected = time.Duration(float64(w.distribution.Mean()) * a.work.pace.Mean())
	}
	return r, true
}
