// Package daemon runs one daemon: the loop around the core's node, the timers,
// the calls to the platform, the links, the proxies and the administration API.
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

// timelineCapacity is the number of events that a daemon keeps.
const timelineCapacity = 4096

// memoryLimit makes the collector work harder before the daemon reaches the
// 128 MB that control may cost, in bytes. Without it, proxy.GCPercent would
// let the heap of a busy daemon grow to five times what is in use.
const memoryLimit = 100 << 20

// Daemon is one running daemon.
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
	// requests limits the events about single requests.
	requests eventLimit
	// targetRun counts the changes of the target, so that a late one is dropped.
	targetRun atomic.Uint64
}

// Run starts a daemon and returns after its planned stop, which the end of
// ctx begins. It fails with fault.Invalid when the daemon cannot start.
func Run(ctx context.Context, s *settings.Settings, logger *log.Logger) error {
	d, err := newDaemon(s, logger)
	if err != nil {
		return err
	}
	debug.SetGCPercent(proxy.GCPercent)
	debug.SetMemoryLimit(memoryLimit)
	if err := d.start(); err != nil {
		d.abandon()
		return err
	}
	failed := d.serve()
	d.record(timeline.Event{Kind: timeline.DaemonStarted})
	select {
	case <-ctx.Done():
	case err = <-failed:
		d.logger.Error().Err(err).Msg("a listener failed")
	}
	return d.stop(err)
}

// OpenPlatform returns the platform that the settings name. It opens no
// connection. It fails with fault.Invalid when a setting is missing.
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
		settings:  s,
		logger:    logger,
		registry:  prometheus.NewRegistry(),
		events:    timeline.New(s.VM.Name, timelineCapacity, time.Now),
		store:     store,
		collector: move.NewCollector(),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.claims = once.New(once.Config{Table: store.Table, Holder: s.VM.Name, WritesPerSecond: s.Limits.ClaimsPerSecond})
	d.newProxies()
	return d, nil
}

func (d *Daemon) newProxies() {
	metrics := proxy.NewMetrics(d.registry)
	clock := recorderClock{d.events}
	d.outbound = proxy.NewOutbound(proxy.OutboundConfig{
		Domain: d.settings.VM.FailureDomain, Random: newRandom(), Observer: d, Clock: clock, Metrics: metrics,
		RetryPercent: d.settings.Limits.RetryPercent,
	})
	d.outbound.SetReady(fault.New(fault.NotReady, "the daemon has no configuration yet"))
	d.inbound = proxy.NewInbound(proxy.InboundConfig{
		Claimer: d.claims, Observer: d, Clock: clock, Metrics: metrics, DrainNotice: d.settings.Timeouts.DrainNotice,
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

// serve starts the goroutines and returns a channel that reports the failure
// of a listener.
func (d *Daemon) serve() <-chan error {
	ctx := d.loop.ctx
	go d.loop.run()
	go d.targets.Run(ctx)
	go d.sample(ctx)
	if d.settings.Limits.Processors == settings.AdaptiveProcessors {
		go newProcessors().adapt(ctx)
	}
	return d.servers.serve()
}

// abandon releases what a failed start has opened.
func (d *Daemon) abandon() {
	d.loop.cancel()
	if d.transport != nil {
		_ = d.transport.Close()
	}
	d.servers.close()
}

// sample hands what the proxies saw to the node.
func (d *Daemon) sample(ctx context.Context) {
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

// Observe takes a finished request from the proxies.
func (d *Daemon) Observe(o move.Observation) { d.collector.Observe(o) }

// RecordCrash takes the news that a request crashed the target.
func (d *Daemon) RecordCrash(fingerprint uint64) {
	d.loop.post(core.CrashReported{Fingerprint: fingerprint})
}

// Record takes the news of a request from the proxies. Refusals come in
// bursts, so only some of them go to the time line.
func (d *Daemon) Record(e timeline.Event) {
	if d.requests.allow(time.Now()) {
		d.record(e)
	}
}

func (d *Daemon) targetChanged(target member.Target, state member.State) {
	kinds := map[member.State]timeline.Kind{
		member.Ready: timeline.TargetAnnounced, member.Draining: timeline.TargetDraining, member.Gone: timeline.TargetGone,
	}
	d.record(timeline.Event{Kind: kinds[state], Detail: target.Service + " " + target.Version + " " + target.Address})
	d.setTarget(target, state)
	d.loop.post(core.TargetChanged{Target: target, State: state})
}

// setTarget lets the inbound proxy serve the target. A target that drains is
// left out once the news of it has had time to reach the callers' daemons.
func (d *Daemon) setTarget(target member.Target, state member.State) {
	run := d.targetRun.Add(1)
	if state == member.Ready {
		d.inbound.SetTarget(target)
		return
	}
	time.AfterFunc(d.settings.Timeouts.DrainNotice, func() {
		if d.targetRun.Load() == run {
			d.inbound.SetTarget(member.Target{})
		}
	})
}

// record adds an event to the time line and to the log.
func (d *Daemon) record(e timeline.Event) {
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

// recorderClock shows the time line's Lamport clock to the proxies.
type recorderClock struct{ events *timeline.Recorder }

// Tick returns the clock to send with a message.
func (c recorderClock) Tick() uint64 { return c.events.Clock() }

// Witness takes note of the clock of a received message.
func (c recorderClock) Witness(remote uint64) { c.events.Witness(remote) }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// ownAddresses returns the IPs that the daemon advertises, from which its
// target may announce itself.
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
