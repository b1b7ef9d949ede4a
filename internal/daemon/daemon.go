// Package daemon runs one daemon: the event loop of the core node, timers, calls
// to the platform, links to other daemons, proxies and the administration API.
package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/magnoliamount/magnoliamount/internal/core"
	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/move"
	"github.com/magnoliamount/magnoliamount/internal/once"
	"github.com/magnoliamount/magnoliamount/internal/peer"
	"github.com/magnoliamount/magnoliamount/internal/platform"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/settings"
	"github.com/magnoliamount/magnoliamount/internal/timeline"
)

// timelineCapacity is the maximum number of events in a daemon's time line.
const timelineCapacity = 4096

// memoryLimitBytes is the soft memory limit of the Go runtime. The garbage
// collector runs more often near it, so that the daemon stays below the memory
// budget of 128 MB for control. Without the limit, proxy.GCPercent would let the
// heap of a busy daemon grow to five times its live size.
const memoryLimitBytes = 100 << 20

// Daemon is a running daemon. It implements admin.Backend and proxy.Observer.
type Daemon struct {
	settings  *settings.Settings
	logger    *log.Logger
	registry  *prometheus.Registry
	events    *timeline.Recorder
	store     *platform.Store
	collector *move.Collector
	loop      *loop
	transport *peer.Yamux
	outbound  *proxy.Outbound
	inbound   *proxy.Inbound
	targets   *proxy.Registry
	claims    *once.Batcher
	servers   servers
	// stopDeadline tells the proxies when the daemon ends.
	stopDeadline *proxy.StopDeadline
	// requestEventLimiter limits the rate of events about individual requests.
	requestEventLimiter eventRateLimiter
	// targetGeneration counts the changes of the target, so that a delayed change
	// is dropped if a newer one has been made.
	targetGeneration atomic.Uint64
	stopping         atomic.Bool
}

// Run starts a daemon and runs it until ctx ends or a listener fails. It then
// performs the planned stop and returns. It fails with fault.Invalid if the
// daemon cannot start.
func Run(ctx context.Context, s *settings.Settings, logger *log.Logger) error {
	d, err := newDaemon(s, logger)
	if err != nil {
		return err
	}
	debug.SetGCPercent(proxy.GCPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	if err := d.start(); err != nil {
		d.releaseResources()
		return err
	}
	failures := d.serve()
	d.appendEvent(timeline.Event{Kind: timeline.DaemonStarted})
	select {
	case <-ctx.Done():
	case err = <-failures:
		d.logger.Error().Err(err).Msg("a listener failed")
	}
	return d.stop(err)
}

// OpenPlatform returns a client of the platform in the settings. It does not open
// a connection. It fails with fault.Invalid if a setting is missing.
func OpenPlatform(s *settings.Settings) (*platform.Store, error) {
	return platform.NewAWS(platform.AWSConfig{
		Region: s.Platform.Region, TableEndpoint: s.Platform.TableEndpoint, Table: s.Platform.Table,
		ObjectsEndpoint: s.Platform.ObjectEndpoint, Bucket: s.Platform.Bucket,
		AccessKey: s.Platform.AccessKey, SecretKey: s.Platform.SecretKey, Timeout: s.Platform.Timeout,
	})
}

func newDaemon(s *settings.Settings, logger *log.Logger) (*Daemon, error) {
	store, err := OpenPlatform(s)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:     s,
		logger:       logger,
		registry:     prometheus.NewRegistry(),
		events:       timeline.New(s.VM.Name, timelineCapacity, time.Now),
		store:        store,
		collector:    move.NewCollector(),
		stopDeadline: proxy.NewStopDeadline(),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.claims = once.New(once.Config{Table: store.Table, Holder: s.VM.Name, WritesPerSecond: s.Limits.ClaimsPerSecond})
	d.newProxies()
	return d, nil
}

func (d *Daemon) newProxies() {
	metrics := proxy.NewMetrics(d.registry)
	clock := lamportClock{d.events}
	d.outbound = proxy.NewOutbound(proxy.OutboundConfig{
		Domain: d.settings.VM.FailureDomain, Random: newRandom(), Observer: d, Clock: clock, Metrics: metrics,
		RetryPercent: d.settings.Limits.RetryPercent, StopDeadline: d.stopDeadline,
	})
	d.outbound.SetReady(fault.New(fault.NotReady, "the daemon has no configuration yet"))
	d.inbound = proxy.NewInbound(proxy.InboundConfig{
		Claimer: d.claims, Observer: d, Clock: clock, Metrics: metrics, DrainNotice: d.settings.Timeouts.DrainNotice,
		StopDeadline: d.stopDeadline,
	})
	d.targets = proxy.NewRegistry(proxy.RegistryConfig{LocalAddresses: ownAddresses(d.settings), OnChange: d.targetChanged})
}

// start opens the links and the listeners.
func (d *Daemon) start() error {
	d.loop = newLoop(d)
	var files *peer.TLSFiles
	if d.settings.Peers.TLSCertificate != "" {
		files = &peer.TLSFiles{Certificate: d.settings.Peers.TLSCertificate, Key: d.settings.Peers.TLSKey, CA: d.settings.Peers.TLSCA}
	}
	transport, err := peer.New(peer.Config{
		Listen: d.settings.Listen.Peer, Handler: d.loop, TLS: files, Registerer: d.registry,
		BulkBytesPerSecond: int(d.settings.Limits.BulkBytesPerSecond),
	})
	if err != nil {
		return err
	}
	d.transport = transport
	d.loop.transport = transport
	return d.servers.listen(d)
}

// serve starts the goroutines of the daemon. The returned channel receives the
// errors of listeners.
func (d *Daemon) serve() <-chan error {
	ctx := d.loop.ctx
	go d.loop.run()
	go d.targets.Run(ctx)
	go d.postSamples(ctx)
	if d.settings.Limits.Processors == settings.AdaptiveProcessors {
		go newProcessorScaler().adapt(ctx)
	}
	return d.servers.serve()
}

// releaseResources closes the transport and the listeners after a failed start.
func (d *Daemon) releaseResources() {
	d.loop.cancel()
	if d.transport != nil {
		_ = d.transport.Close()
	}
	d.servers.close()
}

// postSamples posts the samples collected from the proxies to the node every
// move.SampleInterval, until ctx ends.
func (d *Daemon) postSamples(ctx context.Context) {
	ticker := time.NewTicker(move.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.loop.post(core.SamplesTaken{Samples: d.collector.Drain()})
		case <-ctx.Done():
			return
		}
	}
}

// Observe adds a finished request of the proxies to the current sample.
func (d *Daemon) Observe(o move.Observation) { d.collector.Observe(o) }

// RecordCrash reports to the node that a request with this fingerprint crashed
// the target.
func (d *Daemon) RecordCrash(fingerprint uint64) {
	d.loop.post(core.CrashReported{Fingerprint: fingerprint})
}

// Record adds an event about a request to the time line. Refusals come in bursts,
// so events above maxRequestEventsPerSecond are dropped.
func (d *Daemon) Record(e timeline.Event) {
	if d.requestEventLimiter.allow(time.Now()) {
		d.appendEvent(e)
	}
}

// targetChanged passes a change of the target's state to the time line, the
// inbound proxy and the node.
func (d *Daemon) targetChanged(target member.Target, state member.State) {
	kinds := map[member.State]timeline.Kind{
		member.Ready: timeline.TargetAnnounced, member.Draining: timeline.TargetDraining, member.Gone: timeline.TargetGone,
	}
	d.appendEvent(timeline.Event{Kind: kinds[state], Detail: target.Service + " " + target.Version + " " + target.Address})
	d.setTarget(target, state)
	d.loop.post(core.TargetChanged{Target: target, State: state})
}

// setTarget makes the inbound proxy forward requests to a ready target. It
// removes a target that is draining or gone after the drain notice, so that the
// callers' daemons have time to receive the change.
func (d *Daemon) setTarget(target member.Target, state member.State) {
	generation := d.targetGeneration.Add(1)
	if state == member.Ready {
		d.inbound.SetTarget(target)
		return
	}
	time.AfterFunc(d.settings.Timeouts.DrainNotice, func() {
		if d.targetGeneration.Load() == generation {
			d.inbound.SetTarget(member.Target{})
		}
	})
}

// appendEvent adds an event to the time line and writes it to the log.
func (d *Daemon) appendEvent(e timeline.Event) {
	stamped := d.events.Append(e)
	entry := d.logger.Info().Str("event", string(stamped.Kind)).Uint64("clock", stamped.Clock)
	if stamped.Ticket != 0 {
		entry = entry.Uint64("ticket", stamped.Ticket)
	}
	if stamped.Revision != 0 {
		entry = entry.Uint64("revision", stamped.Revision)
	}
	if stamped.Epoch != 0 {
		entry = entry.Uint64("epoch", stamped.Epoch)
	}
	if stamped.Request != "" {
		entry = entry.Str("request", stamped.Request)
	}
	entry.Msg(stamped.Detail)
}

// lamportClock gives the proxies access to the Lamport clock of the time line.
type lamportClock struct{ events *timeline.Recorder }

// Tick returns the clock value to send with a message.
func (c lamportClock) Tick() uint64 { return c.events.Clock() }

// Witness advances the clock to at least that of a received message.
func (c lamportClock) Witness(remote uint64) { c.events.Witness(remote) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// ownAddresses returns the IP addresses that the daemon advertises or listens on
// for callers. Its target may announce itself from these addresses.
func ownAddresses(s *settings.Settings) []netip.Addr {
	var own []netip.Addr
	for _, address := range []string{s.Advertise.Caller, s.Advertise.Inbound, s.Listen.Caller} {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			own = append(own, parsed.Addr())
		}
	}
	return own
}

func newServer(handler http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
