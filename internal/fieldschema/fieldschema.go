// Package fieldschema generates the JSON Schema of a plain struct from a table that describes each
// of its fields.
//
// # Usage
//
//	text, err := fieldschema.Print(&Settings{}, "settings", map[string]fieldschema.Field{
//		"Settings.zone": {Description: "Availability zone.", Pattern: namePattern},
//	})
package fieldschema

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/invopop/jsonschema"
)

// Field describes one field. Its key in the table is the name of the struct type and the JSON name
// of the field, as in Zone.name.
type Field struct {
	// Description explains the field and states its unit.
	Description string
	Required    bool
	// Range limits a number.
	Range *Range
	// Enum lists the allowed strings. Pattern is the regular expression for a string, or for each
	// element of a list of strings.
	Enum    []string
	Pattern string
	// NonEmpty means that a list must not be empty.
	NonEmpty bool
	// Default is the value of an absent field.
	Default any
}

// Range is a range of numbers, both ends included.
type Range struct{ Min, Max int }

// Between returns the range from low to high.
func Between(low, high int) *Range { return &Range{low, high} }

// Print returns the indented schema of the struct that v points to. A field without an entry in
// fields and an entry without a field are errors, so that the table stays in sync with the struct.
func Print(v any, title string, fields map[string]Field) ([]byte, error) {
	reflector := jsonschema.Reflector{Anonymous: true, RequiredFromJSONSchemaTags: true}
	schema := reflector.Reflect(v)
	schema.Title = title
	unused := maps.Clone(fields)
	for name, definition := range schema.Definitions {
		for pair := definition.Properties.Oldest(); pair != nil; pair = pair.Next() {
			key := name + "." + pair.Key
			field, ok := fields[key]
			if !ok {
				return nil, merry.Errorf("field %s is not described", key)
			}
			delete(unused, key)
			describe(pair.Value, field)
			if field.Required {
				definition.Required = append(definition.Required, pair.Key)
			}
		}
	}
	if len(unused) > 0 {
		return nil, merry.Errorf("no such fields: %s", strings.Join(slices.Sorted(maps.Keys(unused)), ", "))
	}
	text, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, merry.Prepend(err, "print schema")
	}
	return append(text, '\n'), nil
}

func describe(property *jsonschema.Schema, field Field) {
	property.Description = field.Description
	property.Default = field.Default
	if field.Range != nil {
		property.Minimum = json.Number(strconv.Itoa(field.Range.Min))
		property.Maximum = json.Number(strconv.Itoa(field.Range.Max))
		property.Description += fmt.Sprintf(" From %d to %d.", field.Range.Min, field.Range.Max)
	}
	for _, value := range field.Enum {
		property.Enum = append(property.Enum, value)
	}
	if field.NonEmpty {
		minItems := uint64(1)
		property.MinItems = &minItems
	}
	if property.Items != nil {
		property.Items.Pattern = field.Pattern
		return
	}
	property.Pattern = field.Pattern
}
