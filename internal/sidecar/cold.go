package sidecar

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/member"
	"github.com/magnoliamount/magnoliamount/internal/routing"
)

const (
	// coldCheckInterval is the time between two health checks of a target that may be
	// cold, and maxColdChecks bounds their number. After that time, a running target has
	// sent a heartbeat.
	coldCheckInterval = 250 * time.Millisecond
	maxColdChecks     = 16
)

// coldLimitsEnabled reports whether the settings enable the limits of requests to
// cold targets.
func (d *Daemon) coldLimitsEnabled() bool { return d.config.Cold.Overshoot > 0 }

// coldPerSecond returns the limit of the target's service, or zero. It runs in the
// event loop.
func (d *Daemon) coldPerSecond() float64 {
	c := d.node.Configuration()
	if c == nil {
		return 0
	}
	return c.Services[d.config.Service].ColdPerSecond
}

// setColdLimits applies the limits of the configuration to the inbound proxy. It
// runs in the event loop.
func (d *Daemon) setColdLimits() {
	perSecond := d.coldPerSecond()
	limits := routing.ColdLimits{}
	if perSecond > 0 {
		limits = routing.ColdLimits{PerSecond: perSecond, Max: perSecond*d.config.Cold.Overshoot + d.config.Cold.Slack}
	}
	if limits == d.coldLimits {
		return
	}
	d.coldLimits = limits
	d.inbound.SetColdLimits(limits)
	d.logger.Info().Str("event", "cold-limits").Float64("per_s", limits.PerSecond).Float64("max", limits.Max).Msg("limits of requests to a cold target changed")
	if !d.inbound.ColdKnown() {
		d.startColdChecks(nil)
	}
}

// reportCold applies what an accepted heartbeat says about the target. The heartbeat
// may have been sent before the target was lost, so the first one of a run or a
// recovery is not taken as proof that the target is warm. It runs in the event loop.
func (d *Daemon) reportCold(b Heartbeat, firstOfRun bool) {
	switch {
	case firstOfRun && b.ColdRemaining == 0:
		d.inbound.ForgetCold()
		d.startColdChecks(nil)
	default:
		d.inbound.ReportCold(b.ColdRemaining)
	}
}

// askColdState asks the target for its health, since it may have become cold.
func (d *Daemon) askColdState() {
	d.loop.post(func(time.Time) { d.startColdChecks(nil) })
}

// startColdChecks asks the target for its health until it is known whether the
// target is cold. Then, or when no check succeeds, it calls done, which may be nil,
// in the event loop. It sends no check without a ready target, or where cold targets
// have no limit. It runs in the event loop.
func (d *Daemon) startColdChecks(done func()) {
	path := ""
	if d.coldPerSecond() > 0 && d.target.state == member.Ready {
		path = d.node.Configuration().Services[d.config.Service].HealthPath
	}
	if path == "" || d.askingCold && done == nil {
		if done != nil {
			done()
		}
		return
	}
	d.askingCold = true
	go func() {
		for range maxColdChecks {
			if d.checkCold(path) || d.backgroundEnded() {
				break
			}
			time.Sleep(coldCheckInterval)
		}
		d.loop.post(func(time.Time) {
			d.askingCold = false
			if done != nil {
				done()
			}
		})
	}()
}

// checkCold sends one health check and reports whether no further one is needed.
func (d *Daemon) checkCold(path string) bool {
	health, err := d.config.Health.Check(d.config.TargetAddress, path)
	known := false
	d.loop.call(func(time.Time) {
		t := d.target
		if t.state != member.Ready {
			// The heartbeat that makes the target ready starts new checks.
			known = true
			return
		}
		if err != nil || health.Instance != t.current.Instance {
			known = d.inbound.ColdKnown()
			return
		}
		// A target that does not say it in health answers says it in its next heartbeat.
		known = true
		if health.ColdKnown {
			d.inbound.ReportCold(health.ColdRemaining)
			if health.ColdRemaining > 0 {
				d.logger.Info().Str("event", "target-cold").Str("instance", health.Instance).Dur("remaining", health.ColdRemaining).Msg("target is cold; requests to it are limited")
			}
		}
	})
	return known
}

// backgroundEnded reports whether the daemon has ended.
func (d *Daemon) backgroundEnded() bool {
	select {
	case <-d.loop.done:
		return true
	default:
		return false
	}
}
