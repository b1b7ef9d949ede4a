package sidecar

import (
	"unicode/utf8"

	"github.com/magnoliamount/magnoliamount/internal/rows"
)

// tables keeps the newest rows of the tables for daemons that lack them. It
// belongs to the loop.
type tables struct {
	operators table
	mesh      table
	// changed is closed and replaced when there may be news for other daemons.
	changed chan struct{}
}

func newTables() tables {
	return tables{operators: newTable(), mesh: newTable(), changed: make(chan struct{})}
}

func (t *tables) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// table is a copy of a table of the store.
type table struct {
	rows map[rows.Key]rows.Row
	// complete is the version up to which no row is missing; zero means that
	// the table was not listed.
	complete uint64
	// changes counts the changes of the rows.
	changes uint64
}

func newTable() table { return table{rows: map[rows.Key]rows.Row{}} }

// reach notes that no row up to the version is missing.
func (t *table) reach(version uint64) { t.complete = max(t.complete, version) }

// merge takes over the rows that are newer and returns them.
func (t *table) merge(all []rows.Row) []rows.Row {
	var fresh []rows.Row
	for _, row := range all {
		if have, ok := t.rows[row.Key]; !ok || row.Version > have.Version {
			t.rows[row.Key] = row
			t.changes++
			fresh = append(fresh, row)
		}
	}
	return fresh
}

// remove forgets a row.
func (t *table) remove(key rows.Key) {
	delete(t.rows, key)
	t.changes++
}

// clear forgets all rows.
func (t *table) clear() {
	t.rows = map[rows.Key]rows.Row{}
	t.changes++
}

func (t *table) newest() uint64 {
	var version uint64
	for _, row := range t.rows {
		version = max(version, row.Version)
	}
	return version
}

func (t *table) since(version uint64) []rows.Row {
	var found []rows.Row
	for _, row := range t.rows {
		if row.Version > version {
			found = append(found, row)
		}
	}
	return found
}

// sentRow is a row in a message. Most values are text, which compresses
// better than its base64 form.
type sentRow struct {
	Table   string `json:"table"`
	Part    string `json:"part,omitempty"`
	Name    string `json:"name"`
	Text    string `json:"text,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

func sendRows(all []rows.Row) []sentRow {
	sent := make([]sentRow, 0, len(all))
	for _, row := range all {
		s := sentRow{Table: row.Table, Part: row.Part, Name: row.Name, Version: row.Version}
		if utf8.Valid(row.Value) {
			s.Text = string(row.Value)
		} else {
			s.Value = row.Value
		}
		sent = append(sent, s)
	}
	return sent
}

func receivedRows(sent []sentRow) []rows.Row {
	all := make([]rows.Row, 0, len(sent))
	for _, s := range sent {
		row := rows.Row{Key: rows.Key{Table: s.Table, Part: s.Part, Name: s.Name}, Value: s.Value, Version: s.Version}
		if s.Text != "" {
			row.Value = []byte(s.Text)
		}
		all = append(all, row)
	}
	return all
}
