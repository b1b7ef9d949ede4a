package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/freshness"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/rows"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

const (
	// memoryLimitBytes is the memory limit of the Go runtime, near which the
	// garbage collector runs more often. The VM is billed for its peak memory; a
	// lower limit increases latency during bursts.
	memoryLimitBytes = 40 << 20
	// gcPercent lets the heap grow by half of its live size between collections.
	// The live heap is a few megabytes, and processor time is cheaper here than
	// memory.
	gcPercent = 50
	// bufferBytes is the largest request or response body that is buffered whole.
	// Uploads of the users' services have up to 360 kB.
	bufferBytes = 1 << 20
	// targetDrainDelay is how long a draining target still receives requests, while
	// its new state reaches the other daemons through the store.
	targetDrainDelay = 300 * time.Millisecond
	// DefaultStopNotice is how long the daemon keeps serving after the stop
	// request, so that callers, which check readiness once a second, get two
	// negative responses.
	DefaultStopNotice = 2500 * time.Millisecond
	// leaveNotice is the end of StopNotice in which other daemons learn that they
	// should send no more requests to the target. A row reaches them within a few
	// hundred milliseconds.
	leaveNotice = time.Second
	// stopMargin is the part of the grace period that is left for the responses to the
	// requests that are still in flight and for the exit of the process.
	stopMargin = 500 * time.Millisecond
	// finalResponseTime bounds the time for these responses.
	finalResponseTime = 200 * time.Millisecond
	// lateFraction is the part of the grace period after which requests that may
	// not be finished in the rest of it are refused. The platform waits for requests
	// of the first 3 s of a grace period of 6 s.
	lateFraction = 0.5
)

// Daemon is a running daemon. Fields that belong to the event loop are accessed
// only by its tasks.
type Daemon struct {
	config     Config
	started    time.Time
	logger     *log.Logger
	registry   *prometheus.Registry
	storeCalls *storeCallCounter
	oddEntries *prometheus.CounterVec
	events     *timeline.Recorder
	collector  *move.Collector
	outbound   *proxy.Outbound
	inbound    *proxy.Inbound
	// serverCallDetector distinguishes calls of servers from requests of clients.
	serverCallDetector *routing.ServerCallDetector
	node               *mesh.Node
	// knowledge bounds the age of the operators' table as the proxies apply it.
	knowledge *freshness.Tracker
	target    *localTarget
	targetRow *targetRowWriter
	loop      loop
	servers   servers
	// quotas is nil when tenants have no quotas.
	quotas *quotas
	// requestLogs limits the rate of log lines about single requests.
	requestLogs logRateLimiter
	// holdReasons maps the service of a held move to the last logged reason.
	holdReasons map[string]string

	// tables holds the rows for daemons that do not read the store, and responses
	// caches the encoded responses to them.
	tables    tables
	responses responseCache
	// storeUnavailable is true while the watches of the store fail, and
	// lastWriteFailure is the time of the last failed write in Unix nanoseconds, or
	// zero after a write that the store has processed.
	storeUnavailable atomic.Bool
	lastWriteFailure atomic.Int64
	// link tracks the load of the VM's link. It is nil when the bandwidth is not
	// known.
	link *routing.LinkLoad
	// relay holds where this daemon gets the rows of the store from. It is nil
	// until the node first publishes it.
	relay atomic.Pointer[mesh.Relay]
	// nextReaderUnavailable is true while a reader gets no updates from the next
	// reader.
	nextReaderUnavailable atomic.Bool
	// relayedContact is when the store last responded to a reader from which the next
	// reader gets its rows, as nanoseconds since the start of the daemon.
	relayedContact atomic.Int64
	// lostTables tells whether storeUnavailable may be cleared.
	lostTables lostTables
	recovery   storeRecovery
	// probes hands calls to the store to other daemons, and substitute is one that reads
	// the store, while this daemon is a reader that the store rejects.
	probes     delegatedProbes
	substitute substituteReader
	// substituting is true while this daemon reads the store in place of its readers.
	substituting atomic.Bool
	// leaveNotices counts the leave notices of targets; it belongs to the event
	// loop.
	leaveNotices int
	// reading is true while the daemon reads the store itself.
	reading atomic.Bool
	// meshLoadedFlag mirrors meshLoaded for goroutines outside the event loop.
	meshLoadedFlag atomic.Bool
	// longPollClient sends long polls to readers, which take up to longPollTimeout.
	longPollClient *http.Client
	// daemonCount is the number of daemons in the mesh, as last published by the
	// node.
	daemonCount atomic.Int64
	senders     senderAddresses
	// backgroundContext is canceled when the daemon ends.
	backgroundContext context.Context

	// operatorsLoaded and meshLoaded are set once rows of the operators' table and
	// of the mesh table have been loaded; both belong to the event loop.
	operatorsLoaded bool
	meshLoaded      bool
	// configurationRow is the row of the configuration in force; it belongs to the
	// event loop.
	configurationRow rows.Row
	evacuation       evacuationMonitor
	// sharedKeysReported is the version of the configuration for which reportSharedKeys
	// was last called; it belongs to the event loop.
	sharedKeysReported uint64
	// askingCold is true while the target is asked for its health because it may be
	// cold; it belongs to the event loop.
	askingCold bool
	// coldLimits are the limits that apply to the inbound proxy; they belong to the event
	// loop.
	coldLimits routing.ColdLimits
	firstLists firstLists
	ready      atomic.Bool
	// stopping is true from the stop request on, so that callers leave. leaving is
	// true from leaveNotice before the listeners close on, so that other daemons send
	// no more requests.
	stopping atomic.Bool
	leaving  atomic.Bool
	// stopDeadline tells the proxies when the daemon ends.
	stopDeadline *proxy.StopDeadline
	peerClient   *http.Client
}

// Run runs a daemon until ctx ends or a listener fails, and then shuts it down
// gracefully. It fails with fault.Invalid when the daemon cannot start.
func Run(ctx context.Context, config Config) error {
	d := New(config)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.backgroundContext = background
	// The handlers need the event loop, so the servers close before it ends.
	defer d.servers.close()
	if err := d.servers.listen(d); err != nil {
		return err
	}
	d.start(background)
	d.logger.Info().Str("event", "daemon-started").Str("domain", config.Domain).Str("service", config.Service).Msg("daemon started")
	failed := d.servers.serve()
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
		d.logger.Error().Err(failure).Str("event", "listener-failed").Msg("listener failed")
	}
	d.stop()
	return failure
}

// New returns a daemon that is not started.
func New(config Config) *Daemon {
	if config.StopNotice == 0 {
		config.StopNotice = DefaultStopNotice
	}
	if config.Boottime == nil {
		config.Boottime = freshness.Boottime
	}
	d := &Daemon{
		config: config, knowledge: freshness.NewTracker(config.Boottime), started: time.Now(), logger: config.Logger, registry: prometheus.NewRegistry(),
		events:    timeline.New(config.VM, timelineCapacity, time.Now),
		collector: move.NewCollector(), target: newLocalTarget(0), loop: newLoop(),
		holdReasons: map[string]string{}, firstLists: newFirstLists(), tables: newTables(), senders: senderAddresses{port: portOf(config.Peer)}, peerClient: &http.Client{Timeout: evidenceTimeout, Transport: newPeerTransport()}, longPollClient: &http.Client{Transport: newPeerTransport()},
	}
	if config.LinkRate > 0 {
		d.link = routing.NewLinkLoad(config.LinkRate)
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.registerKnowledgeAge()
	d.node = mesh.NewNode(mesh.Self{
		VM: config.VM, Run: rand.Uint64(), Domain: config.Domain, Inbound: config.Inbound, Peer: config.Peer,
	})
	d.targetRow = newTargetRowWriter(d)
	d.storeCalls = newStoreCallCounter(d.registry)
	d.evacuation = newEvacuationMonitor(d.registry)
	d.oddEntries = newOddEntryCounter(d.registry)
	d.serverCallDetector = routing.NewServerCallDetector()
	d.stopDeadline = proxy.NewStopDeadline()
	metrics := proxy.NewMetrics(d.registry)
	d.outbound = proxy.NewOutbound(proxy.OutboundConfig{
		Quotas: d.newQuotas(),
		Domain: config.Domain, VM: config.VM, Link: d.link, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Observer: d, Metrics: metrics,
		Protocol: config.Protocol, CallerService: config.Service, BufferBytes: bufferBytes,
		ObservedAtTargets: true, StopDeadline: d.stopDeadline, KnowledgeAge: d.KnowledgeAge, MaxKnowledgeAge: config.maxKnowledgeAge(),
	})
	d.inbound = proxy.NewInbound(proxy.InboundConfig{
		Observer: d, Metrics: metrics, Protocol: config.Protocol, BufferBytes: bufferBytes, OnTargetLost: d.targetLost,
		Link: d.link, ServerCalls: d.serverCallDetector, StopDeadline: d.stopDeadline, OnColdUnknown: d.askColdState,
	})
	return d
}

// maxPeerHeaderBytes bounds the header of another daemon's response. The address of a
// daemon that has gone may belong to a faulty server.
const maxPeerHeaderBytes = 64 << 10

// newPeerTransport returns the transport for requests to other daemons.
func newPeerTransport() http.RoundTripper {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxPeerHeaderBytes
	return transport
}

// portOf returns the port of the address, or "" when it has none.
func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return port
}

// timelineCapacity is the number of timeline events that the daemon keeps.
const timelineCapacity = 1024

// Ready reports whether callers should send requests to the daemon.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.stopping.Load() }

// Registry returns the registry of the daemon's metrics.
func (d *Daemon) Registry() *prometheus.Registry { return d.registry }

// Observe implements proxy.Observer. It records a finished request of a service
// with an open move.
func (d *Daemon) Observe(o move.Observation) { d.collector.Observe(o) }

// RecordCrash implements proxy.Observer. It counts a crash of the target against the
// fingerprint of the request that it ran.
func (d *Daemon) RecordCrash(fingerprint uint64) {
	d.loop.post(func(time.Time) { d.node.RecordCrash(fingerprint) })
}

// Record implements proxy.Observer. It logs a request that was shed or
// quarantined, or that crashed the target, within the limit of requestLogs.
func (d *Daemon) Record(e timeline.Event) {
	if d.requestLogs.allow(time.Now()) {
		d.logger.Info().Str("event", string(e.Kind)).Str("request", e.Request).Msg(e.Detail)
	}
}

// HandleHeartbeat applies a heartbeat of the target on the VM. When it returns,
// the state of the target is in force on this daemon, except within
// confirmationPeriod after the daemon's start, when a health check may have to
// confirm the heartbeat first.
func (d *Daemon) HandleHeartbeat(b Heartbeat) {
	if path, leaveNotices := d.confirmationPath(b); path != "" {
		go func() {
			if d.confirmHeartbeat(b, path) {
				d.applyHeartbeat(b, leaveNotices)
			}
		}()
		return
	}
	d.applyHeartbeat(b, anyLeaveNotices)
}

// anyLeaveNotices makes applyHeartbeat accept a heartbeat regardless of the
// number of leave notices.
const anyLeaveNotices = -1

// applyHeartbeat applies a heartbeat. It ignores the heartbeat when the number
// of leave notices has changed since the caller read it.
func (d *Daemon) applyHeartbeat(b Heartbeat, leaveNotices int) {
	d.loop.call(func(now time.Time) {
		if leaveNotices != anyLeaveNotices && leaveNotices != d.leaveNotices {
			return
		}
		accepted, incarnation := d.target.accepted, d.target.incarnation
		changed := d.target.applyHeartbeat(now, b)
		if d.target.accepted != accepted {
			d.reportCold(b, d.target.incarnation != incarnation)
		}
		if changed {
			d.targetChanged()
		}
	})
}

// HandleLeave applies the leave notice of a run of the target. When it returns,
// the state is in force on this daemon.
func (d *Daemon) HandleLeave(instance string) {
	d.loop.call(func(time.Time) {
		d.leaveNotices++
		if d.target.markGone(instance) {
			d.targetChanged()
		}
	})
}

// targetLost handles a failed connection of the inbound proxy to the target.
func (d *Daemon) targetLost(instance string, err error) {
	d.loop.post(func(time.Time) {
		if d.target.markLost(instance) {
			d.inbound.ForgetCold()
			d.logger.Warn().Err(err).Str("event", "target-lost").Str("instance", instance).Msg("target does not respond")
			d.targetChanged()
		}
	})
}

// targetChanged applies the state of the target to the inbound proxy and
// schedules the write of its row. It runs in the event loop.
func (d *Daemon) targetChanged() {
	t := d.target
	d.logger.Info().Str("event", "target-"+t.state.String()).Str("instance", t.current.Instance).Str("service", t.current.Service).
		Str("version", t.current.Version).Uint32("slots", t.current.Slots).Uint64("sequence", t.current.Sequence).Msg("target state changed")
	switch t.state {
	case member.Ready:
		d.serveTarget()
	case member.Lost:
		d.inbound.SetTarget(member.Target{})
	default:
		incarnation := t.incarnation
		time.AfterFunc(targetDrainDelay, func() {
			d.loop.post(func(time.Time) {
				if t.incarnation == incarnation && t.state != member.Ready {
					d.inbound.SetTarget(member.Target{})
				}
			})
		})
	}
	d.targetRow.update()
}

// serveTarget lets the inbound proxy forward requests to the target. It runs in
// the event loop.
func (d *Daemon) serveTarget() {
	var connections uint32
	if c := d.node.Configuration(); c != nil {
		connections = c.Services[d.target.current.Service].Connections
	}
	d.inbound.SetTarget(d.target.target(d.config.TargetAddress, connections))
}

// stop shuts the daemon down: it reports that it is draining to callers, and later
// to other daemons, so that its target serves meanwhile. StopNotice after the
// request it closes the request listeners and waits for the requests in flight. Late
// in the grace period it refuses requests that may not be finished.
func (d *Daemon) stop() {
	d.logger.Info().Str("event", "daemon-stopping").Msg("draining before shutdown")
	d.stopping.Store(true)
	stopRequested := time.Now()
	end := stopRequested.Add(d.config.Grace - stopMargin)
	d.stopDeadline.Set(stopRequested.Add(time.Duration(lateFraction*float64(d.config.Grace))), end)
	// The requests in flight get at least as much time as the notice.
	notice := min(d.config.StopNotice, max(0, d.config.Grace-stopMargin)/2)
	lastNotice := min(notice, leaveNotice)
	time.Sleep(notice - lastNotice)
	d.leaving.Store(true)
	d.loop.call(func(time.Time) { d.targetRow.update() })
	time.Sleep(lastNotice)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := d.servers.shutdown(ctx)
	if err != nil {
		d.servers.cancelInFlight()
	}
	d.logger.Info().Str("event", "daemon-stopped").Err(err).Dur("took", time.Since(stopRequested)).Msg("daemon stopped")
}

var _ proxy.Observer = (*Daemon)(nil)

// listenError returns the error of a start whose listen address cannot be
// bound.
func listenError(err error, name, address string) error {
	return fault.Wrap(err, fault.Invalid, "cannot listen on %s for %s", address, name)
}
