package settings

import (
	"fmt"
	"strings"
)

// lineIndex maps sections and keys to their line numbers, which ini.v1 does not
// keep. It also reports the lines that ini.v1 merges or skips without an error.
type lineIndex struct {
	lines    map[location]int
	findings []string
}

// location identifies a key, or a section when key is empty.
type location struct {
	section string
	key     string
}

const byteOrderMark = "\ufeff"

// indexLines returns the index of a settings file.
func indexLines(content []byte) *lineIndex {
	x := &lineIndex{lines: map[location]int{}}
	section := "DEFAULT"
	text := strings.TrimPrefix(string(content), byteOrderMark)
	for i, line := range strings.Split(text, "\n") {
		section = x.scanLine(i+1, section, strings.TrimSpace(line))
	}
	return x
}

// scanLine records one line and returns the section of the next line.
func (x *lineIndex) scanLine(number int, section, line string) string {
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
		x.record(number, location{section: name})
		return name
	}
	name, value, ok := strings.Cut(line, "=")
	if !ok {
		x.add(number, "[%s]: %q is not of the form key = value", section, shorten(line))
		return section
	}
	name = strings.TrimSpace(name)
	x.record(number, location{section: section, key: name})
	value = strings.TrimSpace(value)
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
		x.add(number, "[%s] %s: values of several lines are not supported", section, name)
	}
	return section
}

// record stores the first line of a section or key and reports a repeated one.
func (x *lineIndex) record(number int, p location) {
	first, repeated := x.lines[p]
	if !repeated {
		x.lines[p] = number
		return
	}
	if p.key == "" {
		x.add(number, "[%s]: the section already starts at line %d", p.section, first)
		return
	}
	x.add(number, "[%s] %s: the key is already set at line %d", p.section, p.key, first)
}

func (x *lineIndex) add(number int, format string, args ...any) {
	x.findings = append(x.findings, fmt.Sprintf("line %d: ", number)+fmt.Sprintf(format, args...))
}

// line returns the line of a key. If the file does not set the key, it returns
// the line of its section, or 0 if that is missing too.
func (x *lineIndex) line(section, key string) int {
	if line, ok := x.lines[location{section, key}]; ok {
		return line
	}
	return x.lines[location{section: section}]
}

func (x *lineIndex) has(section, key string) bool {
	_, ok := x.lines[location{section, key}]
	return ok
}

// shorten truncates a malformed line for a finding, since it may contain a secret.
func shorten(line string) string {
	const maxShownBytes = 12
	if len(line) <= maxShownBytes {
		return line
	}
	return line[:maxShownBytes] + "..."
}
