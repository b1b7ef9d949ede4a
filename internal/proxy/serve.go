package proxy

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/once"
)

// maxKeptResponseBytes bounds the body of a response that is stored for retries
// of a once request.
const maxKeptResponseBytes = 128 << 10

// claim is the claim of a once request. The zero value is no claim.
type claim struct {
	claimer once.Claimer
	key     once.Key
	attempt string
}

func (c claim) release() {
	if c.claimer != nil {
		c.claimer.Release(c.key, c.attempt)
	}
}

func (c claim) finish(response *http.Response, stored *responseRecorder) {
	if c.claimer == nil || stored.overflowed {
		return
	}
	c.claimer.Finish(c.key, c.attempt, once.Response{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: stored.body,
	})
}

// serve forwards a request that holds a slot, after claiming it on a once route.
func (s *service) serve() {
	if !s.once {
		s.forward(claim{})
		return
	}
	granted, refused := s.claim()
	if refused != nil {
		s.refuse(refused)
		return
	}
	if granted.claimer == nil {
		return
	}
	if s.ctx.Err() != nil {
		granted.release()
		s.refuse(notRun(http.StatusGatewayTimeout, fault.Wrap(s.ctx.Err(), fault.Timeout, "the claim took until the deadline")))
		return
	}
	// A once request continues after its caller disconnects, so that its
	// response is stored for the caller's next attempt.
	s.cancel()
	s.ctx, s.cancel = context.WithDeadline(context.WithoutCancel(s.r.Context()), s.deadline)
	s.forward(granted)
}

// claim requests the claim that allows the request to run. It returns the zero
// claim when it has sent a stored response instead.
func (s *service) claim() (claim, *refusal) {
	key, err := onceKey(s.in, s.backend.target.Service)
	if err != nil {
		return claim{}, notRun(http.StatusBadRequest, err)
	}
	if s.n.config.Claimer == nil {
		return claim{}, claimUnavailable(fault.New(fault.Unavailable, "the daemon cannot claim requests"))
	}
	if err := s.source.fillPrefix(); err != nil {
		return claim{}, s.badBody(err)
	}
	digest := requestDigest(s.r, s.source.prefix(), s.source.length)
	grant, err := s.n.config.Claimer.Claim(s.ctx, key, digest)
	if err != nil {
		return claim{}, claimRefusal(err)
	}
	switch grant.Decision {
	case once.Granted:
		return claim{claimer: s.n.config.Claimer, key: key, attempt: grant.Attempt}, nil
	case once.Replay:
		s.replay(grant.Response)
		return claim{}, nil
	}
	return claim{}, unknown(http.StatusConflict, fault.New(fault.UnknownOutcome, "another attempt holds the key; its answer is not known"))
}

func claimRefusal(err error) *refusal {
	if fault.Is(err, fault.Invalid) {
		return notRun(http.StatusUnprocessableEntity, fault.Wrap(err, fault.Invalid, "the key was used for another request"))
	}
	return claimUnavailable(err)
}

// claimUnavailable returns the refusal for requests while the platform is down.
// Every daemon uses the same platform, so a retry at another daemon would only
// add load.
func claimUnavailable(err error) *refusal {
	refused := notRun(http.StatusServiceUnavailable, fault.Wrap(err, fault.Unavailable, "the request cannot be claimed"))
	refused.noRetry = true
	return refused
}

// replay sends the stored response of an earlier attempt.
func (s *service) replay(response *once.Response) {
	s.setLoadHeaders()
	h := s.w.Header()
	setHeader(h, OutcomeHeader, string(Ran))
	if response.ContentType != "" {
		setHeader(h, "Content-Type", response.ContentType)
	}
	s.countFinished(Ran)
	s.w.WriteHeader(response.Status)
	// A caller that has disconnected can retry.
	_, _ = s.w.Write(response.Body)
}

// forward sends the request to the target and relays the response.
func (s *service) forward(granted claim) {
	sentAt := s.n.config.Now()
	if !s.n.cold.Send(sentAt) {
		granted.release()
		s.refuse(s.coldRefusal())
		return
	}
	request := &runningRequest{address: s.backend.link.address, fingerprint: s.fingerprint}
	s.n.runningRequests.add(request)
	defer s.n.runningRequests.remove(request)
	body := s.source.newAttempt()
	defer body.Close()
	started := s.n.config.Now()
	result := s.backend.link.send(s.outgoing(body))
	latency := s.n.config.Now().Sub(started)
	s.n.config.Metrics.observeFirstByte(inboundSide, s.route, latency)
	if result.err != nil {
		// A request that ran until its deadline did at least that much work.
		s.abandoned = result.wrote && s.ctx.Err() != nil
		s.asked.Unfinished = !s.abandoned
		// A timeout alone is no failure, because the target may only be busy. It
		// is one if the target sent bytes that do not form a whole response.
		if s.ctx.Err() == nil || result.responseStarted && s.r.Context().Err() == nil {
			s.backend.failures.add(true)
		}
		s.observe(move.Observation{Latency: latency, Failed: result.wrote})
		s.refuseFailed(result, request, granted)
		return
	}
	defer result.response.Body.Close()
	// A 421 of another request says nothing about this one.
	ownAnswer := result.identified || !s.n.config.Protocol.verifiesResponses()
	if ownAnswer && result.response.StatusCode == http.StatusMisdirectedRequest {
		s.n.cold.Return(s.n.config.Now(), sentAt)
	}
	refused := s.n.config.Protocol.checkResponse(result)
	s.asked.Unfinished = refused != nil && refused.outcome == NotRun
	if load, ok := s.n.config.Protocol.parseLoad(result.response.Header); ok && result.identified {
		s.backend.gate.observeLoad(s.n.config.Now(), load)
		observeLength(s.n.config.Link, result.response)
	}
	s.backend.failures.add(refused != nil || result.response.StatusCode >= http.StatusInternalServerError)
	if refused == nil || refused.outcome != NotRun {
		status := result.response.StatusCode
		s.observe(move.Observation{
			Latency: latency - result.setupTime, Failed: refused != nil || status >= http.StatusInternalServerError,
			Answered: refused == nil && answersFailure(status),
		})
	}
	if refused != nil {
		if refused.targetUnavailable {
			s.reportTargetLost(refused.err)
		}
		s.refuse(refused)
		return
	}
	s.respond(result.response, request, granted)
}

// minAbandonedFraction is the fraction of the caller's timeout that a request must
// have run before its caller disconnected. Shorter latencies are not reported,
// because they say nothing about the version.
const minAbandonedFraction = 0.5

// answersFailure reports whether a target's status is a failure of the target rather than
// of its load.
func answersFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout
}

// observe reports a request that ran to the evaluation of the open move, without its key.
func (s *service) observe(o move.Observation) {
	m := s.n.move.Load()
	if m == nil || m.Ticket == 0 {
		return
	}
	if s.r.Context().Err() != nil {
		if float64(o.Latency) < minAbandonedFraction*float64(s.in.remaining) {
			return
		}
		o.Failed, o.Answered = false, false
	}
	o.Key = move.SampleKey{Ticket: m.Ticket, Route: s.route, Service: s.backend.target.Service, New: m.New}
	o.Latency = max(0, o.Latency)
	s.n.config.Observer.Observe(o)
}

func (s *service) outgoing(body *attemptBody) *outgoingRequest {
	out := newOutgoingRequest(s.ctx, s.r, s.backend.link.address, s.source, body, 0)
	h := out.request.Header
	tenantName := h.Get(TenantHeader)
	protocol := &s.n.config.Protocol
	if protocol.usesDaemonHeaders() {
		stripDaemonHeaders(h, RequestHeader, RouteHeader, VersionHeader)
		s.fields.setClock(h, s.n.config.Clock)
	} else {
		stripDaemonHeaders(h)
		s.fields.set(h, protocol.ExpectedInstance, s.backend.target.Instance)
	}
	s.setTargetTenant(h, tenantName)
	s.fields.setRemaining(h, protocol.Deadline, time.Until(s.deadline))
	return out
}

// refuseFailed responds to a request that got no response from the target.
func (s *service) refuseFailed(result sendResult, request *runningRequest, granted claim) {
	refused := sendFailure(s.ctx, result, "the target")
	refused.targetUnavailable = result.dialFailed
	if result.dialFailed && errors.Is(result.err, syscall.ECONNREFUSED) {
		s.reportTargetLost(refused.err)
	}
	if refused.outcome == NotRun {
		granted.release()
	} else if refused.status != http.StatusGatewayTimeout {
		s.n.targetMayBeCold()
		refused.crashFingerprint = s.recordCrash(request)
		refused.bystander = refused.crashFingerprint != 0 && s.n.answeredRequests.has(s.n.config.Now(), refused.crashFingerprint)
	}
	s.refuse(refused)
}

func (s *service) reportTargetLost(err error) {
	if s.n.config.OnTargetLost != nil {
		s.n.config.OnTargetLost(s.backend.target.Instance, err)
	}
}

func (s *service) recordCrash(request *runningRequest) uint64 {
	return s.n.runningRequests.handleBrokenConnection(request, func(fingerprint uint64) {
		if s.n.answeredRequests.has(s.n.config.Now(), fingerprint) {
			return
		}
		s.n.strikes.Add(s.n.config.Now(), fingerprint)
		s.n.config.Observer.RecordCrash(fingerprint)
	})
}

// respond relays the target's response. It removes the daemons' headers, which
// a target may copy from a response that it received itself.
func (s *service) respond(response *http.Response, request *runningRequest, granted claim) {
	h := s.w.Header()
	copyEndToEnd(h, response.Header)
	stripDaemonHeaders(h, NoRetryHeader)
	s.setLoadHeaders()
	s.countFinished(outcomeAnswered)
	var stored *responseRecorder
	if granted.claimer != nil {
		stored = &responseRecorder{limit: maxKeptResponseBytes}
	}
	s.earlyResponse.beforeResponse(s.source)
	finish := s.takeTurn(response)
	result := relay(s.w, response, stored)
	finish()
	if result.upstream != nil && s.r.Context().Err() == nil {
		s.backend.failures.add(true)
	}
	if result.upstream != nil && s.ctx.Err() == nil && !errors.Is(result.upstream, errResponseTooLong) {
		s.recordCrash(request)
	}
	if result.upstream == nil {
		s.n.answeredRequests.add(s.n.config.Now(), s.fingerprint())
	}
	if result.upstream == nil && (result.caller == nil || stored.needsMore()) {
		granted.finish(response, stored)
	}
	if result.upstream != nil || result.caller != nil {
		abortResponse(s.w, s.r)
	}
}
