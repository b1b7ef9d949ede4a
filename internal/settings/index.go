package settings

import (
	"fmt"
	"strings"
)

// index knows the line of each section and key, which ini.v1 does not keep.
// It also finds the lines that ini.v1 would merge or skip in silence.
type index struct {
	lines    map[place]int
	findings []string
}

// place names a key, or a section when key is empty.
type place struct {
	section string
	key     string
}

const byteOrderMark = "\ufeff"

func scan(content []byte) *index {
	x := &index{lines: map[place]int{}}
	section := "DEFAULT"
	text := strings.TrimPrefix(string(content), byteOrderMark)
	for i, line := range strings.Split(text, "\n") {
		section = x.scanLine(i+1, section, strings.TrimSpace(line))
	}
	return x
}

// scanLine notes one line and returns the section that the next line is in.
func (x *index) scanLine(number int, section, line string) string {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return section
	}
	if line[0] == '[' {
		end := strings.IndexByte(line, ']')
		if end < 0 {
			x.add(number, "section name %q has no closing bracket", line)
			return section
		}
		name := strings.TrimSpace(line[1:end])
		x.note(number, place{section: name})
		return name
	}
	name, value, ok := strings.Cut(line, "=")
	if !ok {
		x.add(number, "[%s]: %q is not of the form key = value", section, shorten(line))
		return section
	}
	name = strings.TrimSpace(name)
	x.note(number, place{section: section, key: name})
	value = strings.TrimSpace(value)
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
		x.add(number, "[%s] %s: values of several lines are not supported", section, name)
	}
	return section
}

func (x *index) note(number int, p place) {
	first, seen := x.lines[p]
	if !seen {
		x.lines[p] = number
		return
	}
	if p.key == "" {
		x.add(number, "[%s]: the section already stands at line %d", p.section, first)
		return
	}
	x.add(number, "[%s] %s: the key already stands at line %d", p.section, p.key, first)
}

func (x *index) add(number int, format string, args ...any) {
	x.findings = append(x.findings, fmt.Sprintf("line %d: ", number)+fmt.Sprintf(format, args...))
}

// line returns the line of a key, else of its section, else 0.
func (x *index) line(section, key string) int {
	if line, ok := x.lines[place{section, key}]; ok {
		return line
	}
	return x.lines[place{section: section}]
}

func (x *index) has(section, key string) bool {
	_, ok := x.lines[place{section, key}]
	return ok
}

// shorten keeps a malformed line, which may hold a secret, out of the report.
func shorten(line string) string {
	const shown = 12
	if len(line) <= shown {
		return line
	}
	return line[:shown] + "..."
}
