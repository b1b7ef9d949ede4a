package sidecar

import (
	"context"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
)

const (
	// resumeInterval is the time between two health checks of the target that an
	// earlier start of the daemon published, and maxResumeAttempts bounds their
	// number. After that time, a running target has sent a heartbeat.
	resumeInterval    = 250 * time.Millisecond
	maxResumeAttempts = 8
)

// resumeTarget checks the health of the target that an earlier start of the
// daemon published, so that the target is ready again before its next
// heartbeat. It runs in the event loop.
func (d *Daemon) resumeTarget(ctx context.Context) {
	own := d.node.OwnTarget()
	if own == nil || own.Instance == "" {
		return
	}
	go func() {
		for range maxResumeAttempts {
			if ctx.Err() != nil || d.tryResume(*own) {
				return
			}
			time.Sleep(resumeInterval)
		}
	}()
}

// tryResume sends one health check and reports whether no further one is
// needed.
func (d *Daemon) tryResume(own mesh.TargetRecord) bool {
	path, stateKnown := "", false
	d.loop.call(func(time.Time) {
		stateKnown = d.target.state != 0
		if c := d.node.Configuration(); c != nil {
			path = c.Services[own.Service].HealthPath
		}
	})
	if stateKnown {
		return true
	}
	if path == "" {
		return false
	}
	health, err := d.config.Health.Check(d.config.TargetAddress, path)
	if err != nil {
		return false
	}
	if !health.Healthy || health.Instance != own.Instance {
		return true
	}
	d.loop.call(func(now time.Time) {
		b := Heartbeat{Instance: own.Instance, Service: own.Service, Version: own.Version, Slots: own.Slots}
		if d.target.resume(now, b) {
			if health.ColdKnown {
				d.inbound.ReportCold(health.ColdRemaining)
			}
			d.logger.Info().Str("event", "target-resumed").Str("instance", own.Instance).Msg("target of the previous daemon run is healthy")
			d.targetChanged()
		}
	})
	return true
}

// confirmationPeriod is the time after its start in which a daemon confirms the
// first heartbeat of a target with a health check. An earlier start may have
// acknowledged the target's leave notice, and heartbeats can arrive seconds
// late.
const confirmationPeriod = 10 * time.Second

// confirmationPath returns the path of the health check that must confirm the
// heartbeat, or "" when none is needed, and the current number of leave
// notices.
func (d *Daemon) confirmationPath(b Heartbeat) (path string, leaveNotices int) {
	if b.Draining || time.Since(d.started) >= confirmationPeriod {
		return "", 0
	}
	d.loop.call(func(time.Time) {
		leaveNotices = d.leaveNotices
		if d.target.state != 0 && d.target.current.Instance == b.Instance {
			return
		}
		if c := d.node.Configuration(); c != nil {
			path = c.Services[b.Service].HealthPath
		}
	})
	return path, leaveNotices
}

// confirmHeartbeat reports whether the heartbeat may be applied. It returns
// false only when the target responds to the health check and is not healthy or
// is another instance.
func (d *Daemon) confirmHeartbeat(b Heartbeat, path string) bool {
	health, err := d.config.Health.Check(d.config.TargetAddress, path)
	if err != nil || health.Healthy && health.Instance == b.Instance {
		return true
	}
	d.logger.Warn().Str("event", "heartbeat-denied").Str("instance", b.Instance).Str("answered", health.Instance).Bool("healthy", health.Healthy).
		Uint64("sequence", b.Sequence).Msg("health check contradicts the heartbeat; heartbeat ignored")
	return false
}
