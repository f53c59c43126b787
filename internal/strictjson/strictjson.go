// Package strictjson decodes JSON with comments into plain structs and reports all faults of the
// input, each with its field path, line and column.
//
// encoding/json stops at the first fault, takes the last of duplicate names and ignores the case of
// names: a person who edits a file by hand would see one fault per run, and a duplicate name would
// silently lose a value.
//
// # Usage
//
//	doc := strictjson.Decode(data, &cfg)
//	if cfg.Zone == "" {
//		doc.Add("zone", "is missing")
//	}
//	faults := doc.Faults()
package strictjson

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// The limits of an input. An input that exceeds one of the first three is rejected without being
// parsed.
const (
	// MaxBytes is the maximum size of an input. The indented configuration of 2,000 backend servers
	// and 290 workspaces takes 0.9 MB.
	MaxBytes = 4 << 20
	// MaxSeparators is the maximum number of commas and colons; the same configuration has 50,000.
	// The parser uses some hundred bytes per value, so a few megabytes of the shortest values would
	// use gigabytes on an instance that serves streams.
	MaxSeparators = 500_000
	// MaxDepth is the maximum nesting of objects and arrays. The parser is recursive, and a few
	// megabytes of opening brackets would overflow its stack, which ends the process and cannot be
	// recovered from.
	MaxDepth = 64
	// MaxFaults is the maximum number of faults that are kept. More are not useful to a reader,
	// and each takes memory.
	MaxFaults = 1000
)

// Position is a position in the input. Line and Column count from 1, columns in bytes. The zero
// Position means that a fault has no position.
type Position struct {
	Line   int
	Column int
}

// Fault is one error in the input.
type Fault struct {
	Position
	// Path is the path of the field, as in servers[3].zone. It is empty for a fault of the input as
	// a whole.
	Path    string
	Message string
}

// String returns the path and the message, without the position.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Document holds the positions of the fields of a decoded input, and its faults.
type Document struct {
	lines     lineIndex
	positions map[string]Position
	faults    []Fault
	// faulty holds the paths of faults, dropped is the number of faults above MaxFaults.
	faulty  map[string]bool
	dropped int
	parsed  bool
}

// Decode decodes data into the struct that v points to. Fields whose value is invalid keep their
// previous value.
func Decode(data []byte, v any) *Document {
	d := &Document{lines: newLineIndex(data), positions: map[string]Position{}, faulty: map[string]bool{}}
	if len(data) > MaxBytes {
		d.AddFault("", fmt.Sprintf("is larger than %d bytes", MaxBytes))
		return d
	}
	if offset, message := checkLimits(data); message != "" {
		d.addAt(d.lines.position(offset), "", message)
		return d
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntax(err)
		return d
	}
	d.parsed = true
	d.value(root, reflect.ValueOf(v).Elem(), "")
	return d
}

// WellFormed reports whether the input could be parsed. If not, checks of the decoded values would
// only report that they are missing.
func (d *Document) WellFormed() bool { return d.parsed }

// AddFault records a fault of the field at path. Its position is that of the field or, if the input
// lacks the field, of the nearest enclosing one.
func (d *Document) AddFault(path, message string) {
	d.addAt(d.nearest(path), path, message)
}

// HasFault reports whether a fault of the field at path is recorded.
func (d *Document) HasFault(path string) bool { return d.faulty[path] }

// Faults returns the recorded faults, ordered by position. If there were more than [MaxFaults], a
// last fault reports how many were dropped.
func (d *Document) Faults() []Fault {
	sorted := slices.Clone(d.faults)
	slices.SortStableFunc(sorted, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	if d.dropped > 0 {
		sorted = append(sorted, Fault{Message: fmt.Sprintf("has %d more faults", d.dropped)})
	}
	return sorted
}

func (d *Document) addAt(at Position, path, message string) {
	if len(d.faults) == MaxFaults {
		d.dropped++
		return
	}
	d.faulty[path] = true
	d.faults = append(d.faults, Fault{Position: at, Path: path, Message: message})
}

func (d *Document) nearest(path string) Position {
	for path != "" {
		if at, ok := d.positions[path]; ok {
			return at
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return d.positions[""]
}

// addSyntax records a syntax error of the parser, whose position is part of its message.
func (d *Document) addSyntax(err error) {
	var at Position
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, scanErr := fmt.Sscanf(message, "line %d, column %d:", &at.Line, &at.Column); scanErr == nil && n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	d.addAt(at, "", message)
}

// Format formats each fault as a line of the form name:line:column: path: message, which editors
// recognize as a position to jump to.
func Format(name string, faults []Fault) string {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		position := name
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d:%d", name, f.Line, f.Column)
		}
		lines = append(lines, position+": "+f.String())
	}
	return strings.Join(lines, "\n")
}
