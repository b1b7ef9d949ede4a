package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/workcost"
)

const (
	// sizeSmoothingFactor is the weight of the latest response in the moving
	// average of a route's response sizes.
	sizeSmoothingFactor = 0.05
)

// Bounds of Retry-After as fractions of the route's objective. A refused caller
// retries while its response can still be in time; the random spread keeps
// callers from retrying at the same moment.
const (
	minRetryAfterFraction = 0.1
	maxRetryAfterFraction = 0.3
)

const (
	// notReadyRetryAfter is the Retry-After of a daemon that has just started;
	// it is ready a few hundred milliseconds after its start.
	notReadyRetryAfter = 300 * time.Millisecond
	// outageRetryAfterFraction is the Retry-After, as a fraction of the
	// remaining time, when a service has no target at all.
	outageRetryAfterFraction = 0.3
)

// routeStats holds statistics of a route's requests.
type routeStats struct {
	// meanResponseBytes is the moving average of the response size.
	meanResponseBytes atomic.Int64
}

func (s *routeStats) recordResponseSize(length int64) {
	old := s.meanResponseBytes.Load()
	s.meanResponseBytes.Store(old + int64(sizeSmoothingFactor*float64(length-old)))
}

// statsOf returns the statistics of a route and creates them if necessary.
func (o *Outbound) statsOf(route string) *routeStats {
	if existing, ok := o.stats.Load(route); ok {
		return existing.(*routeStats)
	}
	created, _ := o.stats.LoadOrStore(route, &routeStats{})
	return created.(*routeStats)
}

// setObjective computes the time until which the caller wants its response. The
// objective counts from the caller's first attempt.
func (x *exchange) setObjective() {
	if !x.o.config.Protocol.verifiesResponses() || x.route.Objective <= 0 {
		return
	}
	x.stats = x.o.statsOf(x.route.Name)
	first := x.started
	if x.in.hasDeadline {
		first = x.o.arrivals.First(x.started, fingerprint(x.r, x.route.Name, nil), x.started.Add(x.in.remaining))
	}
	x.objective = first.Add(x.route.Objective)
	x.pastObjective = !x.started.Before(x.objective)
	if x.pastObjective {
		x.objective = x.deadline
	}
}

func (x *exchange) placement() routing.Placement {
	length, _ := x.source.completeLength()
	x.work = x.o.costs.Expect(x.workFeatures(length))
	bytes := length + x.stats.meanResponseBytes.Load()
	return routing.Placement{
		Kind: x.route.Name, Bytes: bytes, Objective: x.route.Objective, Work: x.work.Expected, CallerLink: x.callerLinkTime(bytes),
	}
}

// workFeatures returns the properties from which the work of the request is expected.
// All requests of this daemon have the same caller.
func (x *exchange) workFeatures(length int64) workcost.Features {
	f := workcost.Features{Route: x.route.Name, Path: x.r.URL.Path, Bytes: length}
	if x.tenant != nil {
		f.Tenant = x.tenant.Name
	}
	return f
}

// runWithObjective sends the request to targets until one accepts it.
func (x *exchange) runWithObjective() {
	search := routing.Search{Route: x.route, Placement: x.placement(), Late: x.pastObjective}
	choice, ok := x.chooseWith(func(now time.Time, c *routing.Chooser) (routing.Choice, bool) { return search.First(now, c) })
	budget := x.snapshot.budgets[choice.Service.Name]
	budget.CountRequest(x.o.config.Now())
	if !ok {
		x.refuse(x.unavailableRefusal(choice.Service.Name))
		return
	}
	if refused := x.confirmTenant(); refused != nil {
		x.refuse(refused)
		return
	}
	if refused := x.linkRefusal(choice, search.Placement); refused != nil {
		x.refuse(refused)
		return
	}
	defer x.reserveResponse()()
	for {
		x.maxWait = search.MaxWait()
		a := x.send(choice)
		if !x.retryable(a) {
			x.respondOrRefuse(a)
			return
		}
		choice, ok = x.chooseWith(func(now time.Time, c *routing.Chooser) (routing.Choice, bool) {
			return search.Next(now, c, choice, x.tried, a.shed())
		})
		if !ok || !x.replayable(a) || !x.mayRepeat() || !x.allowRetry(a, budget) {
			x.respondOrRefuse(a)
			return
		}
		x.inDoubt = x.inDoubt || a.outcome() == Unknown
		x.recordRetry(a)
		x.discardResponse(a)
		x.o.config.Metrics.countRetry(x.route.Name)
	}
}

// chooseWith calls choose with the daemon's chooser.
func (x *exchange) chooseWith(choose func(time.Time, *routing.Chooser) (routing.Choice, bool)) (routing.Choice, bool) {
	x.o.chooserMu.Lock()
	defer x.o.chooserMu.Unlock()
	return choose(x.o.config.Now(), x.o.chooser)
}

// shed reports whether the target's daemon refused the request for lack of
// capacity.
func (a *attempt) shed() bool {
	return a.failure == nil && !a.mayHaveReached() && !a.targetUnavailable()
}

// unavailableRefusal returns the refusal of a request whose service has no
// target.
func (x *exchange) unavailableRefusal(service string) *refusal {
	refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Unavailable, "service %q has no ready target for the route", service))
	refused.retryAfter = time.Duration(outageRetryAfterFraction * float64(time.Until(x.deadline)))
	return refused
}

// respondOrRefuse forwards the last attempt's response. If the request did not
// run, it sends a refusal instead, with a Retry-After unless the deadline has
// passed.
func (x *exchange) respondOrRefuse(a *attempt) {
	if x.inDoubt || a.outcome() != NotRun || a.failure == nil && permanent(a) {
		x.respond(a, false)
		return
	}
	overloaded := a.failure == nil && !a.targetUnavailable()
	x.discardResponse(a)
	if x.r.Context().Err() == nil && !time.Now().Before(x.deadline) {
		x.refuse(notRun(http.StatusGatewayTimeout, fault.New(fault.Timeout, "no target took the request before its deadline")))
		return
	}
	if !overloaded {
		x.refuse(x.unavailableRefusal(a.choice.Service.Name))
		return
	}
	failure := notRun(http.StatusServiceUnavailable, fault.New(fault.Overloaded, "no target of service %q can answer in time", a.choice.Service.Name))
	failure.retryAfter = x.retryAfterDelay()
	x.refuse(failure)
}

// targetUnavailable reports whether the daemon responded that its target takes
// no requests.
func (a *attempt) targetUnavailable() bool { return a.result.response.Header.Get(refusedHeader) != "" }

// retryAfterDelay returns a random Retry-After within its bounds.
func (x *exchange) retryAfterDelay() time.Duration {
	fraction := minRetryAfterFraction + rand.Float64()*(maxRetryAfterFraction-minRetryAfterFraction)
	return time.Duration(fraction * float64(x.route.Objective))
}

// setRetryAfter sets the Retry-After of a refusal that has none and that another
// attempt of the caller may avoid. Callers honor it only up to a third of the time
// that they have left.
func (x *exchange) setRetryAfter(refused *refusal) {
	if !x.o.config.Protocol.verifiesResponses() || refused.outcome != NotRun || refused.status != http.StatusServiceUnavailable ||
		refused.retryAfter > 0 || refused.quarantined {
		return
	}
	refused.retryAfter = notReadyRetryAfter
	outage := fault.Is(refused.err, fault.NotReady) || fault.Is(refused.err, fault.Unavailable)
	if !outage && x.route != nil && x.route.Objective > 0 {
		refused.retryAfter = x.retryAfterDelay()
	}
	if left := x.callerTimeLeft(); left > 0 {
		longest := time.Duration(outageRetryAfterFraction * float64(left))
		if outage {
			refused.retryAfter = longest
		}
		refused.retryAfter = min(refused.retryAfter, longest)
	}
}

// setResponseRetryAfter sets the Retry-After of a refusal of another daemon that is
// forwarded to the caller.
func (x *exchange) setResponseRetryAfter(a *attempt) {
	h := a.result.response.Header
	refused := &refusal{status: a.result.response.StatusCode, outcome: a.outcome(), err: fault.New(fault.Overloaded, "the target's daemon refused the request")}
	if x.setRetryAfter(refused); refused.retryAfter > 0 && h.Get("Retry-After") == "" && h.Get(NoRetryHeader) == "" {
		x.fields.set(x.w.Header(), "Retry-After", formatRetryAfter(refused.retryAfter))
	}
}

// callerTimeLeft returns the time until the caller's deadline, which may be later than
// that of the route. It is zero when the caller has not sent one.
func (x *exchange) callerTimeLeft() time.Duration {
	if !x.in.hasDeadline {
		return 0
	}
	return x.in.remaining - x.o.config.Now().Sub(x.started)
}

// recordTargetStats records the statistics that the daemon on the target's VM
// reports.
func (x *exchange) recordTargetStats(now time.Time, a *attempt) {
	report, ok := parseReport(a.result.response.Header.Get(ReportHeader))
	if !ok {
		return
	}
	target := a.choice.Target
	target.ReportPace(report.pace, report.failures)
	target.ReportLink(report.linkWait)
	if report.hasWork {
		x.o.costs.Learn(target, &x.work, report.work)
		if target.Endpoint.VM != x.o.config.VM {
			observeLength(x.o.config.Link, a.result.response)
		}
	}
	if report.kindPace > 0 {
		target.ReportKindPace(now, x.route.Name, report.kindPace)
	}
}

// setPlacementHeaders tells the daemon on the target's VM how long the request
// may queue.
func (x *exchange) setPlacementHeaders(h http.Header) {
	if x.objective.IsZero() {
		return
	}
	x.fields.set(h, ObjectiveHeader, strconv.FormatInt(max(0, time.Until(x.objective).Milliseconds()), 10))
	x.fields.set(h, PatienceHeader, strconv.FormatInt(maxWaitMillis(x.maxWait), 10))
	if priority := x.priority(); priority != 0 {
		x.fields.set(h, PriorityHeader, strconv.FormatUint(uint64(priority), 10))
	}
}

// maxWaitMillis returns the value of PatienceHeader in milliseconds; -1 stands
// for any wait.
func maxWaitMillis(wait time.Duration) int64 {
	if wait < 0 {
		return -1
	}
	return wait.Milliseconds()
}

// newWaiter returns the description of the request for the target's admission
// control.
func (s *service) newWaiter() *routing.Waiter {
	w := &routing.Waiter{Class: s.class, Deadline: s.deadline}
	w.Work = workcost.Features{Caller: s.r.Header.Get(s.n.config.Protocol.CallerService), Path: s.r.URL.Path, Bytes: max(0, s.r.ContentLength)}
	objective, ok := parseNumericHeader(s.r.Header, ObjectiveHeader, 10, 32)
	if !ok {
		return w
	}
	w.Kind = s.route
	if name := s.r.Header.Get(TenantHeader); len(name) <= model.MaxNameLength {
		w.Tenant = name
	}
	w.Objective = s.n.config.Now().Add(time.Duration(objective) * time.Millisecond)
	w.ServerCall = s.isServerCall()
	if priority, ok := parseNumericHeader(s.r.Header, PriorityHeader, 10, 32); ok {
		w.Priority = uint32(priority)
	}
	w.Patience = routing.UnboundedWait
	if patience, ok := parseNumericHeader(s.r.Header, PatienceHeader, 10, 32); ok {
		w.Patience = time.Duration(patience) * time.Millisecond
	}
	return w
}

// isServerCall reports whether the request was sent by a server on behalf of
// another request, which fails unless this one gets its response before the
// deadline.
func (s *service) isServerCall() bool {
	callers := s.n.config.ServerCalls
	return callers != nil && callers.Observe(s.route, s.r.Header.Get(s.n.config.Protocol.CallerService))
}

// failureSmoothingFactor is the weight of the latest request in the failure
// rate.
const failureSmoothingFactor = 0.05

// failureRate is the moving average of the fraction of a target's requests that
// fail. Concurrent requests may lose an update, which is acceptable for an
// average.
type failureRate struct{ permille atomic.Int64 }

func (f *failureRate) add(failed bool) {
	latest := 0.0
	if failed {
		latest = 1000
	}
	old := float64(f.permille.Load())
	f.permille.Store(int64(old + failureSmoothingFactor*(latest-old)))
}

// fraction returns the fraction of requests that fail, from 0 to 1.
func (f *failureRate) fraction() float64 { return float64(f.permille.Load()) / 1000 }
