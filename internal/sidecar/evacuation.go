package sidecar

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// evacuationHold bounds how long requests are refused after the end of an evacuation
// until the target's health is known. It is a part of the 5 s in which the end must be
// in force.
const evacuationHold = time.Second

// evacuationMonitor reports the begin and the end of evacuations. It belongs to the
// event loop.
type evacuationMonitor struct {
	// reported holds the failure domains that were last reported as evacuated.
	reported []string
	// holding is true from the end of the evacuation of the own failure domain until
	// the target was asked for its health.
	holding bool
	changes *prometheus.CounterVec
	current prometheus.Gauge
}

// newEvacuationMonitor returns a monitor whose metrics are registered with r.
func newEvacuationMonitor(r prometheus.Registerer) evacuationMonitor {
	m := evacuationMonitor{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magnoliamount_evacuation_changes_total", Help: "Evacuations of failure domains that began or ended at this daemon.",
		}, []string{"change"}),
		current: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "magnoliamount_evacuated_domains", Help: "Failure domains that are evacuated.",
		}),
	}
	r.MustRegister(m.changes, m.current)
	return m
}

// evacuationsEnabled reports whether the settings enable evacuations.
func (d *Daemon) evacuationsEnabled() bool { return d.config.Evacuation > 0 }

// addEvacuation applies an evacuation row. It runs in the event loop.
func (d *Daemon) addEvacuation(row mesh.Evacuation) {
	if !d.evacuationsEnabled() {
		return
	}
	d.node.AddEvacuation(row)
	if !d.node.Evacuated(row.Domain) {
		d.dropRemovedEvacuations()
	}
}

// listEvacuations applies a complete list of the operators' table, which ends the
// evacuations whose rows it lacks. It runs in the event loop.
func (d *Daemon) listEvacuations(snapshot rows.Snapshot) {
	if !d.evacuationsEnabled() {
		return
	}
	set := mesh.Evacuations{Complete: snapshot.Version}
	for _, row := range snapshot.Rows {
		if domain := d.config.Operators.EvacuatedDomain(row.Key); domain != "" {
			set.Rows = append(set.Rows, mesh.Evacuation{Domain: domain, Version: row.Version})
		}
	}
	d.node.MergeEvacuations(&set)
	d.dropRemovedEvacuations()
}

// removeEvacuations applies the removals in consecutive changes of the operators'
// table, whose rows have already been applied. It runs in the event loop.
func (d *Daemon) removeEvacuations(changes []rows.Change) {
	if !d.evacuationsEnabled() {
		return
	}
	var version uint64
	for _, c := range changes {
		version = max(version, c.Version)
		if !c.Removed {
			continue
		}
		if domain := d.config.Operators.EvacuatedDomain(c.Key); domain != "" {
			d.node.RemoveEvacuation(domain, c.Version)
		}
	}
	d.node.AdvanceEvacuations(version)
	d.dropRemovedEvacuations()
}

// dropRemovedEvacuations removes the rows of evacuations that have ended from the
// copy of the operators' table, so that they are not sent to other daemons.
func (d *Daemon) dropRemovedEvacuations() {
	for key := range d.tables.operators.rows {
		if domain := d.config.Operators.EvacuatedDomain(key); domain != "" && !d.node.Evacuated(domain) {
			d.tables.operators.remove(key)
		}
	}
}

// knownEvacuations returns the evacuations for a message to another daemon, or nil
// while they are disabled or not known. It runs in the event loop.
func (d *Daemon) knownEvacuations() *mesh.Evacuations {
	set := d.node.Evacuations()
	if !d.evacuationsEnabled() || set.Complete == 0 && len(set.Rows) == 0 {
		return nil
	}
	return &set
}

// mergeEvacuations applies the evacuations of another daemon and reports whether the
// evacuated domains changed. It runs in the event loop.
func (d *Daemon) mergeEvacuations(g *gossipMessage) bool {
	if !d.evacuationsEnabled() || g.Evacuations == nil {
		return false
	}
	if err := g.Evacuations.Validate(); err != nil {
		d.logger.Error().Err(err).Str("event", "row-refused").Str("from", g.VM).Msg("invalid evacuations of another daemon ignored")
		return false
	}
	changed := d.node.MergeEvacuations(g.Evacuations)
	if changed {
		d.dropRemovedEvacuations()
	}
	return changed
}

// missesRemoval reports whether the sender of the message does not know that an
// evacuation has ended. It runs in the event loop.
func (d *Daemon) missesRemoval(message *gossipMessage) bool {
	return message.Evacuations != nil && d.node.MissesRemoval(message.Evacuations)
}

// publishEvacuation applies the evacuations to the inbound proxy and reports their
// changes. It runs in the event loop.
func (d *Daemon) publishEvacuation() {
	if !d.evacuationsEnabled() {
		// Without a configuration it is not known whether a cold target has a limit.
		d.inbound.SetEvacuated(d.coldLimitsEnabled() && d.node.Configuration() == nil)
		return
	}
	d.reportEvacuations()
	// Before the operators' table or another daemon's copy of it is known, the failure
	// domain may be evacuated.
	known := d.node.Evacuations().Complete > 0 && !(d.coldLimitsEnabled() && d.node.Configuration() == nil)
	d.inbound.SetEvacuated(!known || d.evacuation.holding || d.node.Evacuated(d.config.Domain))
}

// reportEvacuations reports the evacuations that have begun or ended since the last
// call.
func (d *Daemon) reportEvacuations() {
	domains := d.node.EvacuatedDomains()
	if slices.Equal(domains, d.evacuation.reported) {
		return
	}
	set := d.node.Evacuations()
	for _, row := range set.Rows {
		if !slices.Contains(d.evacuation.reported, row.Domain) {
			d.evacuation.changes.WithLabelValues("begin").Inc()
			d.logger.Warn().Str("event", "evacuation-begun").Str("domain", row.Domain).Uint64("version", row.Version).Bool("own", row.Domain == d.config.Domain).
				Msg("failure domain is evacuated; nothing is sent to its targets")
		}
	}
	for _, domain := range d.evacuation.reported {
		if !slices.Contains(domains, domain) {
			d.evacuation.changes.WithLabelValues("end").Inc()
			d.logger.Warn().Str("event", "evacuation-ended").Str("domain", domain).Uint64("version", set.Complete).Bool("own", domain == d.config.Domain).
				Msg("evacuation of the failure domain has ended")
			d.endEvacuation(domain)
		}
	}
	d.evacuation.current.Set(float64(len(domains)))
	d.evacuation.reported = domains
}

// endEvacuation takes the targets of a failure domain for cold after its evacuation,
// and asks the own target for its health before the first request. It runs in the
// event loop.
func (d *Daemon) endEvacuation(domain string) {
	d.node.EndEvacuation(time.Now(), domain)
	if domain != d.config.Domain || d.coldPerSecond() <= 0 {
		return
	}
	d.inbound.ForgetCold()
	d.evacuation.holding = true
	d.startColdChecks(func() { d.evacuation.holding = false })
	// A target that does not answer stays limited. It is not kept out of service.
	time.AfterFunc(evacuationHold, func() { d.loop.post(func(time.Time) { d.evacuation.holding = false }) })
}
