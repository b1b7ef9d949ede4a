package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// table collects the rows of a text table.
type table struct{ rows [][]string }

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// print writes value as JSON with --output json, otherwise the table that fill
// builds.
func (a *app) print(value any, fill func(*table)) error {
	if a.jsonOutput {
		encoder := json.NewEncoder(a.config.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return failureError(fault.Wrap(err, fault.Internal, "write the output"))
		}
		return nil
	}
	var t table
	fill(&t)
	writer := tabwriter.NewWriter(a.config.Stdout, 0, 0, columnGap, ' ', 0)
	for _, row := range t.rows {
		for i := range row {
			row[i] = printable(row[i])
		}
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	if err := writer.Flush(); err != nil {
		return failureError(fault.Wrap(err, fault.Internal, "write the output"))
	}
	return nil
}

// printable replaces control and formatting characters with spaces. They could
// alter the terminal, break the table or reorder its text.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.In(r, unicode.Cc, unicode.Cf) {
			return ' '
		}
		return r
	}, text)
}

// numberOrDash formats n in decimal, or as "-" when it is zero.
func numberOrDash(n uint64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

// orDash returns text, or "-" when it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatTime formats t in UTC with milliseconds, or as "-" when it is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
