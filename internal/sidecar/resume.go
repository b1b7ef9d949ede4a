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
	own := d.node.OwnTarget()
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

// doubtFor is how long after its start a daemon asks a target that it has not
// heard of for its health, before it believes a heartbeat. An earlier start may
// have acknowledged that the target leaves; heartbeats come seconds late.
const doubtFor = 10 * time.Second

// doubtful returns the path of the health check that a heartbeat needs, or "",
// and how many farewells have come.
func (d *Daemon) doubtful(b Heartbeat) (path string, farewells int) {
	if b.Draining || time.Since(d.started) >= doubtFor {
		return "", 0
	}
	d.loop.call(func(time.Time) {
		farewells = d.farewells
		if d.target.state != 0 && d.target.current.Instance == b.Instance {
			return
		}
		if c := d.node.Configuration(); c != nil {
			path = c.Services[b.Service].HealthPath
		}
	})
	return path, farewells
}

// confirmed reports whether the target does not deny the heartbeat.
func (d *Daemon) confirmed(b Heartbeat, path string) bool {
	instance, healthy, err := d.config.Health.Check(d.config.TargetAddress, path)
	if err != nil || healthy && instance == b.Instance {
		return true
	}
	d.logger.Warn().Str("event", "heartbeat-denied").Str("instance", b.Instance).Str("answered", instance).Bool("healthy", healthy).
		Uint64("sequence", b.Sequence).Msg("the target's health does not agree with its heartbeat")
	return false
}
