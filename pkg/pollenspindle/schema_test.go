package pollenspindle_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Fails if docs/config.schema.json differs from the generated schema; go test
// -update writes the file.
func TestPublishedSchemaIsCurrent(t *testing.T) {
	text, err := pollenspindle.Schema()
	require.NoError(t, err)
	golden := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".json"))
	golden.Assert(t, "config.schema", text)
}

func compileSchema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	text, err := pollenspindle.Schema()
	require.NoError(t, err)
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	require.NoError(t, err)
	compiler := jsonschema.NewCompiler()
	require.NoError(t, compiler.AddResource("config.schema.json", doc))
	schema, err := compiler.Compile("config.schema.json")
	require.NoError(t, err)
	return schema
}

// The schema and Parse must accept and reject the same documents, or a program
// in another language could print a valid document that is not accepted.
func TestSchemaAgreesWithParse(t *testing.T) {
	schema := compileSchema(t)
	tests := map[string]struct {
		change func(map[string]any)
		valid  bool
	}{
		"as printed":       {func(map[string]any) {}, true},
		"without limits":   {func(c map[string]any) { delete(c, "limits") }, true},
		"no zones":         {func(c map[string]any) { c["zones"] = []any{} }, false},
		"unknown name":     {func(c map[string]any) { c["zone"] = 1 }, false},
		"weight too high":  {func(c map[string]any) { first(c, "workspaces")["weight"] = 1001 }, false},
		"token not hashed": {func(c map[string]any) { first(c, "workspaces")["tokenSha256"] = []any{"t"} }, false},
		"unknown state":    {func(c map[string]any) { first(c, "zones")["state"] = "out" }, false},
		"drained zone":     {func(c map[string]any) { first(c, "zones")["state"] = "takenOut" }, true},
		"number as text":   {func(c map[string]any) { first(c, "servers")["coldLimit"] = "2" }, false},
		"no cold limit":    {func(c map[string]any) { delete(first(c, "servers"), "coldLimit") }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var printed bytes.Buffer
			require.NoError(t, valid().Print(&printed))
			var doc map[string]any
			require.NoError(t, json.Unmarshal(printed.Bytes(), &doc))
			tt.change(doc)
			text, err := json.Marshal(doc)
			require.NoError(t, err)
			value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
			require.NoError(t, err)
			schemaErr := schema.Validate(value)
			_, parseErr := pollenspindle.Parse("config", text)
			require.Equal(t, tt.valid, schemaErr == nil, "schema: %v", schemaErr)
			require.Equal(t, tt.valid, parseErr == nil, "parse: %v", parseErr)
		})
	}
}

func first(doc map[string]any, list string) map[string]any {
	return doc[list].([]any)[0].(map[string]any)
}
