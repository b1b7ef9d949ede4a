package ticketfile

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/model"
)

// timeResolution is the resolution of the times and durations of a ticket.
const timeResolution = time.Millisecond

// Range of years of a finish time. Earlier times stand for "no time" in messages.
const (
	minYear = 1970
	maxYear = 9999
)

// object calls the reader of each field of an object. It adds a finding for each
// unknown field and each missing required field.
func (d *decoder) object(n *node, required []string, readers map[string]func(*node)) {
	if !n.object {
		d.addFinding(n.path, "an object is expected")
		return
	}
	seen := map[string]bool{}
	for _, f := range n.fields {
		read, known := readers[f.name]
		if !known {
			d.addFinding(f.node.path, "unknown field")
			continue
		}
		seen[f.name] = true
		read(f.node)
	}
	for _, name := range required {
		if !seen[name] {
			d.addFinding(childPath(n.path, name), "missing")
		}
	}
}

// list reads an array with at most model.MaxTicketObjects items.
func list[T any](d *decoder, n *node, read func(*node) T) []T {
	if !n.array {
		d.addFinding(n.path, "an array is expected")
		return nil
	}
	if len(n.items) > model.MaxTicketObjects {
		d.addFinding(n.path, "%d items; at most %d are allowed", len(n.items), model.MaxTicketObjects)
		return nil
	}
	var values []T
	for _, item := range n.items {
		values = append(values, read(item))
	}
	return values
}

func (d *decoder) text(n *node) string {
	text, ok := n.value.(string)
	if !ok {
		d.addFinding(n.path, "a string is expected")
	}
	return text
}

func (d *decoder) name(n *node) string {
	text, ok := n.value.(string)
	if !ok || text == "" || len(text) > model.MaxNameLength {
		d.addFinding(n.path, "a name of 1 to %d bytes is expected", model.MaxNameLength)
	}
	return text
}

func (d *decoder) pathPrefix(n *node) string {
	text, ok := n.value.(string)
	if !ok || !strings.HasPrefix(text, "/") {
		d.addFinding(n.path, "a path that starts with '/' is expected")
	}
	return text
}

func (d *decoder) boolean(n *node) bool {
	value, ok := n.value.(bool)
	if !ok {
		d.addFinding(n.path, "true or false is expected")
	}
	return value
}

func (d *decoder) oneOf(n *node, allowed ...string) string {
	text, ok := n.value.(string)
	if !ok || !slices.Contains(allowed, text) {
		d.addFinding(n.path, "one of %s is expected", strings.Join(allowed, ", "))
	}
	return text
}

func (d *decoder) positiveNumber(n *node) uint64 {
	number, ok := n.value.(json.Number)
	value, err := strconv.ParseUint(number.String(), 10, 64)
	if !ok || err != nil || value == 0 {
		d.addFinding(n.path, "a whole number of at least 1 is expected")
		return 0
	}
	return value
}

// maxSmallNumber is the largest priority, weight or number of attempts.
const maxSmallNumber = 1000

func (d *decoder) smallNumber(n *node) uint32 {
	number, ok := n.value.(json.Number)
	value, err := strconv.ParseUint(number.String(), 10, 32)
	if !ok || err != nil || value > maxSmallNumber {
		d.addFinding(n.path, "a whole number from 0 to %d is expected", maxSmallNumber)
		return 0
	}
	return uint32(value)
}

func (d *decoder) share(n *node) uint32 {
	number, ok := n.value.(json.Number)
	value, err := strconv.ParseUint(number.String(), 10, 32)
	if !ok || err != nil || value > model.TotalShare {
		d.addFinding(n.path, "a whole number from 0 to %d is expected", model.TotalShare)
		return 0
	}
	return uint32(value)
}

func (d *decoder) shares(n *node) map[string]uint32 {
	if !n.object {
		d.addFinding(n.path, "an object of versions and percentages is expected")
		return nil
	}
	shares := map[string]uint32{}
	for _, f := range n.fields {
		shares[f.name] = d.share(f.node)
	}
	return shares
}

func (d *decoder) duration(n *node) time.Duration {
	text, _ := n.value.(string)
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 || value%timeResolution != 0 {
		d.addFinding(n.path, `a positive duration with a unit, such as "5s", in whole milliseconds is expected`)
		return 0
	}
	return value
}

// finish reads an absolute finish time, or one relative to the ticket's
// acceptance. It truncates the time to timeResolution, so that the digest covers
// all of the ticket.
func (d *decoder) finish(n *node) time.Time {
	text, _ := n.value.(string)
	if duration, relative := strings.CutPrefix(text, "+"); relative {
		return d.relative(n, duration)
	}
	var value time.Time
	// UnmarshalText is stricter than time.Parse, which accepts hours of one digit.
	err := value.UnmarshalText([]byte(text))
	// Conversion to UTC can move a time out of the years that RFC 3339 can express.
	value = value.UTC()
	if err != nil || value.Year() < minYear || value.Year() > maxYear {
		d.addFinding(n.path, `a time in RFC 3339, such as "2026-12-04T10:00:00Z", or "+90s" is expected`)
		return time.Time{}
	}
	return value.Truncate(timeResolution)
}

// relative reads the duration after the '+' of a relative finish time and
// resolves it to an absolute time.
func (d *decoder) relative(n *node, text string) time.Time {
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil || duration <= 0 || duration > maxRelativeFinish || strings.HasPrefix(text, "+"):
		d.addFinding(n.path, `a relative time is '+' and a duration of at most %s, such as "+90s"`, maxRelativeFinish)
	case d.options.Accepted.IsZero():
		d.addFinding(n.path, "a relative time must be resolved before the ticket is sent")
	default:
		return d.options.Accepted.Add(duration).UTC().Truncate(timeResolution)
	}
	return time.Time{}
}
