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
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/routing"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

const (
	// memoryLimit is where the collector starts to work harder, in bytes. VMs
	// bill memory at its peak; a lower limit costs latency in bursts.
	memoryLimit = 40 << 20
	// gcPercent lets the heap grow by half of its live part. The live part has a
	// few megabytes, and processor time is cheaper here than memory.
	gcPercent = 50
	// bufferBytes bounds the bodies and answers that are read whole. Uploads
	// of the users' services have up to 360 kB.
	bufferBytes = 1 << 20
	// drainNotice is how long a target that leaves still gets requests, while
	// the news of it reaches the other daemons through the store.
	drainNotice = 300 * time.Millisecond
	// DefaultStopNotice is how long the daemon serves on after it was told to
	// stop, until callers have seen twice, a second apart, that it is not ready.
	DefaultStopNotice = 2500 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// Daemon is one running daemon.
type Daemon struct {
	config    Config
	started   time.Time
	logger    *log.Logger
	registry  *prometheus.Registry
	calls     *calls
	events    *timeline.Recorder
	collector *move.Collector
	outbound  *proxy.Outbound
	inbound   *proxy.Inbound
	// serverCalls tells calls of servers from requests of clients.
	serverCalls *routing.ServerCallDetector
	node        *mesh.Node
	target      *localTarget
	own         *ownRow
	loop        loop
	servers     servers
	// requests limits the log lines about single requests.
	requests logLimit
	// holding holds the last logged reason of each held move.
	holding map[string]string

	// tables holds the rows for daemons without the store, and answers what was
	// encoded of them.
	tables  tables
	answers answers
	// storeLost is true while the watches of the store fail, and writeFailed
	// is when a write failed last, in nanoseconds.
	storeLost   atomic.Bool
	writeFailed atomic.Int64
	// link is the load of the VM's link, or nil when its rate is not known.
	link *routing.LinkLoad
	// relay says where the rows of the store come from, once that is known.
	relay atomic.Pointer[mesh.Relay]
	// nextLost is true while a reader learns nothing from the next reader.
	nextLost atomic.Bool
	regained regained
	// farewells counts the farewells of targets; it belongs to the loop.
	farewells int
	// reading is true while the daemon watches the store itself.
	reading atomic.Bool
	// listedOnce is listed for other goroutines than the loop.
	listedOnce atomic.Bool
	// relays asks readers for news, which may take relayWait.
	relays *http.Client
	// daemons is how many daemons the node knows.
	daemons atomic.Int64
	callers callers
	// background ends with the daemon.
	background context.Context

	// configured and listed are set once the operators' table and the
	// product's own have been read; both belong to the loop.
	configured bool
	listed     bool
	ready      atomic.Bool
	stopping   atomic.Bool
	peers      *http.Client
}

// Run starts a daemon and returns after its graceful shutdown, which the end
// of ctx begins. It fails with fault.Invalid when the daemon cannot start.
func Run(ctx context.Context, config Config) error {
	d := New(config)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	defer d.servers.close()
	if err := d.servers.listen(d); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.background = background
	d.start(background)
	d.logger.Info().Str("event", "daemon-started").Str("domain", config.Domain).Str("service", config.Service).Msg("the daemon has started")
	failed := d.servers.serve()
	select {
	case <-ctx.Done():
	case err := <-failed:
		d.logger.Error().Err(err).Msg("a listener failed")
		return err
	}
	return d.stop()
}

// New returns a daemon that does nothing yet.
func New(config Config) *Daemon {
	if config.StopNotice == 0 {
		config.StopNotice = DefaultStopNotice
	}
	d := &Daemon{
		config: config, started: time.Now(), logger: config.Logger, registry: prometheus.NewRegistry(),
		events:    timeline.New(config.VM, timelineCapacity, time.Now),
		collector: move.NewCollector(), target: newLocalTarget(0), loop: newLoop(),
		holding: map[string]string{}, tables: newTables(), callers: callers{port: portOf(config.Peer)}, peers: &http.Client{Timeout: evidenceTimeout}, relays: &http.Client{},
	}
	if config.LinkRate > 0 {
		d.link = routing.NewLinkLoad(config.LinkRate)
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.node = mesh.NewNode(mesh.Self{
		VM: config.VM, Run: rand.Uint64(), Domain: config.Domain, Inbound: config.Inbound, Peer: config.Peer,
	})
	d.own = newOwnRow(d)
	d.calls = newCalls(d.registry)
	d.serverCalls = routing.NewServerCallDetector()
	metrics := proxy.NewMetrics(d.registry)
	d.outbound = proxy.NewOutbound(proxy.OutboundConfig{
		Domain: config.Domain, VM: config.VM, Link: d.link, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Observer: d, Metrics: metrics,
		Protocol: config.Protocol, CallerService: config.Service, BufferBytes: bufferBytes,
		ObservedAtTargets: true,
	})
	d.inbound = proxy.NewInbound(proxy.InboundConfig{
		Observer: d, Metrics: metrics, Protocol: config.Protocol, BufferBytes: bufferBytes, OnTargetLost: d.targetLost,
		Link: d.link, Callers: d.serverCalls,
	})
	return d
}

func portOf(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return port
}

// timelineCapacity is the number of events that a daemon keeps.
const timelineCapacity = 1024

// Ready reports whether callers should send requests to the daemon.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.stopping.Load() }

// Registry holds the daemon's metrics.
func (d *Daemon) Registry() *prometheus.Registry { return d.registry }

// Observe takes a finished request from the proxies.
func (d *Daemon) Observe(o move.Observation) { d.collector.Observe(o) }

// Strike takes the news that a request crashed the target.
func (d *Daemon) Strike(print uint64) {
	d.loop.post(func(time.Time) { d.node.RecordCrash(print) })
}

// Record logs what became of a request that was not forwarded as usual.
func (d *Daemon) Record(e timeline.Event) {
	if d.requests.allow(time.Now()) {
		d.logger.Info().Str("event", string(e.Kind)).Str("request", e.Request).Msg(e.Detail)
	}
}

// publish puts what the node knows into force.
func (d *Daemon) publish() {
	if !d.node.RoutingChanged() {
		return
	}
	d.daemons.Store(int64(d.node.Daemons()))
	relay := d.node.Relay()
	d.relay.Store(&relay)
	config := d.node.Routing()
	if config == nil {
		return
	}
	d.outbound.Update(config)
	crashes := d.node.CrashCounts()
	d.outbound.SetStrikes(crashes)
	d.inbound.SetStrikes(crashes)
	d.serverCalls.SetVMShares(d.node.DaemonShares())
	d.limitRetries()
	order, to := d.node.OpenMove(d.config.Service)
	d.inbound.SetMove(proxy.TargetMove{Ticket: order, New: to == d.target.current.Version})
	if d.listed && !d.ready.Swap(true) {
		d.outbound.SetReady(nil)
		d.logger.Info().Str("event", "ready").Uint64("config", config.State.Revision).Int("endpoints", len(config.Endpoints)).Msg("the daemon serves requests")
	}
}

// limitRetries gives this daemon its part of the budget. Half of it is left
// for windows that lie across two of a daemon's own, and for calls that a
// repeated request makes.
func (d *Daemon) limitRetries() {
	r := d.config.Retries
	d.outbound.LimitRetries(routing.BudgetLimits{
		Percent:    int(r.Ratio * budgetPart * 100),
		MinRetries: r.Slack * budgetPart / float64(d.node.Daemons()),
		Window:     r.Window,
	})
}

// budgetPart is the part of the budget that the daemons use.
const budgetPart = 0.5

// Beat takes a heartbeat of the target on the VM. Once it returns, the
// target's state is in force on this daemon, unless the daemon is so young that
// the target is asked for its health first.
func (d *Daemon) Beat(b Heartbeat) {
	if path, farewells := d.doubtful(b); path != "" {
		go func() {
			if d.confirmed(b, path) {
				d.takeBeat(b, farewells)
			}
		}()
		return
	}
	d.takeBeat(b, anyFarewells)
}

// anyFarewells takes a heartbeat whatever farewells have come.
const anyFarewells = -1

// takeBeat takes over a heartbeat, unless a farewell came since farewells were
// counted.
func (d *Daemon) takeBeat(b Heartbeat, farewells int) {
	d.loop.call(func(now time.Time) {
		if farewells != anyFarewells && farewells != d.farewells {
			return
		}
		if d.target.beat(now, b) {
			d.targetChanged()
		}
	})
}

// Leave takes the farewell of a run of the target, as Beat does.
func (d *Daemon) Leave(instance string) {
	d.loop.call(func(time.Time) {
		d.farewells++
		if d.target.leave(instance) {
			d.targetChanged()
		}
	})
}

func (d *Daemon) targetLost(instance string, err error) {
	d.loop.post(func(time.Time) {
		if d.target.fail(instance) {
			d.logger.Warn().Err(err).Str("event", "target-lost").Str("instance", instance).Msg("the target does not answer")
			d.targetChanged()
		}
	})
}

// targetChanged puts the target's state into force here and tells the store.
func (d *Daemon) targetChanged() {
	t := d.target
	d.logger.Info().Str("event", "target-"+t.state.String()).Str("instance", t.current.Instance).Str("service", t.current.Service).
		Str("version", t.current.Version).Uint32("slots", t.current.Slots).Uint64("sequence", t.current.Sequence).Msg("the target changed")
	switch t.state {
	case member.Ready:
		d.serveTarget()
	case member.Lost:
		d.inbound.SetTarget(member.Target{})
	default:
		incarnation := t.incarnation
		time.AfterFunc(drainNotice, func() {
			d.loop.post(func(time.Time) {
				if t.incarnation == incarnation && t.state != member.Ready {
					d.inbound.SetTarget(member.Target{})
				}
			})
		})
	}
	d.own.update()
}

func (d *Daemon) serveTarget() {
	var connections uint32
	if c := d.node.Configuration(); c != nil {
		connections = c.Services[d.target.current.Service].Connections
	}
	d.inbound.SetTarget(d.target.target(d.config.TargetAddress, connections))
}

// stop drains the daemon: callers and other daemons are told first, then the
// listeners close, and requests in flight are finished.
func (d *Daemon) stop() error {
	d.logger.Info().Str("event", "daemon-stopping").Msg("the daemon drains")
	d.stopping.Store(true)
	began := time.Now()
	d.loop.call(func(time.Time) { d.own.update() })
	time.Sleep(d.config.StopNotice)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(d.config.Grace-stopMargin))
	defer cancel()
	err := d.servers.shutdown(ctx)
	d.logger.Info().Str("event", "daemon-stopped").Err(err).Dur("took", time.Since(began)).Msg("the daemon has stopped")
	return nil
}

var _ proxy.Observer = (*Daemon)(nil)

// cannotListen is the failure of a start whose address is taken.
func cannotListen(err error, name, address string) error {
	return fault.Wrap(err, fault.Invalid, "cannot listen on %s for %s", address, name)
}
