package sidecar

import (
	"github.com/magnoliamount/magnoliamount/internal/model"
	"github.com/magnoliamount/magnoliamount/internal/proxy"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

// publish applies a changed state of the node to the proxies. It runs in the
// event loop.
func (d *Daemon) publish() {
	// The limits are in force before requests are accepted.
	d.setColdLimits()
	d.publishEvacuation()
	if !d.node.RoutingChanged() {
		return
	}
	d.daemonCount.Store(int64(d.node.Daemons()))
	relay := d.node.Relay()
	d.relay.Store(&relay)
	config := d.node.Routing()
	if config == nil {
		return
	}
	if d.quotas != nil && d.meshLoaded {
		daemons, revision := d.node.ReadyDaemons()
		d.quotas.update(config.Tenants, daemons, revision, d.daemonsUnchanged())
	}
	d.outbound.Update(config)
	d.reportSharedKeys(config.State.Revision)
	crashes := d.node.CrashCounts()
	d.outbound.SetCrashCounts(crashes)
	d.inbound.SetCrashCounts(crashes)
	d.serverCallDetector.SetVMShares(d.node.DaemonShares())
	d.setRetryLimits()
	d.inbound.SetLongResponseRoutes(longResponseRoutes(config.State))
	order, newVersion := d.node.OpenMove(d.config.Service)
	d.inbound.SetMove(proxy.TargetMove{Ticket: order, New: newVersion == d.target.current.Version})
	if d.meshLoaded && !d.ready.Swap(true) {
		d.outbound.SetReady(nil)
		d.logger.Info().Str("event", "ready").Uint64("config", config.State.Revision).Int("endpoints", len(config.Endpoints)).Msg("daemon is ready for requests")
	}
}

// longResponseRoutes returns the names of the routes with large responses, or nil.
func longResponseRoutes(state *model.State) map[string]bool {
	var names map[string]bool
	for name, route := range state.Routes {
		if route.LongResponses {
			if names == nil {
				names = map[string]bool{}
			}
			names[name] = true
		}
	}
	return names
}

// setRetryLimits gives this daemon its part of the retry budget. Half of the
// budget is left unused, for windows that overlap two of a daemon's own windows
// and for the calls that a retried request makes.
func (d *Daemon) setRetryLimits() {
	r := d.config.Retries
	d.outbound.SetRetryLimits(routing.BudgetLimits{
		Percent:    int(r.Ratio * usedBudgetFraction * 100),
		MinRetries: r.Slack * usedBudgetFraction / float64(d.node.Daemons()),
		Window:     r.Window,
	})
}

// usedBudgetFraction is the fraction of the retry budget that the daemons use.
const usedBudgetFraction = 0.5
