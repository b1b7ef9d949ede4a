package ticketfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/magnoliamount/magnoliamount/internal/fault"
	"github.com/magnoliamount/magnoliamount/internal/model"
)

// maxDepth limits the nesting of a file, in levels. A ticket needs four levels.
const maxDepth = 8

// node is one JSON value with its path. The field value holds a string, a
// json.Number, a bool or nil; objects and arrays use the other fields.
type node struct {
	path   string
	value  any
	object bool
	array  bool
	// fields holds the members of an object, in the order of the file.
	fields []field
	// items holds the elements of an array.
	items []*node
}

// field is one member of a JSON object.
type field struct {
	name string
	node *node
}

// parse returns the root value of the file. It adds a finding for each
// duplicate key, which encoding/json would accept.
func (d *decoder) parse(data []byte) (*node, error) {
	if len(data) > model.MaxTicketBytes {
		return nil, invalid(fmt.Sprintf("$: the file has %d bytes; at most %d are allowed", len(data), model.MaxTicketBytes))
	}
	if !utf8.Valid(data) {
		return nil, invalid("$: the file is not valid UTF-8")
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, invalid("$: " + describeSyntaxError(data, err))
	}
	reader := json.NewDecoder(bytes.NewReader(data))
	reader.UseNumber()
	root, err := d.parseValue(reader, "$", 0)
	if err != nil {
		return nil, err
	}
	return root, nil
}

// invalid returns the fault.Invalid error with the findings.
func invalid(findings ...string) error {
	message := fmt.Sprintf("the ticket file has %d faults: %s", len(findings), strings.Join(findings, "; "))
	return fault.WithDetails(fault.Invalid, message, findings)
}

// describeSyntaxError returns the text of the error, with the line number if it
// is a syntax error.
func describeSyntaxError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	before := data[:min(int(syntax.Offset), len(data))]
	line := bytes.Count(before, []byte{'\n'}) + 1
	return fmt.Sprintf("line %d: %v", line, err)
}

func (d *decoder) parseValue(reader *json.Decoder, path string, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, invalid(fmt.Sprintf("%s: nested deeper than %d levels", path, maxDepth))
	}
	token, err := reader.Token()
	if err != nil {
		return nil, invalid(fmt.Sprintf("%s: %v", path, err))
	}
	n := &node{path: path}
	switch token {
	case json.Delim('{'):
		n.object = true
		return n, d.parseObject(reader, n, depth)
	case json.Delim('['):
		n.array = true
		return n, d.parseArray(reader, n, depth)
	}
	n.value = token
	return n, nil
}

func (d *decoder) parseObject(reader *json.Decoder, n *node, depth int) error {
	seen := map[string]bool{}
	for reader.More() {
		token, err := reader.Token()
		if err != nil {
			return invalid(fmt.Sprintf("%s: %v", n.path, err))
		}
		name, _ := token.(string)
		path := childPath(n.path, name)
		child, err := d.parseValue(reader, path, depth+1)
		if err != nil {
			return err
		}
		if seen[name] {
			d.addFinding(path, "the key is given twice")
		}
		seen[name] = true
		n.fields = append(n.fields, field{name, child})
	}
	return readClosingDelimiter(reader, n.path)
}

func (d *decoder) parseArray(reader *json.Decoder, n *node, depth int) error {
	for reader.More() {
		child, err := d.parseValue(reader, fmt.Sprintf("%s[%d]", n.path, len(n.items)), depth+1)
		if err != nil {
			return err
		}
		n.items = append(n.items, child)
	}
	return readClosingDelimiter(reader, n.path)
}

// readClosingDelimiter reads the end of the object or array at path.
func readClosingDelimiter(reader *json.Decoder, path string) error {
	if _, err := reader.Token(); err != nil {
		return invalid(fmt.Sprintf("%s: %v", path, err))
	}
	return nil
}

// childPath returns the path of an object's member. It quotes a name that could
// be mistaken for a part of the path.
func childPath(path, name string) string {
	for _, r := range name {
		if r != '_' && r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return fmt.Sprintf("%s[%q]", path, name)
		}
	}
	return path + "." + name
}
