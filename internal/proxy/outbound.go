package proxy

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// Outbound takes requests from callers and sends them to the daemons beside
// the targets. It answers "not run" until Update and SetReady(nil) were called.
type Outbound struct {
	config  OutboundConfig
	targets *routing.Targets
	strikes *routing.Strikes
	current atomic.Pointer[snapshot]
	// stats holds a *routeStats for each route's name.
	stats sync.Map
	// unready holds the reason why requests are refused, or nil.
	unready atomic.Pointer[error]

	// limits holds the retry budget of each service.
	limits atomic.Pointer[routing.BudgetLimits]

	// choosing guards the generator and the chooser.
	choosing sync.Mutex
	chooser  *routing.Chooser

	// updating serialises Update.
	updating sync.Mutex
}

// snapshot is all that a request uses of a configuration.
type snapshot struct {
	table   *routing.Table
	links   map[routing.TargetKey]*link
	budgets map[string]*routing.Budget
}

// NewOutbound returns a handler for callers' requests.
func NewOutbound(config OutboundConfig) *Outbound {
	config.Now = nowOr(config.Now)
	config.Clock = clockOr(config.Clock)
	config.Protocol = protocolOr(config.Protocol)
	if config.RetryPercent == 0 {
		config.RetryPercent = routing.DefaultRetryPercent
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(0, 0))
	}
	o := &Outbound{
		config:  config,
		targets: routing.NewTargets(),
		strikes: routing.NewStrikes(),
		chooser: routing.NewChooser(config.Domain, config.VM, config.Random),
	}
	limits := routing.DefaultBudgetLimits(config.RetryPercent)
	o.limits.Store(&limits)
	o.SetReady(fault.New(fault.NotReady, "the daemon has no configuration yet"))
	o.Update(&routing.Config{State: model.NewState()})
	return o
}

// Update replaces the configuration. Requests that have begun keep the one
// that they started with.
func (o *Outbound) Update(config *routing.Config) {
	o.updating.Lock()
	defer o.updating.Unlock()
	old := o.current.Load()
	next := &snapshot{
		table:   routing.NewTable(config, o.targets),
		links:   make(map[routing.TargetKey]*link, len(config.Endpoints)),
		budgets: make(map[string]*routing.Budget, len(config.State.Services)),
	}
	for i := range config.Endpoints {
		e := &config.Endpoints[i]
		if e.Target.Service != "" {
			next.links[routing.KeyOf(e)] = o.linkTo(old, e)
		}
	}
	for name := range config.State.Services {
		if old != nil && old.budgets[name] != nil {
			next.budgets[name] = old.budgets[name]
			continue
		}
		next.budgets[name] = routing.NewBudget(*o.limits.Load())
	}
	o.current.Store(next)
	if old != nil {
		closeUnused(old, next)
	}
}

// LimitRetries replaces the retry budget of every service.
func (o *Outbound) LimitRetries(limits routing.BudgetLimits) {
	o.updating.Lock()
	defer o.updating.Unlock()
	o.limits.Store(&limits)
	for _, budget := range o.current.Load().budgets {
		budget.SetLimits(limits)
	}
}

// linkTo returns the old link to the endpoint's daemon, or a new one. The old
// snapshot may be nil.
func (o *Outbound) linkTo(old *snapshot, e *member.Endpoint) *link {
	if old != nil {
		l := old.links[routing.KeyOf(e)]
		if l != nil && l.connections == e.Target.Connections {
			return l
		}
	}
	return newLink(e.InboundAddress, linkOptions{connections: e.Target.Connections, wholeBytes: o.config.BufferBytes, load: o.config.Link})
}

func closeUnused(old, next *snapshot) {
	for key, l := range old.links {
		if next.links[key] != l {
			l.close()
		}
	}
}

// SetReady makes the proxy refuse requests for the reason, or serve them if
// it is nil.
func (o *Outbound) SetReady(reason error) {
	if reason == nil {
		o.unready.Store(nil)
		return
	}
	o.unready.Store(&reason)
}

// SetStrikes replaces the crash counts of the whole mesh, by fingerprint.
func (o *Outbound) SetStrikes(counts map[uint64]uint32) { o.strikes.SetShared(counts) }

// ServeHTTP forwards the request.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.config.Metrics.begin(outboundSide)
	defer o.config.Metrics.end(outboundSide)
	x := &exchange{o: o, w: w, r: r, started: o.config.Now(), snapshot: o.current.Load(), cancel: func() {}}
	x.early = early{w: w, r: r}
	x.tried = x.triedRoom[:0]
	defer x.end()
	if refused := x.prepare(); refused != nil {
		x.refuse(refused)
		return
	}
	if x.stats != nil {
		x.ask()
		return
	}
	x.run()
}

func (x *exchange) end() {
	x.early.end(x.source)
	x.cancel()
}

// exchange is one request at the outbound proxy.
type exchange struct {
	o        *Outbound
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	snapshot *snapshot

	in       input
	route    *routing.Route
	source   *source
	early    early
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	tried    []*routing.Target
	// stats is set for routes with an objective; then objective says until
	// when the answer is wanted, and late that this is the deadline already.
	stats     *routeStats
	objective time.Time
	late      bool
	// wait is the patience of the attempt that is sent next.
	wait time.Duration
	// arrivals counts the targets that the request may have reached.
	arrivals int
	// inDoubt is true once an attempt that may have run was given up.
	inDoubt bool
	// triedRoom is the storage of tried.
	triedRoom [maxAttempts]*routing.Target
	fields    fieldValues
	version   string
}

// prepare checks the request. It returns the answer to one that may not run.
func (x *exchange) prepare() *refusal {
	if reason := x.o.unready.Load(); reason != nil {
		refused := notRun(http.StatusServiceUnavailable, fault.Wrap(*reason, fault.NotReady, "the daemon may not serve yet"))
		if x.o.config.Protocol.checked() {
			refused.retryAfter = notReadyReturn
		}
		return refused
	}
	var err error
	if x.in, err = parseInput(x.r.Header, &x.o.config.Protocol); err != nil {
		return badInput(err)
	}
	if x.in.id == "" && x.o.config.Protocol.own() {
		x.in.id = x.o.newID()
	}
	x.o.config.Clock.Saw(x.in.clock)
	if x.route = x.snapshot.table.Match(x.r.Host, x.r.URL.Path); x.route == nil {
		return notRun(http.StatusNotFound, fault.New(fault.NotFound, "no route matches host %q and path %q", x.r.Host, x.r.URL.Path))
	}
	if x.route.Once && !x.in.hasKey {
		_, err := onceKey(x.in, x.route.Route.Service)
		return notRun(http.StatusBadRequest, err)
	}
	return x.prepareBody()
}

func (x *exchange) prepareBody() *refusal {
	x.source = newSource(x.r, max(replayBytes, x.o.config.BufferBytes))
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = model.DefaultTimeout
	}
	if x.in.hasDeadline {
		timeout = min(timeout, x.in.remaining)
	}
	if timeout <= 0 {
		return notRun(http.StatusGatewayTimeout, fault.New(fault.Timeout, "the deadline has passed"))
	}
	x.deadline = time.Now().Add(timeout)
	x.setObjective()
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline.Add(answerGrace))
	x.source.limitTime(x.w, x.deadline.Add(answerGrace))
	if x.o.config.BufferBytes > 0 {
		if err := x.source.fillTo(x.o.config.BufferBytes); err != nil {
			return badBody(err)
		}
		x.source.measure(x.o.config.Link)
	}
	return x.checkQuarantine()
}

func (x *exchange) checkQuarantine() *refusal {
	if !x.o.strikes.Any() {
		return nil
	}
	if err := x.source.fill(); err != nil {
		return badBody(err)
	}
	if x.quarantined() {
		return quarantined(&x.o.config.Protocol)
	}
	return nil
}

// quarantined is the answer to a request that crashed several targets. Callers
// that know only statuses are told "not run" by 503.
func quarantined(protocol *Protocol) *refusal {
	status := http.StatusUnprocessableEntity
	if protocol.checked() {
		status = http.StatusServiceUnavailable
	}
	refused := notRun(status, fault.New(fault.Invalid, "the request crashed several targets and is quarantined"))
	refused.noRetry, refused.quarantined = true, true
	return refused
}

// idBytes is the size of a request id, which is written in hexadecimal.
const idBytes = 8

// newID makes a request id.
func (o *Outbound) newID() string {
	o.choosing.Lock()
	defer o.choosing.Unlock()
	var id [idBytes]byte
	binary.BigEndian.PutUint64(id[:], o.config.Random.Uint64())
	return hex.EncodeToString(id[:])
}

func (x *exchange) refuse(refused *refusal) {
	if x.in.id != "" {
		setOne(x.w.Header(), x.o.config.Protocol.RequestID, x.in.id)
	}
	x.finished(refused.outcome)
	recordRefusal(x.o.config.Observer, refused, x.in.id, x.inputs)
	x.early.beforeRefusal(x.source, refused.status)
	refused.write(x.w, x.in.id)
}

func (x *exchange) finished(outcome Outcome) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.o.config.Metrics.finished(outboundSide, route, outcome, x.version)
}
