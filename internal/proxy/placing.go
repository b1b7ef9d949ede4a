package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// askPatience is the wait at a target that a request accepts while there
	// are others to ask. Asking another daemon takes a few milliseconds.
	askPatience = 5 * time.Millisecond
	// latePatience is the wait that a request accepts whose objective has
	// passed already. A longer one would keep its caller from coming back.
	latePatience = 60 * time.Millisecond
	// anyPatience accepts any wait within the objective.
	anyPatience = time.Duration(-1)
	// maxAsked is how many targets are asked for a free slot before the
	// request queues at the best of them.
	maxAsked = 3
	// bytesWeight is the weight of the newest answer in a route's mean size.
	bytesWeight = 0.05
)

// Fractions of Retry-After. A refused caller comes back while its answer can
// still be in time; the spread keeps callers from coming back together.
const (
	returnFirst = 0.1
	returnLast  = 0.3
)

const (
	// notReadyReturn is when callers come back to a daemon that has just
	// started; it is ready a few hundred milliseconds after its start.
	notReadyReturn = 300 * time.Millisecond
	// outagePart is the part of the remaining time after which callers come
	// back when a service has no target at all.
	outagePart = 0.3
)

// routeStats is what a proxy has learned about a route's requests.
type routeStats struct {
	// fullDeadline is the most time that callers gave, in nanoseconds. A
	// caller that comes back gives what is left of it.
	fullDeadline atomic.Int64
	// answerBytes is the mean length of the answers.
	answerBytes atomic.Int64
}

func (s *routeStats) sawDeadline(d time.Duration) {
	for {
		old := s.fullDeadline.Load()
		if int64(d) <= old || s.fullDeadline.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

func (s *routeStats) sawAnswer(length int64) {
	old := s.answerBytes.Load()
	s.answerBytes.Store(old + int64(bytesWeight*float64(length-old)))
}

// statsOf returns the statistics of a route.
func (o *Outbound) statsOf(route string) *routeStats {
	if known, ok := o.stats.Load(route); ok {
		return known.(*routeStats)
	}
	made, _ := o.stats.LoadOrStore(route, &routeStats{})
	return made.(*routeStats)
}

// setObjective derives until when the caller wants its answer. The objective
// counts from the caller's first attempt, which a shorter deadline tells.
func (x *exchange) setObjective() {
	if !x.o.config.Protocol.checked() || x.route.Objective <= 0 {
		return
	}
	x.stats = x.o.statsOf(x.route.Name)
	var elapsed time.Duration
	if x.in.hasDeadline {
		x.stats.sawDeadline(x.in.remaining)
		elapsed = time.Duration(x.stats.fullDeadline.Load()) - x.in.remaining
	}
	x.objective = x.started.Add(x.route.Objective - elapsed)
	x.late = !x.started.Before(x.objective)
	if x.late {
		x.objective = x.deadline
	}
}

func (x *exchange) placement() routing.Placement {
	length, _ := x.source.whole()
	return routing.Placement{Bytes: length + x.stats.answerBytes.Load(), Objective: x.route.Objective}
}

// patience is the wait that the request accepts at the next target.
func (x *exchange) patience(queueing bool) time.Duration {
	switch {
	case !queueing:
		return askPatience
	case x.late:
		return latePatience
	}
	return anyPatience
}

// ask sends the request to targets until one takes it. It asks a few of them
// for a free slot, and then queues at the one that should answer first.
func (x *exchange) ask() {
	choice, ok := x.place()
	budget := x.snapshot.budgets[choice.Service.Name]
	budget.CountRequest(x.o.config.Now())
	if !ok {
		x.refuse(x.unavailable(choice.Service.Name))
		return
	}
	// queueing is true once the request queues at the next target, and does
	// not only ask it for a free slot.
	queueing := len(choice.Version.Targets) == 1 || choice.Target.Full(x.o.config.Now())
	for sends := 1; ; sends++ {
		x.wait = x.patience(queueing)
		a := x.send(choice)
		if !x.mayRetry(a) || queueing && a.shed() || sends >= maxSends {
			x.answer(a)
			return
		}
		choice, queueing, ok = x.nextAsk(choice, queueing)
		if !ok || !x.replayable(a) || !x.mayArrive(a, budget) {
			x.answer(a)
			return
		}
		x.inDoubt = x.inDoubt || a.outcome() == Unknown
		x.recordRetry(a)
		x.drop(a)
		x.o.config.Metrics.retried(x.route.Name)
	}
}

// shed reports whether the target's daemon answered that there is no room.
func (a *attempt) shed() bool { return a.refused == nil && !a.arrived() && !a.targetLost() }

// maxSends bounds the daemons that one request is sent to.
const maxSends = 6

// nextAsk chooses the next target, and whether the request queues there.
func (x *exchange) nextAsk(last routing.Choice, queueing bool) (next routing.Choice, queue, ok bool) {
	x.o.choosing.Lock()
	defer x.o.choosing.Unlock()
	now := x.o.config.Now()
	next, ok = x.o.chooser.PlaceRetry(now, x.route, last.Version, x.tried, x.placement())
	if ok && (queueing || len(x.tried) < maxAsked) {
		return next, queueing, true
	}
	// All are asked, or enough of them: queue at the best.
	if queueing {
		return last, true, false
	}
	best := x.o.chooser.Cheapest(now, last.Version, nil, x.placement())
	return routing.Choice{Service: last.Service, Version: last.Version, Target: best}, true, best != nil
}

func (x *exchange) place() (routing.Choice, bool) {
	x.o.choosing.Lock()
	defer x.o.choosing.Unlock()
	return x.o.chooser.Place(x.o.config.Now(), x.route, x.placement())
}

func (x *exchange) unavailable(service string) *refusal {
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Unavailable, "service %q has no ready target for the route", service))
	refused.retryAfter = time.Duration(outagePart * float64(time.Until(x.deadline)))
	return refused
}

// answer passes on the last attempt's answer, or refuses in its place with a
// time to come back when the request did not run.
func (x *exchange) answer(a *attempt) {
	if x.inDoubt || a.outcome() != NotRun || a.refused == nil && permanent(a) {
		x.finish(a, false)
		return
	}
	overloaded := a.refused == nil && !a.targetLost()
	x.drop(a)
	if x.r.Context().Err() == nil && !time.Now().Before(x.deadline) {
		x.refuse(notRun(http.StatusGatewayTimeout, fault.New(fault.Timeout, "no target took the request before its deadline")))
		return
	}
	if !overloaded {
		x.refuse(x.unavailable(a.choice.Service.Name))
		return
	}
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Overloaded, "no target of service %q can answer in time", a.choice.Service.Name))
	refused.retryAfter = x.returnTime()
	x.refuse(refused)
}

// targetLost reports whether the daemon answered that its target is gone.
func (a *attempt) targetLost() bool { return a.result.response.Header.Get(refusedHeader) != "" }

func (x *exchange) returnTime() time.Duration {
	part := returnFirst + rand.Float64()*(returnLast-returnFirst)
	return time.Duration(part * float64(x.route.Objective))
}

// learnPace takes over what the daemon beside the target says about it.
func (a *attempt) learnPace() {
	h := a.result.response.Header
	pace, ok := number(h, PaceHeader, 10, 32)
	if !ok {
		return
	}
	failures, err := strconv.ParseFloat(h.Get(FailuresHeader), 64)
	if err != nil || failures < 0 || failures > 1 {
		failures = 0
	}
	a.choice.Target.ReportPace(time.Duration(pace)*time.Millisecond, failures)
	if wait, ok := number(h, LinkWaitHeader, 10, 32); ok {
		a.choice.Target.ReportLink(time.Duration(wait) * time.Millisecond)
	}
}

// setPlacing tells the daemon beside the target how the request may wait.
func (x *exchange) setPlacing(h http.Header) {
	if x.objective.IsZero() {
		return
	}
	x.fields.set(h, ObjectiveHeader, strconv.FormatInt(max(0, time.Until(x.objective).Milliseconds()), 10))
	x.fields.set(h, PatienceHeader, strconv.FormatInt(patienceMS(x.wait), 10))
	if x.route.Priority != 0 {
		x.fields.set(h, PriorityHeader, strconv.FormatUint(uint64(x.route.Priority), 10))
	}
}

// patienceMS is the patience on the wire, in milliseconds; -1 stands for any.
func patienceMS(patience time.Duration) int64 {
	if patience < 0 {
		return -1
	}
	return patience.Milliseconds()
}

// waiter describes a request to the target's admission.
func (s *service) waiter() *routing.Waiter {
	w := &routing.Waiter{Class: s.class, Deadline: s.deadline}
	objective, ok := number(s.r.Header, ObjectiveHeader, 10, 32)
	if !ok {
		return w
	}
	w.Kind = s.route
	w.Objective = s.n.config.Now().Add(time.Duration(objective) * time.Millisecond)
	if s.called() {
		w.UsefulUntil = s.deadline
	}
	if priority, ok := number(s.r.Header, PriorityHeader, 10, 32); ok {
		w.Priority = uint32(priority)
	}
	w.Patience = anyPatience
	if patience, ok := number(s.r.Header, PatienceHeader, 10, 32); ok {
		w.Patience = time.Duration(patience) * time.Millisecond
	}
	return w
}

// called reports whether the request is a call of a server, which fails the
// request that it belongs to unless it is answered before its deadline.
func (s *service) called() bool {
	callers := s.n.config.Callers
	return callers != nil && callers.Observe(s.route, s.r.Header.Get(s.n.config.Protocol.CallerService))
}

// failureWeight is the weight of the newest request in the part that failed.
const failureWeight = 0.05

// failureRate is the part of a target's recent requests that failed. Requests
// at the same time may lose an update, which does not matter for a mean.
type failureRate struct{ permille atomic.Int64 }

func (f *failureRate) add(failed bool) {
	newest := 0.0
	if failed {
		newest = 1000
	}
	old := float64(f.permille.Load())
	f.permille.Store(int64(old + failureWeight*(newest-old)))
}

func (f *failureRate) part() float64 { return float64(f.permille.Load()) / 1000 }
