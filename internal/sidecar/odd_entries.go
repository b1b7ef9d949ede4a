package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// Values of the label "result" of the counter of odd entries.
const (
	entryRestricted = "restricted"
	entryLeftOut    = "left-out"
	// entrySharedKey counts the tenants that hold a key of another tenant.
	entrySharedKey = "shared-key"
)

// newOddEntryCounter returns the counter of entries of operators' rows that are not in
// force as they were written.
func newOddEntryCounter(r prometheus.Registerer) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "magnoliamount_config_odd_entries_total", Help: "Entries of operators' rows that were restricted or left out.",
	}, []string{"result"})
	r.MustRegister(c)
	return c
}

// reportOddEntries logs and counts the entries of a configuration that was put in force.
func (d *Daemon) reportOddEntries(c *mesh.Configuration) {
	for _, odd := range c.Odd {
		result, message := entryRestricted, "entry of the configuration has invalid fields, which get the strictest meaning"
		if odd.LeftOut {
			result, message = entryLeftOut, "entry of the configuration is invalid and was left out"
		}
		d.oddEntries.WithLabelValues(result).Inc()
		d.logger.Warn().Str("event", "entry-"+result).Uint64("config", c.Version).Str("entry", odd.Entry).Strs("fields", odd.Fields).Msg(message)
	}
}

// reportSharedKeys logs and counts, once for each configuration, the tenants that hold a key
// of another tenant. Such a key belongs to none of them. It runs in the event loop.
func (d *Daemon) reportSharedKeys(version uint64) {
	if version == d.sharedKeysReported {
		return
	}
	d.sharedKeysReported = version
	if holders := d.outbound.SharedKeyHolders(); len(holders) > 0 {
		d.oddEntries.WithLabelValues(entrySharedKey).Add(float64(len(holders)))
		d.logger.Warn().Str("event", "shared-api-key").Uint64("config", version).Strs("tenants", holders).Msg("tenants hold the same API key; it is not accepted")
	}
}

// refuseRow logs and counts a row that cannot be decoded. The last valid state stays in
// force.
func (d *Daemon) refuseRow(row rows.Row, err error) {
	d.oddEntries.WithLabelValues(entryLeftOut).Inc()
	d.logger.Error().Err(err).Str("event", "row-refused").Str("row", row.Name).Uint64("version", row.Version).Msg("invalid row of an operator ignored")
}
