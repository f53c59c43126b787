// Package print implements the command `pollenspindle settings print`: it prints settings with
// their defaults.
//
// # Usage
//
//	options := print.NewCmdPrint(factory)
//	err := options.Run(ctx)
package print

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	File    string           `arg:"" help:"Settings file."`
}

// NewCmdPrint returns the command.
func NewCmdPrint(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `Defaults are filled in. Keys are omitted.

Examples:
  pollenspindle settings print entry-1.jsonc`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return printRun(ctx, o) }

func printRun(_ context.Context, o *Options) error {
	s, err := settings.Load(o.File)
	if err != nil {
		return err
	}
	return cmdutil.PrintJSON(o.Factory.Streams.Out, s.Redacted())
}
