package sidecar

import (
	"unicode/utf8"

	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// tables holds local copies of the store's tables, from which daemons that lack
// rows are served. It belongs to the event loop.
type tables struct {
	operators table
	mesh      table
	// changed is closed and replaced when there may be updates for other daemons.
	changed chan struct{}
}

// newTables returns empty copies of both tables.
func newTables() tables {
	return tables{operators: newTable(), mesh: newTable(), changed: make(chan struct{})}
}

// notify wakes the long polls that wait for updates.
func (t *tables) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// table is the local copy of a table of the store.
type table struct {
	rows map[rows.Key]rows.Row
	// completeVersion is the version up to which no row is missing. Zero means that
	// the table was never listed.
	completeVersion uint64
	// changeCount counts the changes of the rows.
	changeCount uint64
}

// newTable returns an empty copy.
func newTable() table { return table{rows: map[rows.Key]rows.Row{}} }

// advance records that no row up to the version is missing.
func (t *table) advance(version uint64) { t.completeVersion = max(t.completeVersion, version) }

// merge stores the rows that are newer than the stored ones and returns them.
func (t *table) merge(all []rows.Row) []rows.Row {
	var newer []rows.Row
	for _, row := range all {
		if stored, ok := t.rows[row.Key]; !ok || row.Version > stored.Version {
			t.rows[row.Key] = row
			t.changeCount++
			newer = append(newer, row)
		}
	}
	return newer
}

// replace stores the row whether or not it is newer.
func (t *table) replace(row rows.Row) {
	t.rows[row.Key] = row
	t.changeCount++
}

// remove removes a row.
func (t *table) remove(key rows.Key) {
	delete(t.rows, key)
	t.changeCount++
}

// clear removes all rows.
func (t *table) clear() {
	t.rows = map[rows.Key]rows.Row{}
	t.changeCount++
}

// newestVersion returns the highest version of all rows, or zero without rows.
func (t *table) newestVersion() uint64 {
	var version uint64
	for _, row := range t.rows {
		version = max(version, row.Version)
	}
	return version
}

// newerThan reports whether a row is newer than the version, or the copy is
// complete in a later era.
func (t *table) newerThan(version uint64) bool {
	return t.newestVersion() > version || rows.Era(t.completeVersion) > rows.Era(version)
}

// rowsAfter returns the rows that are newer than the version.
func (t *table) rowsAfter(version uint64) []rows.Row {
	var newer []rows.Row
	for _, row := range t.rows {
		if row.Version > version {
			newer = append(newer, row)
		}
	}
	return newer
}

// wireRow is a row in a gossip message. Values that are valid text are sent as
// text, which compresses better than base64.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Name    string `json:"name"`
	Text    string `json:"text,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// toWireRows converts rows for a gossip message.
func toWireRows(all []rows.Row) []wireRow {
	wireRows := make([]wireRow, 0, len(all))
	for _, row := range all {
		s := wireRow{Table: row.Table, Part: row.Part, Name: row.Name, Version: row.Version}
		if utf8.Valid(row.Value) {
			s.Text = string(row.Value)
		} else {
			s.Value = row.Value
		}
		wireRows = append(wireRows, s)
	}
	return wireRows
}

// fromWireRows converts the rows of a gossip message.
func fromWireRows(wireRows []wireRow) []rows.Row {
	all := make([]rows.Row, 0, len(wireRows))
	for _, s := range wireRows {
		row := rows.Row{Key: rows.Key{Table: s.Table, Part: s.Part, Name: s.Name}, Value: s.Value, Version: s.Version}
		if s.Text != "" {
			row.Value = []byte(s.Text)
		}
		all = append(all, row)
	}
	return all
}
