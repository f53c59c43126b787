package pollenspindle

import (
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/strictjson"
)

// ErrInvalid matches every [InvalidError] in errors.Is.
var ErrInvalid = merry.Sentinel("configuration is not valid")

// Fault is one error in a configuration.
type Fault struct {
	// Path is the path of the field, for example servers[3].zone.
	Path    string `json:"path"`
	Message string `json:"message"`
	// Line and Column start at 1 and are 0 if the configuration was not parsed
	// from text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// InvalidError lists all faults of a configuration. It wraps [ErrInvalid].
type InvalidError struct {
	// Name is the name passed to [Parse].
	Name   string
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *InvalidError) Error() string {
	name := e.Name
	if name == "" {
		name = "configuration"
	}
	faults := make([]strictjson.Fault, 0, len(e.Faults))
	for _, f := range e.Faults {
		faults = append(faults, strictjson.Fault{
			Position: strictjson.Position{Line: f.Line, Column: f.Column}, Path: f.Path, Message: f.Message,
		})
	}
	return strictjson.Format(name, faults)
}

// Unwrap returns [ErrInvalid].
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// Parse parses a configuration from JSON, with or without comments, and
// validates it. Unknown and duplicate names are faults. The returned error is
// an [InvalidError] with all faults, each prefixed with name. Defaults are
// filled in, but empty states stay empty, for [Config.KeepStates].
func Parse(name string, data []byte) (Config, error) {
	var c Config
	doc := strictjson.Decode(data, &c)
	if doc.WellFormed() {
		for _, f := range c.faults() {
			// A field of the wrong type decodes to its zero value and would
			// also be reported as missing.
			if !doc.HasFault(f.Path) {
				doc.AddFault(f.Path, f.Message)
			}
		}
	}
	found := doc.Faults()
	if len(found) == 0 {
		return c.withoutStateDefaults(), nil
	}
	faults := make([]Fault, 0, len(found))
	for _, f := range found {
		faults = append(faults, Fault{Path: f.Path, Message: f.Message, Line: f.Line, Column: f.Column})
	}
	return Config{}, &InvalidError{Name: name, Faults: faults}
}

// Print validates c and writes it as canonical JSON: defaults filled in, fields
// in a fixed order, indented by two spaces. Equal configurations print equal
// bytes. Empty states are omitted.
func (c Config) Print(w io.Writer) error {
	if err := c.Validate(); err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(c.withoutStateDefaults()); err != nil {
		return merry.Prepend(err, "print configuration")
	}
	return nil
}
