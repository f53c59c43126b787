// Package schema implements the command `pollenspindle settings schema`: it prints the JSON Schema
// of settings.
//
// # Usage
//
//	options := schema.NewCmdSchema(factory)
//	err := options.Run(ctx)
package schema

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
}

// NewCmdSchema returns the command.
func NewCmdSchema(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The schema describes each field with its unit.

Examples:
  pollenspindle settings schema > settings.schema.json`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return schemaRun(ctx, o) }

func schemaRun(_ context.Context, o *Options) error {
	return cmdutil.PrintText(o.Factory.Streams, settings.Schema)
}
