package sidecar

import (
	"context"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
)

const (
	// resumeInterval is the time between two questions to a target that an
	// earlier start of the daemon knew, and resumeTries bounds them: after
	// that, a living target has sent a heartbeat.
	resumeInterval = 250 * time.Millisecond
	resumeTries    = 8
)

// resumeTarget asks the target that an earlier start of the daemon knew for
// its health, so that it serves again before its next heartbeat. It runs in
// the loop.
func (d *Daemon) resumeTarget(ctx context.Context) {
	own := d.node.Own()
	if own == nil || own.Instance == "" {
		return
	}
	go func() {
		for range resumeTries {
			if ctx.Err() != nil || d.tryResume(*own) {
				return
			}
			time.Sleep(resumeInterval)
		}
	}()
}

// tryResume reports whether there is nothing left to ask.
func (d *Daemon) tryResume(own mesh.TargetRecord) bool {
	path, heard := "", false
	d.loop.call(func(time.Time) {
		heard = d.target.state != 0
		if c := d.node.Configuration(); c != nil {
			path = c.Services[own.Service].HealthPath
		}
	})
	if heard {
		return true
	}
	if path == "" {
		return false
	}
	instance, healthy, err := d.config.Health.Check(d.config.TargetAddress, path)
	if err != nil {
		return false
	}
	if !healthy || instance != own.Instance {
		return true
	}
	d.loop.call(func(now time.Time) {
		b := Heartbeat{Instance: own.Instance, Service: own.Service, Version: own.Version, Slots: own.Slots}
		if d.target.resume(now, b) {
			d.logger.Info().Str("event", "target-resumed").Str("instance", own.Instance).Msg("the target of the daemon's last start is healthy")
			d.targetChanged()
		}
	})
	return true
}
