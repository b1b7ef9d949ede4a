package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// Inbound takes requests from other daemons and sends them to the target on
// the same VM. It answers "not run" until SetTarget was called.
type Inbound struct {
	config  InboundConfig
	strikes *routing.Strikes
	flow    *flow
	running *running
	proven  *proven
	current atomic.Pointer[served]
	setting sync.Mutex
	move    atomic.Pointer[TargetMove]
}

// TargetMove is the open move of the target's service.
type TargetMove struct {
	// Ticket names the move; zero means that none is open.
	Ticket uint64
	// New is true when the target's version gains traffic by the move.
	New bool
}

// SetMove makes the proxy report the target's requests for the move's judge.
// It sees how long a request ran without its wait for a slot, which says
// nothing about a version.
func (n *Inbound) SetMove(m TargetMove) { n.move.Store(&m) }

// served is the current target with its limits.
type served struct {
	target member.Target
	link   *link
	gate   *gate
	// failures is kept as long as the run of the target.
	failures *failureRate
}

// NewInbound returns a handler for the requests of other daemons.
func NewInbound(config InboundConfig) *Inbound {
	config.Now = nowOr(config.Now)
	config.Clock = clockOr(config.Clock)
	config.Protocol = protocolOr(config.Protocol)
	if config.DrainNotice == 0 {
		config.DrainNotice = DefaultDrainNotice
	}
	return &Inbound{
		config:  config,
		strikes: routing.NewStrikes(),
		flow:    newFlow(),
		running: newRunning(),
		proven:  newProven(),
	}
}

// SetTarget replaces the target. The zero value means that there is none.
// Requests that have begun stay with the target that they started with.
func (n *Inbound) SetTarget(target member.Target) {
	n.setting.Lock()
	defer n.setting.Unlock()
	old := n.current.Load()
	if target.Address == "" {
		n.current.Store(nil)
	} else if old != nil && sameRun(old.target, target) {
		old.gate.resize(n.config.Now(), target.Slots)
		n.current.Store(&served{target: target, link: old.link, gate: old.gate, failures: old.failures})
		return
	} else {
		n.current.Store(&served{target: target, link: n.linkTo(target), gate: newGate(target.Slots), failures: &failureRate{}})
	}
	if old != nil {
		old.link.close()
		old.gate.close()
	}
}

func (n *Inbound) linkTo(target member.Target) *link {
	options := linkOptions{connections: target.Connections, wholeBytes: n.config.BufferBytes}
	if n.config.Protocol.checked() {
		options.requestID = n.config.Protocol.RequestID
	}
	return newLink(target.Address, options)
}

func sameRun(a, b member.Target) bool {
	return a.Instance == b.Instance && a.Address == b.Address && a.Connections == b.Connections && a.Service == b.Service &&
		a.Version == b.Version && a.Started.Equal(b.Started)
}

// SetStrikes replaces the crash counts of the whole mesh, by fingerprint.
func (n *Inbound) SetStrikes(counts map[uint64]uint32) { n.strikes.SetShared(counts) }

// hopProtocol is what daemons use between each other.
var hopProtocol = DefaultProtocol()

// ServeHTTP forwards the request to the target.
func (n *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.config.Metrics.begin(inboundSide)
	defer n.config.Metrics.end(inboundSide)
	s := &service{n: n, w: w, r: r, served: n.current.Load(), class: classOf(r.Header), cancel: func() {}}
	s.early = early{w: w, r: r}
	defer s.end()
	if !n.flow.enter() {
		refused := notRun(http.StatusServiceUnavailable, fault.New(fault.NotReady, "the daemon is stopping"))
		refused.refused = true
		s.refuse(refused)
		return
	}
	defer n.flow.leave()
	if refused := s.prepare(); refused != nil {
		s.refuse(refused)
		return
	}
	waiter := s.waiter()
	if s.announced {
		if err := s.letBody(waiter); err != nil {
			s.shed(err, waiter.Verdict == routing.ShedBusy)
			return
		}
	}
	if refused := s.prepareBody(); refused != nil {
		s.refuse(refused)
		return
	}
	if err := s.served.gate.enter(s.ctx, n.config.Now, waiter); err != nil {
		s.shed(err, waiter.Verdict == routing.ShedBusy)
		return
	}
	defer func() { s.served.gate.leave(n.config.Now(), waiter) }()
	s.serve()
}

func (s *service) end() {
	s.early.end(s.source)
	s.cancel()
}

// service is one request at the inbound proxy.
type service struct {
	n      *Inbound
	w      http.ResponseWriter
	r      *http.Request
	served *served
	class  model.Class

	in     input
	route  string
	source *source
	early  early
	once   bool
	// announced is true when the sender waits for an answer to the header
	// before it sends the body.
	announced bool
	ctx       context.Context
	cancel    context.CancelFunc
	deadline  time.Time
	fields    fieldValues
}

// prepare checks the request. It returns the answer to one that may not run.
func (s *service) prepare() *refusal {
	if refused := s.checkTarget(); refused != nil {
		return refused
	}
	var err error
	if s.in, err = parseInput(s.r.Header, &hopProtocol); err != nil {
		return badInput(err)
	}
	if s.route, err = parseRoute(s.r.Header); err != nil {
		return badInput(err)
	}
	s.n.config.Clock.Saw(s.in.clock)
	s.once = s.r.Header.Get(OnceHeader) != ""
	if s.r.Header.Get(hopExpectHeader) != "" {
		delete(s.r.Header, "Expect")
		s.in.expects = false
		s.announced = true
	}
	s.source = newSource(s.r, max(prefixBytes, s.n.config.BufferBytes))
	s.limitTime()
	s.source.limitTime(s.w, s.deadline)
	return nil
}

// busyLink is the wait for the VM's link from which a request that can ask
// other targets should. The short requests beside its body wait as long.
const busyLink = 100 * time.Millisecond

// letBody decides whether a sender should send a long body, by the room at the
// target and on the VM's link. It fails as the gate does.
func (s *service) letBody(w *routing.Waiter) error {
	now := s.n.config.Now()
	if err := s.served.gate.preview(now, w); err != nil {
		return err
	}
	if load := s.n.config.Link; load != nil && s.r.ContentLength > 0 {
		wait := load.EstimateWait(now)
		switch {
		case w.Patience >= 0 && wait > busyLink:
			w.Verdict = routing.ShedBusy
			return fault.New(fault.Overloaded, "the VM's link is busy for %d ms", wait.Milliseconds())
		case !w.Objective.IsZero() && now.Add(wait+load.TransferTime(s.r.ContentLength)).After(w.Objective):
			w.Verdict = routing.ShedObjective
			return fault.New(fault.Overloaded, "the body cannot come in time over the VM's link, which is busy for %d ms", wait.Milliseconds())
		}
	}
	// The link has carried the body by the time of the real decision, and would
	// carry it once more to another target.
	w.Patience = anyPatience
	return nil
}

// prepareBody reads the body as far as it is needed before the request is
// admitted.
func (s *service) prepareBody() *refusal {
	if load := s.n.config.Link; load != nil && s.announced && s.r.ContentLength > 0 {
		load.ReserveBody(s.r.ContentLength)
		defer load.ReleaseBody(s.r.ContentLength)
	}
	if s.n.config.BufferBytes > 0 {
		if err := s.source.fillTo(s.n.config.BufferBytes); err != nil {
			return badBody(err)
		}
		s.source.measure(s.n.config.Link)
	}
	if s.n.strikes.Any() {
		if err := s.source.fill(); err != nil {
			return badBody(err)
		}
		if s.n.strikes.Quarantined(s.n.config.Now(), s.fingerprint()) {
			return quarantined(&s.n.config.Protocol)
		}
	}
	return nil
}

// checkTarget refuses a request that was sent for another target, which an
// outdated endpoint entry at the sender can cause.
func (s *service) checkTarget() *refusal {
	var refused *refusal
	h := s.r.Header
	switch {
	case s.served == nil:
		refused = notRun(http.StatusServiceUnavailable, fault.New(fault.NotReady, "the daemon has no target"))
	case differs(h.Get(ServiceHeader), s.served.target.Service), differs(h.Get(VersionHeader), s.served.target.Version):
		refused = notRun(http.StatusServiceUnavailable, fault.New(fault.Stale, "the target is of service %q, version %q",
			s.served.target.Service, s.served.target.Version))
	default:
		return nil
	}
	refused.refused = true
	return refused
}

func differs(asked, have string) bool { return asked != "" && asked != have }

func (s *service) limitTime() {
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

func (s *service) shed(err error, asking bool) {
	reason := "queue"
	if fault.Is(err, fault.Timeout) {
		reason = "deadline"
	}
	s.n.config.Metrics.wasShed(string(s.class), reason)
	refused := notRun(http.StatusServiceUnavailable, err)
	refused.asking = asking
	s.refuse(refused)
}

func (s *service) refuse(refused *refusal) {
	s.setLoad()
	s.finished(refused.outcome)
	recordRefusal(s.n.config.Observer, refused, s.in.id, s.inputs)
	s.early.beforeRefusal(s.source, refused.status)
	refused.write(s.w, s.in.id)
}

// setLoad reports the target's load and the daemon's clock with the answer.
func (s *service) setLoad() {
	s.fields.setClock(s.w.Header(), s.n.config.Clock)
	if s.served == nil {
		return
	}
	var room [loadTextBytes]byte
	load := strconv.AppendFloat(room[:0], s.served.gate.load(), 'f', loadDecimals, 64)
	s.fields.set(s.w.Header(), LoadHeader, string(load))
	if !s.n.config.Protocol.own() {
		s.fields.set(s.w.Header(), PaceHeader, strconv.FormatInt(s.served.gate.pace().Milliseconds(), 10))
		if load := s.n.config.Link; load != nil {
			s.fields.set(s.w.Header(), LinkWaitHeader, strconv.FormatInt(load.EstimateWait(s.n.config.Now()).Milliseconds(), 10))
		}
		s.fields.set(s.w.Header(), FailuresHeader, strconv.FormatFloat(s.served.failures.part(), 'f', loadDecimals, 64))
	}
}

func (s *service) finished(outcome Outcome) {
	version := ""
	if s.served != nil {
		version = s.served.target.Version
	}
	s.n.config.Metrics.finished(inboundSide, s.route, outcome, version)
}
