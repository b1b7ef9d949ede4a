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
	"github.com/magnoliamount/magnoliamount/internal/tenant"
)

// Outbound receives requests from callers and sends them to the daemons on the
// targets' VMs. It responds "not run" until Update and SetReady(nil) are
// called.
type Outbound struct {
	config  OutboundConfig
	targets *routing.Targets
	strikes *routing.Strikes
	// arrivals tells when the request of a returning caller first arrived.
	arrivals *routing.Arrivals
	// costs expects the work of requests where targets tell their pace.
	costs   *routing.CallerCosts
	current atomic.Pointer[snapshot]
	// stats maps each route's name to its *routeStats.
	stats sync.Map
	// notReadyReason is the reason why requests are refused, or nil.
	notReadyReason atomic.Pointer[error]

	// budgetLimits are the limits of every service's retry budget.
	budgetLimits atomic.Pointer[routing.BudgetLimits]

	// chooserMu guards config.Random and chooser.
	chooserMu sync.Mutex
	chooser   *routing.Chooser

	// updateMu serialises Update and SetRetryLimits.
	updateMu sync.Mutex
}

// snapshot is the part of the configuration that a request uses.
type snapshot struct {
	table   *routing.Table
	links   map[routing.TargetKey]*link
	budgets map[string]*routing.Budget
	// tenants is nil where requests need no API keys. configuredTenants is the list that
	// it was built from.
	tenants           *tenant.Directory
	configuredTenants []model.Tenant
}

// NewOutbound returns an HTTP handler for callers' requests.
func NewOutbound(config OutboundConfig) *Outbound {
	config.Now = nowOrDefault(config.Now)
	config.Clock = clockOrDefault(config.Clock)
	config.Protocol = protocolOrDefault(config.Protocol)
	if config.RetryPercent == 0 {
		config.RetryPercent = routing.DefaultRetryPercent
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(0, 0))
	}
	o := &Outbound{
		config:   config,
		targets:  routing.NewTargets(),
		strikes:  routing.NewStrikes(),
		arrivals: routing.NewArrivals(),
		costs:    routing.NewCallerCosts(),
		chooser:  routing.NewChooser(config.Domain, config.VM, config.Random),
	}
	budgetLimits := routing.DefaultBudgetLimits(config.RetryPercent)
	o.budgetLimits.Store(&budgetLimits)
	o.SetReady(fault.New(fault.NotReady, "the daemon has no configuration yet"))
	o.Update(&routing.Config{State: model.NewState()})
	return o
}

// Update replaces the configuration. Requests in progress keep the
// configuration that they started with.
func (o *Outbound) Update(config *routing.Config) {
	o.updateMu.Lock()
	defer o.updateMu.Unlock()
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
	next.setTenants(config.Tenants, old)
	for name := range config.State.Services {
		if old != nil && old.budgets[name] != nil {
			next.budgets[name] = old.budgets[name]
			continue
		}
		next.budgets[name] = routing.NewBudget(*o.budgetLimits.Load())
	}
	o.current.Store(next)
	if old != nil {
		closeUnused(old, next)
	}
}

// SetRetryLimits replaces the limits of every service's retry budget.
func (o *Outbound) SetRetryLimits(budgetLimits routing.BudgetLimits) {
	o.updateMu.Lock()
	defer o.updateMu.Unlock()
	o.budgetLimits.Store(&budgetLimits)
	for _, budget := range o.current.Load().budgets {
		budget.SetLimits(budgetLimits)
	}
}

// linkTo returns the old link to the endpoint's daemon if its connection limit
// is unchanged, or else a new one. old may be nil.
func (o *Outbound) linkTo(old *snapshot, e *member.Endpoint) *link {
	if old != nil {
		l := old.links[routing.KeyOf(e)]
		if l != nil && l.connections == e.Target.Connections {
			return l
		}
	}
	return newLink(e.InboundAddress, linkOptions{connections: e.Target.Connections, maxBufferedBytes: o.config.BufferBytes, load: o.config.Link})
}

func closeUnused(old, next *snapshot) {
	for key, l := range old.links {
		if next.links[key] != l {
			l.close()
		}
	}
}

// SetReady makes the proxy refuse requests for the given reason, or serve them
// if the reason is nil.
func (o *Outbound) SetReady(reason error) {
	if reason == nil {
		o.notReadyReason.Store(nil)
		return
	}
	o.notReadyReason.Store(&reason)
}

// SetCrashCounts replaces the crash counts of the whole mesh, by request
// fingerprint.
func (o *Outbound) SetCrashCounts(counts map[uint64]uint32) { o.strikes.SetShared(counts) }

// ServeHTTP forwards the request to a target's daemon.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.config.Metrics.begin(outboundSide)
	defer o.config.Metrics.end(outboundSide)
	x := &exchange{o: o, w: w, r: r, started: o.config.Now(), cancel: func() {}}
	x.snapshot, x.knowledgeAge = o.knowledge()
	x.earlyResponse = earlyResponse{w: w, r: r}
	x.tried = x.triedStorage[:0]
	defer x.end()
	if refused := x.prepare(); refused != nil {
		x.refuse(refused)
		return
	}
	if x.stats != nil {
		x.runWithObjective()
		return
	}
	x.run()
}

func (x *exchange) end() {
	x.earlyResponse.end(x.source)
	x.source.release()
	x.cancel()
}

// exchange is one request at the outbound proxy and its response.
type exchange struct {
	o        *Outbound
	w        http.ResponseWriter
	r        *http.Request
	started  time.Time
	snapshot *snapshot

	in            input
	route         *routing.Route
	source        *bodySource
	earlyResponse earlyResponse
	ctx           context.Context
	cancel        context.CancelFunc
	deadline      time.Time
	tried         []*routing.Target
	// stats is set for routes with an objective. Then objective is the time
	// until which the response is useful; pastObjective reports that the
	// route's objective has already passed, so that objective is the deadline.
	stats         *routeStats
	objective     time.Time
	pastObjective bool
	// work is the expected work of a request with an objective.
	work routing.RequestWork
	// maxWait is the longest queue wait that the next attempt accepts at its
	// target.
	maxWait time.Duration
	// targetsReached counts the targets that the request may have reached.
	targetsReached int
	// inDoubt is true once an attempt that may have run was abandoned.
	inDoubt bool
	// triedStorage is the backing array of tried.
	triedStorage [maxAttempts]*routing.Target
	fields       fieldValues
	version      string
	// tenant is the holder of the request's API key, or nil.
	tenant *tenant.Identity
	// knowledgeAge bounds the age of snapshot if it has tenants.
	knowledgeAge time.Duration
	quota        tokenHolder
}

// prepare validates the request. It returns the refusal of a request that may
// not run, or nil.
func (x *exchange) prepare() *refusal {
	if reason := x.o.notReadyReason.Load(); reason != nil {
		refused := notRun(http.StatusServiceUnavailable, fault.Wrap(*reason, fault.NotReady, "the daemon may not serve yet"))
		if x.o.config.Protocol.verifiesResponses() {
			refused.retryAfter = notReadyRetryAfter
		}
		return refused
	}
	var err error
	if x.in, err = parseInput(x.r.Header, &x.o.config.Protocol); err != nil {
		return badInput(err)
	}
	if x.in.id == "" && x.o.config.Protocol.usesDaemonHeaders() {
		x.in.id = x.o.newRequestID()
	}
	x.o.config.Clock.Witness(x.in.clock)
	if x.route = x.snapshot.table.Match(x.r.Host, x.r.URL.Path); x.route == nil {
		return notRun(http.StatusNotFound, fault.New(fault.NotFound, "no route matches host %q and path %q", x.r.Host, x.r.URL.Path))
	}
	if x.route.LeftOut {
		refused := notRun(http.StatusServiceUnavailable, fault.New(fault.Unavailable, "the route for host %q and path %q is invalid in the configuration", x.r.Host, x.r.URL.Path))
		refused.retryAfter = x.outageRetryAfter()
		return refused
	}
	if refused := x.authenticate(); refused != nil {
		return refused
	}
	if x.route.Once && !x.in.hasKey {
		_, err := onceKey(x.in, x.route.Route.Service)
		return notRun(http.StatusBadRequest, err)
	}
	if refused := x.takeToken(); refused != nil {
		return refused
	}
	if refused := x.prepareBody(); refused != nil {
		return refused
	}
	return x.renewToken()
}

// timeout returns how long the request may take from its arrival.
func (x *exchange) timeout() time.Duration {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = model.DefaultTimeout
	}
	if x.in.hasDeadline {
		timeout = min(timeout, x.in.remaining)
	}
	return timeout
}

func (x *exchange) prepareBody() *refusal {
	x.source = newBodySource(x.r, max(maxReplayBytes, x.o.config.BufferBytes))
	timeout := x.timeout()
	if timeout <= 0 {
		return notRun(http.StatusGatewayTimeout, fault.New(fault.Timeout, "the deadline has passed"))
	}
	x.deadline = time.Now().Add(timeout)
	x.setObjective()
	x.ctx, x.cancel = context.WithDeadline(x.r.Context(), x.deadline.Add(outcomeGrace))
	x.source.setReadDeadline(x.w, x.deadline.Add(outcomeGrace))
	if x.o.config.BufferBytes > 0 {
		stop := x.o.config.StopDeadline.interruptRead(x.source, x.w, x.deadline)
		err := x.source.fillTo(x.o.config.BufferBytes)
		stop()
		if refused := x.o.config.StopDeadline.refusal(x.deadline); refused != nil {
			return refused
		}
		if err != nil {
			return badBody(err)
		}
		x.source.reportLength(x.o.config.Link)
	}
	if refused := x.checkQuarantine(); refused != nil {
		return refused
	}
	return x.o.config.StopDeadline.refusal(x.deadline)
}

func (x *exchange) checkQuarantine() *refusal {
	if !x.o.strikes.Any() {
		return nil
	}
	if err := x.source.fillPrefix(); err != nil {
		return badBody(err)
	}
	if x.quarantined() {
		return quarantined(&x.o.config.Protocol)
	}
	return nil
}

// quarantined returns the refusal of a request that crashed several targets.
// Callers that interpret only the status get 503, which means "not run" to
// them.
func quarantined(protocol *Protocol) *refusal {
	status := http.StatusUnprocessableEntity
	if protocol.verifiesResponses() {
		status = http.StatusServiceUnavailable
	}
	refused := notRun(status, fault.New(fault.Invalid, "the request crashed several targets and is quarantined"))
	refused.noRetry, refused.quarantined = true, true
	return refused
}

// requestIDBytes is the size of a request id, which is written in hexadecimal.
const requestIDBytes = 8

// newRequestID returns a random request id.
func (o *Outbound) newRequestID() string {
	o.chooserMu.Lock()
	defer o.chooserMu.Unlock()
	var id [requestIDBytes]byte
	binary.BigEndian.PutUint64(id[:], o.config.Random.Uint64())
	return hex.EncodeToString(id[:])
}

func (x *exchange) refuse(refused *refusal) {
	x.returnToken()
	x.o.config.Protocol.refuseNotRun(refused)
	x.setRetryAfter(refused)
	if x.in.id != "" {
		setHeader(x.w.Header(), x.o.config.Protocol.RequestID, x.in.id)
	}
	x.countFinished(refused.outcome)
	recordRefusal(x.o.config.Observer, refused, x.in.id, x.decisionInputs)
	x.earlyResponse.beforeRefusal(x.source, refused)
	refused.write(x.w, x.in.id)
}

func (x *exchange) countFinished(outcome Outcome) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.o.config.Metrics.countFinished(outboundSide, route, outcome, x.version)
}
