package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// maxAttempts bounds the targets that one request is sent to.
	maxAttempts = 3
	// addedHeaders is how many headers most requests to a daemon get.
	addedHeaders = 6
	// answerGrace is how long the outbound proxy waits past the deadline for
	// the inbound daemon's statement on whether the request ran.
	answerGrace = 25 * time.Millisecond
	// releasePause is above the time in which a claim is released while the
	// platform answers as usual.
	releasePause = 60 * time.Millisecond
	// discardBytes bounds what is read of an answer that is not passed on, in
	// order to use its connection again.
	discardBytes = 16 << 10
)

// attempt is one sending of a request to a target.
type attempt struct {
	choice  routing.Choice
	body    *attemptBody
	started time.Time
	result  sendResult
	// refused is the answer to a failed sending, or nil.
	refused *refusal
}

// run sends the request until it has an answer to pass on.
func (x *exchange) run() {
	choice, ok := x.first()
	budget := x.snapshot.budgets[choice.Service.Name]
	budget.CountRequest(x.o.config.Now())
	if !ok {
		err := fault.New(fault.Unavailable, "service %q has no ready target for the route", choice.Service.Name)
		x.refuse(notRun(http.StatusServiceUnavailable, err))
		return
	}
	for {
		a := x.send(choice)
		if !x.mayRetry(a) {
			x.finish(a, false)
			return
		}
		next, ok := x.again(choice)
		if !ok || len(x.tried) >= maxAttempts || !x.replayable(a) || !x.mayArrive(a, budget) {
			x.finish(a, true)
			return
		}
		x.inDoubt = x.inDoubt || a.outcome() == Unknown
		x.drop(a)
		x.awaitRelease()
		x.o.config.Metrics.retried(x.route.Name)
		choice = next
	}
}

// awaitRelease gives the daemon of the last attempt time to release the claim
// of a once request that did not run. The next attempt would otherwise find
// the claim held and could not tell that nothing has run.
func (x *exchange) awaitRelease() {
	if !x.route.Once {
		return
	}
	select {
	case <-time.After(releasePause):
	case <-x.ctx.Done():
	}
}

// mayArrive reports whether the request may reach another target. One that no
// target has seen yet costs no retry.
func (x *exchange) mayArrive(a *attempt, budget *routing.Budget) bool {
	if a.arrived() {
		x.arrivals++
	}
	if x.arrivals == 0 && x.o.config.Protocol.checked() {
		return true
	}
	if limit := int(x.route.Attempts); limit > 0 && x.arrivals >= limit {
		return false
	}
	return budget.TryRetry(x.o.config.Now())
}

// arrived reports whether the attempt may have reached a target.
func (a *attempt) arrived() bool {
	if a.refused != nil {
		return a.refused.outcome != NotRun
	}
	h := a.result.response.Header
	return outcomeOf(h) != NotRun || h.Get(arrivedHeader) != ""
}

func (x *exchange) first() (routing.Choice, bool) {
	x.o.choosing.Lock()
	defer x.o.choosing.Unlock()
	return x.o.chooser.ChooseFirst(x.o.config.Now(), x.route)
}

func (x *exchange) again(last routing.Choice) (routing.Choice, bool) {
	x.o.choosing.Lock()
	defer x.o.choosing.Unlock()
	return x.o.chooser.ChooseRetry(x.o.config.Now(), x.route, last.Version, x.tried)
}

// send carries out one attempt up to the headers of the answer.
func (x *exchange) send(choice routing.Choice) *attempt {
	a := &attempt{choice: choice, body: x.source.attempt(), started: x.o.config.Now()}
	x.tried = append(x.tried, choice.Target)
	x.version = choice.Version.Name
	link := x.snapshot.links[choice.Target.Key()]
	choice.Target.Begin()
	a.result = link.send(x.outgoing(a, link))
	x.learn(a)
	if a.result.err != nil {
		_ = a.body.Close()
		choice.Target.End()
		a.refused = sendFailure(x.ctx, a.result, "the daemon of "+choice.Target.Endpoint.VM)
	}
	x.observe(a)
	return a
}

func (x *exchange) outgoing(a *attempt, l *link) *sending {
	out := newSending(x.ctx, x.r, l.address, x.source, a.body, addedHeaders)
	h := out.request.Header
	stripOwn(h)
	if x.in.id != "" {
		x.fields.set(h, RequestHeader, x.in.id)
	}
	if protocol := &x.o.config.Protocol; !protocol.own() {
		delete(h, protocol.ExpectedInstance)
		x.fields.set(h, protocol.CallerService, x.o.config.CallerService)
	}
	x.fields.set(h, RouteHeader, x.route.Name)
	x.fields.set(h, ServiceHeader, a.choice.Service.Name)
	x.fields.set(h, VersionHeader, a.choice.Version.Name)
	if x.route.Class != model.Normal {
		x.fields.set(h, ClassHeader, string(x.route.Class))
	}
	if x.route.Once {
		x.fields.set(h, OnceHeader, "1")
	}
	x.fields.setRemaining(h, DeadlineHeader, time.Until(x.deadline))
	x.setPlacing(h)
	x.fields.setClock(h, x.o.config.Clock)
	if x.announces(a) {
		x.fields.set(h, "Expect", "100-continue")
		x.fields.set(h, hopExpectHeader, "1")
		out.direct = false
	}
	return out
}

// longTransfer is the time on the link of the target's VM from which a body
// waits until the daemon there has admitted the request. Asking first costs a
// round trip, a few milliseconds between failure domains.
const longTransfer = 10 * time.Millisecond

// announces reports whether the body waits until the inbound daemon admits the
// request, because a refusal would otherwise leave a body that cannot be sent
// again, or would have used a slow link in vain.
func (x *exchange) announces(a *attempt) bool {
	if x.in.expects {
		return false
	}
	if length, whole := x.source.whole(); whole {
		return a.choice.Target.TransferTime(length) >= longTransfer
	}
	return x.source.length < 0 || x.source.length > replayBytes
}

// learn updates what is known of the target.
func (x *exchange) learn(a *attempt) {
	now := x.o.config.Now()
	target := a.choice.Target
	if a.result.refused {
		target.ConnectionRefused(now)
		return
	}
	if a.result.err != nil {
		// A daemon that works says so itself when the deadline passes.
		if x.r.Context().Err() == nil {
			target.ConnectionBroken(now)
		}
		return
	}
	h := a.result.response.Header
	sawClock(h, x.o.config.Clock)
	if h.Get(refusedHeader) != "" {
		target.ConnectionRefused(now)
	} else {
		target.Connected()
	}
	if load, err := strconv.ParseFloat(h.Get(LoadHeader), 64); err == nil {
		target.ReportLoad(now, load)
		a.learnPace()
	}
	if x.stats != nil && a.outcome() == "" {
		x.stats.sawAnswer(a.result.response.ContentLength)
	}
	if print, ok := number(h, CrashHeader, 16, 64); ok && h.Get(bystanderHeader) == "" {
		x.o.strikes.Add(now, print)
	}
}

// outcome is the outcome of an attempt that no target answered, or "".
func (a *attempt) outcome() Outcome {
	if a.refused != nil {
		return a.refused.outcome
	}
	return outcomeOf(a.result.response.Header)
}

// ran reports whether the attempt shows how the version behaves. A kept
// answer and a claim in doubt come from an earlier attempt.
func (a *attempt) ran() bool {
	switch a.outcome() {
	case "":
		return true
	case Unknown:
		return a.refused != nil || a.result.response.StatusCode != http.StatusConflict
	}
	return false
}

// mayRetry reports whether the attempt's outcome allows another attempt.
func (x *exchange) mayRetry(a *attempt) bool {
	if x.ctx.Err() != nil || !time.Now().Before(x.deadline) {
		return false
	}
	if a.refused == nil && a.result.response.Header.Get(NoRetryHeader) != "" {
		return false
	}
	switch a.outcome() {
	case NotRun:
		return !permanent(a)
	case Unknown:
		return x.route.Idempotent && !x.quarantined()
	}
	return false
}

// permanent reports whether another target would refuse the request as well.
func permanent(a *attempt) bool {
	if a.refused != nil {
		return false
	}
	status := a.result.response.StatusCode
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// quarantined reports whether the request has crashed too many targets by now.
func (x *exchange) quarantined() bool {
	if !x.o.strikes.Any() {
		return false
	}
	print := fingerprint(x.r, x.in.key, x.source.prefix())
	return x.o.strikes.Quarantined(x.o.config.Now(), print)
}

// replayable ends the attempt's reading of the body and reports whether the
// body can be sent again.
func (x *exchange) replayable(a *attempt) bool {
	if x.source.empty() {
		return true
	}
	return a.body.giveUp()
}

// drop ends an attempt whose answer is not passed on.
func (x *exchange) drop(a *attempt) {
	if a.refused != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, a.result.response.Body, discardBytes)
	_ = a.result.response.Body.Close()
	a.choice.Target.End()
}

// finish passes on the attempt's answer. An exhausted request was not retried
// although its outcome allowed it; daemons upstream must not retry it either.
func (x *exchange) finish(a *attempt, exhausted bool) {
	if x.inDoubt && a.outcome() == NotRun {
		x.finishInDoubt(a)
		return
	}
	if x.o.config.Protocol.own() {
		x.fields.set(x.w.Header(), RequestHeader, x.in.id)
		x.fields.set(x.w.Header(), VersionHeader, x.version)
	}
	if a.refused != nil {
		a.refused.noRetry = a.refused.noRetry || exhausted
		x.refuse(a.refused)
		return
	}
	defer a.choice.Target.End()
	response := a.result.response
	defer response.Body.Close()
	h := x.w.Header()
	copyEndToEnd(h, response.Header)
	if x.o.config.Protocol.own() {
		stripOwn(h, OutcomeHeader, NoRetryHeader, CrashHeader, RequestHeader, VersionHeader)
		if exhausted {
			x.fields.set(h, NoRetryHeader, "1")
		}
		x.fields.setClock(h, x.o.config.Clock)
	} else {
		stripOwn(h)
	}
	x.finished(answered(a.outcome()))
	x.early.beforeAnswer(x.source)
	result := relay(x.w, response, nil)
	if result.upstream != nil && x.ctx.Err() == nil {
		x.observeBroken(a)
	}
	if result.upstream != nil || result.caller != nil {
		cut()
	}
}

// finishInDoubt answers a request whose last attempt did not run, but an
// earlier one may have: of the whole request, "not run" would be untrue.
func (x *exchange) finishInDoubt(a *attempt) {
	if x.o.config.Protocol.own() {
		setOne(x.w.Header(), VersionHeader, x.version)
	}
	var status int
	if a.refused != nil {
		status = a.refused.status
	} else {
		status = a.result.response.StatusCode
	}
	x.drop(a)
	if x.o.config.Protocol.checked() && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	refused := unknown(status, fault.New(fault.UnknownOutcome, "an earlier attempt may have run; the last one did not"))
	refused.noRetry = true
	x.refuse(refused)
}

func answered(outcome Outcome) Outcome {
	if outcome == "" {
		return outcomeAnswered
	}
	return outcome
}

// observe reports the attempt for the judge of the service's open move.
func (x *exchange) observe(a *attempt) {
	took := x.o.config.Now().Sub(a.started)
	x.o.config.Metrics.firstByte(outboundSide, x.route.Name, took)
	if !a.ran() || !x.judged(a) {
		return
	}
	observation := move.Observation{Key: x.sampleKey(a), Latency: a.serviceTime(took), Failed: a.outcome() == Unknown}
	if a.refused == nil {
		h := a.result.response.Header
		observation.Failed = observation.Failed || a.result.response.StatusCode >= http.StatusInternalServerError
		observation.CrashFingerprint, _ = number(h, CrashHeader, 16, 64)
	}
	x.o.config.Observer.Observe(observation)
}

// serviceTime leaves out what a new connection may have cost. A version with
// a small share gets few requests from each daemon, and most of them are the
// first on their connection; good versions were taken back for that.
func (a *attempt) serviceTime(took time.Duration) time.Duration {
	return max(took-a.result.setup, 0)
}

// observeBroken reports an answer that broke after its status was passed on.
// The attempt was reported at its headers already, since an answer can take
// long, so it counts twice; a failure that the judge misses would be worse.
func (x *exchange) observeBroken(a *attempt) {
	if !x.judged(a) {
		return
	}
	took := x.o.config.Now().Sub(a.started)
	x.o.config.Observer.Observe(move.Observation{Key: x.sampleKey(a), Latency: took, Failed: true})
}

// judged reports whether the request counts for an open move. A caller that
// has gone away says nothing about the version.
func (x *exchange) judged(a *attempt) bool {
	return !x.o.config.ObservedAtTargets && a.choice.Service.Ticket != 0 && x.route.Version == "" && x.r.Context().Err() == nil
}

func (x *exchange) sampleKey(a *attempt) move.SampleKey {
	service := a.choice.Service
	return move.SampleKey{Ticket: service.Ticket, Route: x.route.Name, Service: service.Name, New: a.choice.Version.New}
}
