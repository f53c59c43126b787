package pollenspindle

import (
	"encoding/json"
	"io"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/strictjson"
)

// ErrInvalid is what every [InvalidError] is.
var ErrInvalid = merry.Sentinel("configuration is not valid")

// Fault is one thing wrong with a configuration.
type Fault struct {
	// Path names the field, as in servers[3].zone.
	Path    string `json:"path"`
	Message string `json:"message"`
	// Line and Column count from 1 and are 0 when the configuration was not
	// read from text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// InvalidError lists every fault of a configuration. It is an [ErrInvalid].
type InvalidError struct {
	// Name is the name given to [Parse].
	Name   string
	Faults []Fault
}

// Error puts each fault on a line of its own.
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

// Unwrap makes errors.Is(err, ErrInvalid) hold.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// Parse reads a configuration from JSON, with or without comments, and checks
// it. Unknown and doubled names are faults. The returned error is an
// [InvalidError] with every fault; name is put before each. Defaults are
// filled in, but states left empty stay so, for [Config.KeepStates].
func Parse(name string, data []byte) (Config, error) {
	var c Config
	doc := strictjson.Decode(data, &c)
	if doc.WellFormed() {
		for _, f := range c.faults() {
			// The value of a field of the wrong type is empty and would look
			// missing as well.
			if !doc.HasFault(f.Path) {
				doc.AddFault(f.Path, f.Message)
			}
		}
	}
	found := doc.Faults()
	if len(found) == 0 {
		return c.withValues(), nil
	}
	faults := make([]Fault, 0, len(found))
	for _, f := range found {
		faults = append(faults, Fault{Path: f.Path, Message: f.Message, Line: f.Line, Column: f.Column})
	}
	return Config{}, &InvalidError{Name: name, Faults: faults}
}

// Print checks c and writes it as canonical JSON: defaults filled in, fields
// in a fixed order, indented by two spaces. Equal configurations print equal
// bytes. States left empty are left out.
func (c Config) Print(w io.Writer) error {
	if err := c.Validate(); err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(c.withValues()); err != nil {
		return merry.Prepend(err, "print configuration")
	}
	return nil
}
