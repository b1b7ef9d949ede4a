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

// keptAnswerBytes bounds the answer to a once request that is kept.
const keptAnswerBytes = 128 << 10

// claim is the claim of a once request; the zero value claims nothing.
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

func (c claim) finish(response *http.Response, kept *keptAnswer) {
	if c.claimer == nil || kept.over {
		return
	}
	c.claimer.Finish(c.key, c.attempt, once.Response{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: kept.body,
	})
}

// serve claims and forwards a request that holds a slot.
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
	// A once request that has begun goes on without its caller, so that its
	// answer is kept for the caller's next attempt.
	s.cancel()
	s.ctx, s.cancel = context.WithDeadline(context.WithoutCancel(s.r.Context()), s.deadline)
	s.forward(granted)
}

// claim asks for the right to run the request. It returns the zero claim when
// it has sent a kept answer.
func (s *service) claim() (claim, *refusal) {
	key, err := onceKey(s.in, s.served.target.Service)
	if err != nil {
		return claim{}, notRun(http.StatusBadRequest, err)
	}
	if s.n.config.Claimer == nil {
		return claim{}, unclaimed(fault.New(fault.Unavailable, "the daemon cannot claim requests"))
	}
	if err := s.source.fill(); err != nil {
		return claim{}, badBody(err)
	}
	digest := requestDigest(s.r, s.source.prefix(), s.source.length)
	grant, err := s.n.config.Claimer.Claim(s.ctx, key, digest)
	if err != nil {
		return claim{}, claimFailed(err)
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

func claimFailed(err error) *refusal {
	if fault.Is(err, fault.Invalid) {
		return notRun(http.StatusUnprocessableEntity, fault.Wrap(err, fault.Invalid, "the key was used for another request"))
	}
	return unclaimed(err)
}

// unclaimed is the answer while the platform is down. Every daemon uses the
// same platform, so a retry elsewhere would only add load.
func unclaimed(err error) *refusal {
	refused := notRun(http.StatusServiceUnavailable, fault.Wrap(err, fault.Unavailable, "the request cannot be claimed"))
	refused.noRetry = true
	return refused
}

// replay sends a kept answer.
func (s *service) replay(answer *once.Response) {
	s.setLoad()
	h := s.w.Header()
	setOne(h, OutcomeHeader, string(Ran))
	if answer.ContentType != "" {
		setOne(h, "Content-Type", answer.ContentType)
	}
	s.finished(Ran)
	s.w.WriteHeader(answer.Status)
	// A caller that has gone away can ask again.
	_, _ = s.w.Write(answer.Body)
}

// forward sends the request to the target and passes on the answer.
func (s *service) forward(held claim) {
	request := &run{address: s.served.link.address, print: s.fingerprint}
	s.n.running.add(request)
	defer s.n.running.remove(request)
	body := s.source.attempt()
	defer body.Close()
	begun := s.n.config.Now()
	result := s.served.link.send(s.outgoing(body))
	took := s.n.config.Now().Sub(begun)
	s.n.config.Metrics.firstByte(inboundSide, s.route, took)
	if result.err != nil {
		// A target that is still at work at the deadline may only be busy, unlike
		// one that sends bytes which do not become an answer.
		if s.ctx.Err() == nil || result.begun && s.r.Context().Err() == nil {
			s.served.failures.add(true)
		}
		s.observe(took, result.wrote)
		s.failed(result, request, held)
		return
	}
	defer result.response.Body.Close()
	refused := s.n.config.Protocol.check(result.response, s.in.id)
	s.served.failures.add(refused != nil || result.response.StatusCode >= http.StatusInternalServerError)
	if refused == nil || refused.outcome != NotRun {
		s.observe(took-result.setup, refused != nil || result.response.StatusCode >= http.StatusInternalServerError)
	}
	if refused != nil {
		if refused.refused {
			s.lost(refused.err)
		}
		s.refuse(refused)
		return
	}
	s.pass(result.response, request, held)
}

// censoredPart is the part of its time that a request must have run before
// its caller left for the time to say something about the version.
const censoredPart = 0.5

// observe reports a request that ran for the judge of the open move.
func (s *service) observe(took time.Duration, failed bool) {
	m := s.n.move.Load()
	if m == nil || m.Ticket == 0 {
		return
	}
	if s.r.Context().Err() != nil {
		if float64(took) < censoredPart*float64(s.in.remaining) {
			return
		}
		failed = false
	}
	s.n.config.Observer.Observe(move.Observation{
		Key:     move.SampleKey{Ticket: m.Ticket, Route: s.route, Service: s.served.target.Service, New: m.New},
		Latency: max(0, took), Failed: failed,
	})
}

func (s *service) outgoing(body *attemptBody) *sending {
	out := newSending(s.ctx, s.r, s.served.link.address, s.source, body, 0)
	h := out.request.Header
	protocol := &s.n.config.Protocol
	if protocol.own() {
		stripOwn(h, RequestHeader, RouteHeader, VersionHeader)
		s.fields.setClock(h, s.n.config.Clock)
	} else {
		stripOwn(h)
		s.fields.set(h, protocol.ExpectedInstance, s.served.target.Instance)
	}
	s.fields.setRemaining(h, protocol.Deadline, time.Until(s.deadline))
	return out
}

// failed answers a request that got no answer from the target.
func (s *service) failed(result sendResult, request *run, held claim) {
	refused := sendFailure(s.ctx, result, "the target")
	refused.refused = result.refused
	if result.refused && errors.Is(result.err, syscall.ECONNREFUSED) {
		s.lost(refused.err)
	}
	if refused.outcome == NotRun {
		held.release()
	} else if refused.status != http.StatusGatewayTimeout {
		refused.crash = s.crashed(request)
		refused.bystander = refused.crash != 0 && s.n.proven.has(s.n.config.Now(), refused.crash)
	}
	s.refuse(refused)
}

func (s *service) lost(err error) {
	if s.n.config.OnTargetLost != nil {
		s.n.config.OnTargetLost(s.served.target.Instance, err)
	}
}

func (s *service) crashed(request *run) uint64 {
	return s.n.running.connectionDied(request, func(print uint64) {
		if s.n.proven.has(s.n.config.Now(), print) {
			return
		}
		s.n.strikes.Add(s.n.config.Now(), print)
		s.n.config.Observer.Strike(print)
	})
}

// pass sends the target's answer on. The headers of daemons are removed: a
// target may copy them from an answer that it got itself.
func (s *service) pass(response *http.Response, request *run, held claim) {
	h := s.w.Header()
	copyEndToEnd(h, response.Header)
	stripOwn(h, NoRetryHeader)
	s.setLoad()
	s.finished(outcomeAnswered)
	var kept *keptAnswer
	if held.claimer != nil {
		kept = &keptAnswer{limit: keptAnswerBytes}
	}
	s.early.beforeAnswer(s.source)
	result := relay(s.w, response, kept)
	if result.upstream != nil && s.r.Context().Err() == nil {
		s.served.failures.add(true)
	}
	if result.upstream != nil && s.ctx.Err() == nil && !errors.Is(result.upstream, errEndless) {
		s.crashed(request)
	}
	if result.upstream == nil {
		s.n.proven.add(s.n.config.Now(), s.fingerprint())
	}
	if result.upstream == nil && (result.caller == nil || kept.wanted()) {
		held.finish(response, kept)
	}
	if result.upstream != nil || result.caller != nil {
		cut()
	}
}
