package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// Inbound receives requests from other daemons and forwards them to the target
// on the same VM. It responds with "not run" until SetTarget is called.
type Inbound struct {
	config           InboundConfig
	strikes          *routing.Strikes
	inFlightCounter  *inFlightCounter
	runningRequests  *runningRequests
	answeredRequests *answeredRequests
	current          atomic.Pointer[backend]
	targetMu         sync.Mutex
	move             atomic.Pointer[TargetMove]
	// longRoutes holds the names of the routes with large responses, which take turns
	// on the VM's link by longResponses.
	longRoutes    atomic.Pointer[map[string]bool]
	longResponses *longResponseQueue
	// evacuated is true while no request may be sent to the target because of an
	// evacuation of its failure domain.
	evacuated atomic.Bool
	// cold limits the requests to a target that is or may be cold. It outlives the
	// target, since the next one may be the same process.
	cold *routing.ColdLimiter
}

// TargetMove describes the open move of the target's service.
type TargetMove struct {
	// Ticket is the number of the move's ticket; zero means that no move is open.
	Ticket uint64
	// New is true when the target's version gains traffic by the move.
	New bool
}

// SetMove makes the proxy report the target's requests to the evaluation of the
// move. The reported latency excludes the wait for a slot, which does not
// depend on the version.
func (n *Inbound) SetMove(m TargetMove) { n.move.Store(&m) }

// backend is the current target with its connections and its admission control.
type backend struct {
	target member.Target
	link   *link
	gate   *gate
	// failures is kept for the lifetime of the target process.
	failures *failureRate
}

// NewInbound returns a handler for requests from other daemons.
func NewInbound(config InboundConfig) *Inbound {
	config.Now = nowOrDefault(config.Now)
	config.Clock = clockOrDefault(config.Clock)
	config.Protocol = protocolOrDefault(config.Protocol)
	if config.DrainNotice == 0 {
		config.DrainNotice = DefaultDrainNotice
	}
	var longResponses *longResponseQueue
	if config.Link != nil {
		longResponses = newLongResponseQueue(config.Link, config.Now)
	}
	return &Inbound{
		longResponses: longResponses, config: config,
		strikes:          routing.NewStrikes(),
		inFlightCounter:  newInFlightCounter(),
		runningRequests:  newRunningRequests(),
		answeredRequests: newAnsweredRequests(),
		cold:             routing.NewColdLimiter(),
	}
}

// SetTarget replaces the target. The zero value means that there is none.
// Requests in progress stay with the target that they started with.
func (n *Inbound) SetTarget(target member.Target) {
	n.targetMu.Lock()
	defer n.targetMu.Unlock()
	old := n.current.Load()
	if target.Address == "" {
		n.current.Store(nil)
	} else if old != nil && sameTargetProcess(old.target, target) {
		old.gate.resize(n.config.Now(), target.Slots)
		n.current.Store(&backend{target: target, link: old.link, gate: old.gate, failures: old.failures})
		return
	} else {
		n.current.Store(&backend{target: target, link: n.newTargetLink(target), gate: newGate(target.Slots, n.cold, n.config.Now), failures: &failureRate{}})
	}
	if old != nil {
		old.link.close()
		old.gate.close()
	}
}

func (n *Inbound) newTargetLink(target member.Target) *link {
	options := linkOptions{connections: target.Connections, maxBufferedBytes: n.config.BufferBytes}
	if n.config.Protocol.verifiesResponses() {
		options.requestID = n.config.Protocol.RequestID
	}
	return newLink(target.Address, options)
}

func sameTargetProcess(a, b member.Target) bool {
	return a.Instance == b.Instance && a.Address == b.Address && a.Connections == b.Connections && a.Service == b.Service &&
		a.Version == b.Version && a.Started.Equal(b.Started)
}

// SetCrashCounts replaces the crash counts of the whole mesh, by fingerprint.
func (n *Inbound) SetCrashCounts(counts map[uint64]uint32) { n.strikes.SetShared(counts) }

// hopProtocol holds the header names that daemons use between each other.
var hopProtocol = DefaultProtocol()

// ServeHTTP forwards the request to the target.
func (n *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.config.Metrics.begin(inboundSide)
	defer n.config.Metrics.end(inboundSide)
	if !n.config.Protocol.usesDaemonHeaders() {
		// The caller's daemon adds the date.
		w.Header()["Date"] = nil
	}
	s := &service{n: n, w: w, r: r, backend: n.current.Load(), started: n.config.Now(), class: classOf(r.Header), cancel: func() {}}
	s.earlyResponse = earlyResponse{w: w, r: r}
	defer s.end()
	if !n.inFlightCounter.enter() {
		refused := notRun(http.StatusServiceUnavailable, fault.New(fault.NotReady, "the daemon is stopping"))
		refused.targetUnavailable = true
		s.refuse(refused)
		return
	}
	defer n.inFlightCounter.leave()
	if refused := s.prepare(); refused != nil {
		s.refuse(refused)
		return
	}
	waiter := s.newWaiter()
	s.asked = waiter
	if s.awaitsContinue {
		if err := s.admitBody(waiter); err != nil {
			s.refuseShed(err, waiter)
			return
		}
	}
	if refused := s.prepareBody(); refused != nil {
		s.refuse(refused)
		return
	}
	stopDropping := s.dropStalled()
	err := s.backend.gate.acquire(s.ctx, n.config.Now, waiter, n.config.StopDeadline)
	stopDropping()
	if err != nil {
		if refused := s.refusalIfLate(); refused != nil {
			s.refuse(refused)
			return
		}
		s.refuseShed(err, waiter)
		return
	}
	s.waiter = waiter
	defer s.releaseSlot()
	if n.evacuated.Load() {
		s.refuse(evacuatedRefusal())
		return
	}
	if refused := s.refusalIfLate(); refused != nil {
		s.refuse(refused)
		return
	}
	s.source.holder.SetSlot(true)
	defer s.source.holder.SetSlot(false)
	s.serve()
}

// stalledSlotInterval is the interval at which a request that waits for a slot looks for
// one that is held by a stalled body.
const stalledSlotInterval = 100 * time.Millisecond

// dropStalled drops requests that hold the slots of a busy target while their bodies are
// stalled, until the returned function is called.
func (s *service) dropStalled() (stop func()) {
	holder := s.source.holder
	if holder == nil || s.backend.gate.load() < 1 {
		return func() {}
	}
	ticker := time.NewTicker(stalledSlotInterval)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				holder.DropStalledSlot()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

func (s *service) end() {
	s.earlyResponse.end(s.source)
	s.source.release()
	s.cancel()
}

// service handles one request at the inbound proxy.
type service struct {
	n       *Inbound
	w       http.ResponseWriter
	r       *http.Request
	backend *backend
	class   model.Class

	started       time.Time
	in            input
	route         string
	source        *bodySource
	earlyResponse earlyResponse
	once          bool
	// awaitsContinue is true when the sending daemon waits for "100 Continue"
	// before it sends the body.
	awaitsContinue bool
	ctx            context.Context
	cancel         context.CancelFunc
	deadline       time.Time
	fields         fieldValues
	// waiter is set while the request holds a slot.
	waiter *routing.Waiter
	// asked is the request as admission knows it, or nil before admission.
	asked *routing.Waiter
	// abandoned is true when the target may run the request although its response is no
	// longer awaited.
	abandoned bool
}

// releaseSlot releases the slot of the request, if it still holds one. A target that may
// still run the request keeps it for a time.
func (s *service) releaseSlot() {
	if s.waiter == nil {
		return
	}
	if !s.abandoned || !s.backend.gate.abandon(s.n.config.Now, s.waiter) {
		s.backend.gate.release(s.n.config.Now(), s.waiter)
	}
	s.waiter = nil
}

// prepare validates the request. It returns the refusal of a request that must
// not run, or nil.
func (s *service) prepare() *refusal {
	if refused := s.checkTarget(); refused != nil {
		return refused
	}
	var err error
	if s.in, err = parseInput(s.r.Header, &hopProtocol); err != nil {
		return badInput(err)
	}
	if protocol := &s.n.config.Protocol; !protocol.usesDaemonHeaders() {
		if err = s.in.parseID(s.r.Header, protocol.RequestID); err != nil {
			return badInput(err)
		}
	}
	if s.route, err = parseRoute(s.r.Header); err != nil {
		return badInput(err)
	}
	s.n.config.Clock.Witness(s.in.clock)
	s.once = s.r.Header.Get(OnceHeader) != ""
	if s.r.Header.Get(hopExpectHeader) != "" {
		delete(s.r.Header, "Expect")
		s.in.expectsContinue = false
		s.awaitsContinue = true
	}
	s.source = newBodySource(s.r, max(prefixBytes, s.n.config.BufferBytes))
	s.setDeadline()
	s.source.setReadDeadline(s.w, s.deadline)
	return nil
}

// maxLinkWait is the longest wait for the VM's network link that is accepted for
// a request that can try other targets. Short requests that share the link
// with its body wait equally long.
const maxLinkWait = 100 * time.Millisecond

// admitBody decides whether the sender should send a long body, based on the
// free capacity of the target and of the VM's network link. Its errors are
// those of gate.enter.
func (s *service) admitBody(w *routing.Waiter) error {
	now := s.n.config.Now()
	if err := s.backend.gate.preview(now, w); err != nil {
		return err
	}
	if load := s.n.config.Link; load != nil && s.r.ContentLength > 0 {
		wait := load.EstimateWait(now)
		switch {
		case w.Patience >= 0 && wait > maxLinkWait:
			w.Verdict = routing.ShedBusy
			return fault.New(fault.Overloaded, "the VM's link is busy for %d ms", wait.Milliseconds())
		case !w.Objective.IsZero() && now.Add(wait+load.TransferTime(s.r.ContentLength)).After(w.Objective):
			w.Verdict = routing.ShedObjective
			return fault.New(fault.Overloaded, "the body cannot come in time over the VM's link, which is busy for %d ms", wait.Milliseconds())
		}
	}
	// At the final admission the link has already carried the body, and a retry
	// at another target would transfer the body again.
	w.Patience = routing.UnboundedWait
	return nil
}

// prepareBody reads as much of the body as admission needs. It returns the
// refusal of a request that must not run, or nil.
func (s *service) prepareBody() *refusal {
	if load := s.n.config.Link; load != nil && s.awaitsContinue && s.r.ContentLength > 0 {
		load.ReserveBody(s.r.ContentLength)
		defer load.ReleaseBody(s.r.ContentLength)
	}
	if s.n.config.BufferBytes > 0 {
		stop := s.n.config.StopDeadline.interruptRead(s.source, s.w, s.deadline)
		err := s.source.fillTo(s.n.config.BufferBytes)
		stop()
		if refused := s.refusalIfLate(); refused != nil {
			return refused
		}
		if err != nil {
			return s.badBody(err)
		}
		s.source.reportLength(s.n.config.Link)
	}
	if s.n.strikes.Any() {
		if err := s.source.fillPrefix(); err != nil {
			return s.badBody(err)
		}
		if s.n.strikes.Quarantined(s.n.config.Now(), s.fingerprint()) {
			return quarantined(&s.n.config.Protocol)
		}
	}
	return nil
}

// badBody returns the refusal for a request whose body could not be read. Where callers
// never retry after 400, a failure of the connection between daemons is no fault of
// the caller.
func (s *service) badBody(err error) *refusal {
	refused := badBody(err)
	if refused.status == http.StatusBadRequest && s.n.config.Protocol.verifiesResponses() {
		refused.status = http.StatusServiceUnavailable
	}
	return refused
}

// refusalIfLate returns the refusal of a request that is too late for a daemon that
// stops, or nil.
func (s *service) refusalIfLate() *refusal {
	refused := s.n.config.StopDeadline.refusal(s.deadline)
	if refused != nil {
		refused.targetUnavailable = true
	}
	return refused
}

// checkTarget refuses a request that was meant for another service or version.
// A stale endpoint entry at the sender can cause that.
func (s *service) checkTarget() *refusal {
	var refused *refusal
	h := s.r.Header
	switch {
	case s.backend == nil:
		refused = notRun(http.StatusServiceUnavailable, fault.New(fault.NotReady, "the daemon has no target"))
	case s.n.evacuated.Load():
		return evacuatedRefusal()
	case mismatches(h.Get(ServiceHeader), s.backend.target.Service), mismatches(h.Get(VersionHeader), s.backend.target.Version):
		refused = notRun(http.StatusServiceUnavailable, fault.New(fault.Stale, "the target is of service %q, version %q",
			s.backend.target.Service, s.backend.target.Version))
	default:
		return nil
	}
	refused.targetUnavailable = true
	return refused
}

func mismatches(want, have string) bool { return want != "" && want != have }

func (s *service) setDeadline() {
	timeout := model.DefaultTimeout
	if s.in.hasDeadline {
		timeout = s.in.remaining
	}
	s.deadline = time.Now().Add(timeout)
	s.ctx, s.cancel = context.WithDeadline(s.r.Context(), s.deadline)
}

func (s *service) fingerprint() uint64 {
	return fingerprint(s.r, s.in.key, s.source.prefix())
}

// refuseShed refuses a request for lack of capacity. The sender of a request with
// an objective explains the refusal to the caller itself, so that the body, which
// may cross failure domains, is omitted.
func (s *service) refuseShed(err error, w *routing.Waiter) {
	reason := "queue"
	if fault.Is(err, fault.Timeout) {
		reason = "deadline"
	}
	if w.Cold {
		reason = "cold"
	}
	s.n.config.Metrics.countShed(string(s.class), reason)
	s.n.config.Metrics.countRule(ruleOf(w.Verdict))
	refused := notRun(http.StatusServiceUnavailable, err)
	if s.n.evacuated.Load() {
		refused = evacuatedRefusal()
	}
	refused.senderRetries = w.Verdict == routing.ShedBusy
	refused.noBody = !w.Objective.IsZero()
	s.refuse(refused)
}

func (s *service) refuse(refused *refusal) {
	s.n.config.Protocol.refuseNotRun(refused)
	s.setLoadHeaders()
	s.countFinished(refused.outcome)
	recordRefusal(s.n.config.Observer, refused, s.in.id, s.decisionInputs)
	s.earlyResponse.beforeRefusal(s.source, refused)
	refused.write(s.w, s.in.id)
}
