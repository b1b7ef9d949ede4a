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
	// addedHeaderCount is the number of headers that the proxy adds to most
	// requests to a daemon.
	addedHeaderCount = 6
	// outcomeGrace is how long the outbound proxy waits past the deadline for
	// the response in which the inbound daemon states whether the request ran.
	outcomeGrace = 25 * time.Millisecond
	// claimReleaseWait is longer than releasing a claim takes while the
	// platform responds at its usual speed.
	claimReleaseWait = 60 * time.Millisecond
	// maxDiscardBytes bounds how much of a response that is not forwarded is
	// read so that its connection can be reused.
	maxDiscardBytes = 16 << 10
)

// attempt is one transmission of a request to a target.
type attempt struct {
	choice  routing.Choice
	body    *attemptBody
	started time.Time
	result  sendResult
	// failure is the refusal that describes a failed transmission, or nil.
	failure *refusal
}

// run sends the request, with retries, until it has a response to forward.
func (x *exchange) run() {
	choice, ok := x.chooseFirst()
	budget := x.snapshot.budgets[choice.Service.Name]
	budget.CountRequest(x.o.config.Now())
	if !ok {
		err := fault.New(fault.Unavailable, "service %q has no ready target for the route", choice.Service.Name)
		x.refuse(notRun(http.StatusServiceUnavailable, err))
		return
	}
	if refused := x.confirmTenant(); refused != nil {
		x.refuse(refused)
		return
	}
	for {
		a := x.send(choice)
		if !x.retryable(a) {
			x.respond(a, false)
			return
		}
		next, ok := x.chooseRetry(choice)
		if !ok || len(x.tried) >= maxAttempts || !x.replayable(a) || !x.mayRepeat() || !x.allowRetry(a, budget) {
			x.respond(a, true)
			return
		}
		x.inDoubt = x.inDoubt || a.outcome() == Unknown
		x.discardResponse(a)
		x.awaitClaimRelease()
		x.o.config.Metrics.countRetry(x.route.Name)
		choice = next
	}
}

// awaitClaimRelease gives the daemon of the last attempt time to release the
// claim of a once request that did not run. Without the wait, the next attempt
// finds the claim still taken and cannot tell that nothing has run.
func (x *exchange) awaitClaimRelease() {
	if !x.route.Once {
		return
	}
	select {
	case <-time.After(claimReleaseWait):
	case <-x.ctx.Done():
	}
}

// allowRetry reports whether the request may be sent to another target. A
// request that has not reached any target does not consume the retry budget.
func (x *exchange) allowRetry(a *attempt, budget *routing.Budget) bool {
	if a.mayHaveReached() {
		x.targetsReached++
	}
	if x.targetsReached == 0 && x.o.config.Protocol.verifiesResponses() {
		return true
	}
	if limit := int(x.route.Attempts); limit > 0 && x.targetsReached >= limit {
		return false
	}
	return budget.TryRetry(x.o.config.Now())
}

// mayHaveReached reports whether the attempt may have reached a target.
func (a *attempt) mayHaveReached() bool {
	if a.failure != nil {
		return a.failure.outcome != NotRun
	}
	h := a.result.response.Header
	return outcomeOf(h) != NotRun || h.Get(arrivedHeader) != ""
}

func (x *exchange) chooseFirst() (routing.Choice, bool) {
	return x.chooseWith(func(now time.Time, c *routing.Chooser) (routing.Choice, bool) { return c.ChooseFirst(now, x.route) })
}

func (x *exchange) chooseRetry(last routing.Choice) (routing.Choice, bool) {
	return x.chooseWith(func(now time.Time, c *routing.Chooser) (routing.Choice, bool) {
		return c.ChooseRetry(now, x.route, last.Version, x.tried)
	})
}

// send carries out one attempt up to the response headers.
func (x *exchange) send(choice routing.Choice) *attempt {
	a := &attempt{choice: choice, body: x.source.newAttempt(), started: x.o.config.Now()}
	x.tried = append(x.tried, choice.Target)
	x.quota.held = false
	x.version = choice.Version.Name
	link := x.snapshot.links[choice.Target.Key()]
	choice.Target.Begin()
	a.result = link.send(x.outgoing(a, link))
	x.updateTarget(a)
	if a.result.err != nil {
		_ = a.body.Close()
		choice.Target.End()
		a.failure = sendFailure(x.ctx, a.result, "the daemon of "+choice.Target.Endpoint.VM)
	}
	x.observe(a)
	return a
}

func (x *exchange) outgoing(a *attempt, l *link) *outgoingRequest {
	out := newOutgoingRequest(x.ctx, x.r, l.address, x.source, a.body, addedHeaderCount)
	h := out.request.Header
	stripDaemonHeaders(h)
	if protocol := &x.o.config.Protocol; !protocol.usesDaemonHeaders() {
		delete(h, protocol.ExpectedInstance)
		x.fields.set(h, protocol.CallerService, x.o.config.CallerService)
	} else if x.in.id != "" {
		x.fields.set(h, RequestHeader, x.in.id)
	}
	x.setTenantHeaders(out.request)
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
	x.setPlacementHeaders(h)
	x.fields.setClock(h, x.o.config.Clock)
	if x.needsExpectContinue(a) {
		x.fields.set(h, "Expect", "100-continue")
		x.fields.set(h, hopExpectHeader, "1")
		out.direct = false
	}
	return out
}

// expectContinueThreshold is the transfer time over the link of the target's VM
// from which a body waits until the daemon there has admitted the request.
// Waiting for "100 Continue" costs a round trip, a few milliseconds between
// failure domains.
const expectContinueThreshold = 10 * time.Millisecond

// needsExpectContinue reports whether the body waits until the inbound daemon
// admits the request. Otherwise a refusal could leave a body that cannot be
// sent again, or waste the capacity of a slow link.
func (x *exchange) needsExpectContinue(a *attempt) bool {
	if x.in.expectsContinue {
		return false
	}
	if length, whole := x.source.completeLength(); whole {
		return a.choice.Target.TransferTime(length) >= expectContinueThreshold
	}
	return x.source.length < 0 || x.source.length > maxReplayBytes
}

// updateTarget updates the routing state of the target from the result of the
// attempt.
func (x *exchange) updateTarget(a *attempt) {
	now := x.o.config.Now()
	target := a.choice.Target
	if a.result.dialFailed {
		target.ConnectionRefused(now)
		return
	}
	if a.result.err != nil {
		// A working daemon sends its own response when the deadline passes, so
		// this failure is not a timeout of the target.
		if x.r.Context().Err() == nil {
			target.ConnectionBroken(now)
		}
		return
	}
	h := a.result.response.Header
	witnessClock(h, x.o.config.Clock)
	if h.Get(refusedHeader) != "" {
		target.ConnectionRefused(now)
	} else {
		target.Connected()
	}
	if load, err := strconv.ParseFloat(h.Get(LoadHeader), 64); err == nil {
		target.ReportLoad(now, load)
		x.recordTargetStats(now, a)
		x.recordCold(now, a)
	}
	if x.stats != nil && a.outcome() == "" {
		x.stats.recordResponseSize(a.result.response.ContentLength)
	}
	if fingerprint, ok := parseNumericHeader(h, CrashHeader, 16, 64); ok && h.Get(bystanderHeader) == "" {
		x.o.strikes.Add(now, fingerprint)
	}
}

// outcome returns the outcome of an attempt that no target responded to, or "".
func (a *attempt) outcome() Outcome {
	if a.failure != nil {
		return a.failure.outcome
	}
	return outcomeOf(a.result.response.Header)
}

// isVersionSample reports whether the attempt shows how the version behaves. A
// replayed response and a claim in doubt result from an earlier attempt.
func (a *attempt) isVersionSample() bool {
	switch a.outcome() {
	case "":
		return true
	case Unknown:
		return a.failure != nil || a.result.response.StatusCode != http.StatusConflict
	}
	return false
}

// retryable reports whether the attempt's outcome allows another attempt.
func (x *exchange) retryable(a *attempt) bool {
	if x.ctx.Err() != nil || !time.Now().Before(x.deadline) || x.o.config.StopDeadline.isTooLate(x.deadline) {
		return false
	}
	if a.failure == nil && a.result.response.Header.Get(NoRetryHeader) != "" {
		return false
	}
	switch a.outcome() {
	case NotRun:
		return !permanent(a) && x.renewToken() == nil
	case Unknown:
		return x.route.Idempotent && !x.quarantined() && x.renewToken() == nil
	}
	return false
}

// permanent reports whether any other target would refuse the request too.
func permanent(a *attempt) bool {
	if a.failure != nil {
		return false
	}
	status := a.result.response.StatusCode
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// quarantined reports whether the request has crashed so many targets that it
// is quarantined.
func (x *exchange) quarantined() bool {
	if !x.o.strikes.Any() {
		return false
	}
	requestFingerprint := fingerprint(x.r, x.in.key, x.source.prefix())
	return x.o.strikes.Quarantined(x.o.config.Now(), requestFingerprint)
}

// replayable ends the attempt's use of the body and reports whether the body
// can be sent again.
func (x *exchange) replayable(a *attempt) bool {
	if x.source.empty() {
		return true
	}
	return a.body.closeForRetry()
}

// discardResponse ends an attempt whose response is not forwarded.
func (x *exchange) discardResponse(a *attempt) {
	if a.failure != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, a.result.response.Body, maxDiscardBytes)
	_ = a.result.response.Body.Close()
	a.choice.Target.End()
}

// respond forwards the attempt's response. An exhausted request was not retried
// although its outcome allowed it; upstream daemons must not retry it either.
func (x *exchange) respond(a *attempt, exhausted bool) {
	if x.inDoubt && a.outcome() == NotRun {
		x.respondUnknown(a)
		return
	}
	if x.o.config.Protocol.usesDaemonHeaders() {
		x.fields.set(x.w.Header(), RequestHeader, x.in.id)
		x.fields.set(x.w.Header(), VersionHeader, x.version)
	}
	if a.failure != nil {
		a.failure.noRetry = a.failure.noRetry || exhausted
		x.refuse(a.failure)
		return
	}
	defer a.choice.Target.End()
	response := a.result.response
	defer response.Body.Close()
	h := x.w.Header()
	copyEndToEnd(h, response.Header)
	if x.o.config.Protocol.usesDaemonHeaders() {
		stripDaemonHeaders(h, OutcomeHeader, NoRetryHeader, CrashHeader, RequestHeader, VersionHeader)
		if exhausted {
			x.fields.set(h, NoRetryHeader, "1")
		}
		x.fields.setClock(h, x.o.config.Clock)
	} else {
		stripDaemonHeaders(h)
		x.setResponseRetryAfter(a)
	}
	x.countFinished(metricOutcome(a.outcome()))
	x.earlyResponse.beforeResponse(x.source)
	result := relay(x.w, response, nil)
	if result.upstream != nil && x.ctx.Err() == nil {
		x.observeBrokenResponse(a)
	}
	if result.upstream != nil || result.caller != nil {
		abortResponse(x.w, x.r)
	}
}

// respondUnknown responds to a request whose last attempt did not run although
// an earlier one may have. For the request as a whole, "not run" would be
// wrong.
func (x *exchange) respondUnknown(a *attempt) {
	if x.o.config.Protocol.usesDaemonHeaders() {
		setHeader(x.w.Header(), VersionHeader, x.version)
	}
	var status int
	if a.failure != nil {
		status = a.failure.status
	} else {
		status = a.result.response.StatusCode
	}
	x.discardResponse(a)
	if x.o.config.Protocol.verifiesResponses() && promisesNotRun(status) {
		status = http.StatusBadGateway
	}
	failure := unknown(status, fault.New(fault.UnknownOutcome, "an earlier attempt may have run; the last one did not"))
	failure.noRetry = true
	x.refuse(failure)
}

// metricOutcome returns the metric label of an outcome.
func metricOutcome(outcome Outcome) Outcome {
	if outcome == "" {
		return outcomeAnswered
	}
	return outcome
}

// observe reports the attempt to the observer that evaluates the service's open
// move.
func (x *exchange) observe(a *attempt) {
	latency := x.o.config.Now().Sub(a.started)
	x.o.config.Metrics.observeFirstByte(outboundSide, x.route.Name, latency)
	if !a.isVersionSample() || !x.countsForMove(a) {
		return
	}
	observation := move.Observation{Key: x.sampleKey(a), Latency: a.latencyWithoutSetup(latency), Failed: a.outcome() == Unknown}
	if a.failure == nil {
		h := a.result.response.Header
		observation.Failed = observation.Failed || a.result.response.StatusCode >= http.StatusInternalServerError
		observation.Answered = a.outcome() != Unknown && answersFailure(a.result.response.StatusCode)
		observation.CrashFingerprint, _ = parseNumericHeader(h, CrashHeader, 16, 64)
	}
	x.o.config.Observer.Observe(observation)
}

// latencyWithoutSetup subtracts the possible cost of a new connection from the
// latency. A version with a small share gets few requests from each daemon, and
// most of them are the first on their connection; counting the setup caused
// good versions to be taken back.
func (a *attempt) latencyWithoutSetup(latency time.Duration) time.Duration {
	return max(latency-a.result.setupTime, 0)
}

// observeBrokenResponse reports a response that broke after its status was
// forwarded. Because a response can take long, the attempt has already been
// reported when its headers arrived, and so counts twice. Missing the failure
// in the evaluation of the move would be worse.
func (x *exchange) observeBrokenResponse(a *attempt) {
	if !x.countsForMove(a) {
		return
	}
	latency := x.o.config.Now().Sub(a.started)
	x.o.config.Observer.Observe(move.Observation{Key: x.sampleKey(a), Latency: latency, Failed: true})
}

// countsForMove reports whether the request counts for an open move. A request
// whose caller has disconnected says nothing about the version.
func (x *exchange) countsForMove(a *attempt) bool {
	return !x.o.config.ObservedAtTargets && a.choice.Service.Ticket != 0 && x.route.Version == "" && x.r.Context().Err() == nil
}

func (x *exchange) sampleKey(a *attempt) move.SampleKey {
	service := a.choice.Service
	return move.SampleKey{Ticket: service.Ticket, Route: x.route.Name, Service: service.Name, New: a.choice.Version.New}
}
