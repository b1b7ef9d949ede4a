package sidecar

import (
	"time"

	"github.com/magnoliamount/magnoliamount/internal/mesh"
	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// enterEra records that the rows of the mesh table are known up to the version. It
// reports whether the store was restored from a backup since the rows were loaded
// before, so that the row of the target may have to be written again. It runs in
// the event loop.
func (d *Daemon) enterEra(now time.Time, version uint64) bool {
	era, known := rows.Era(version), d.node.Era()
	if era <= known {
		return false
	}
	d.node.SetEra(now, era)
	d.targetRow.enterEra(era)
	if d.tables.mesh.completeVersion == 0 {
		return false
	}
	d.logger.Warn().Str("event", "store-restored").Uint64("from", known).Uint64("to", era).Uint64("version", version).Msg("the store was restored from a backup; lost rows are written again")
	return true
}

// enterEra marks the row as missing in the store unless it was observed or written
// in the era.
func (w *targetRowWriter) enterEra(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if rows.Era(w.storedVersion) < era {
		w.storedVersion, w.stored = rows.Version(era, 0), nil
	}
}

// keepNewestConfiguration puts the configuration in force in place of an older one
// that a restore of the store brought back, so that other daemons are served the
// newest one. It runs in the event loop.
func (d *Daemon) keepNewestConfiguration(row rows.Row, c *mesh.Configuration) {
	if c.Version < d.node.Configuration().Version && d.configurationRow.Value != nil {
		row.Value = d.configurationRow.Value
		d.tables.operators.replace(row)
	}
}
