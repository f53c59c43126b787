// Package check implements the command `pollenspindle settings check`: it validates a settings
// file.
//
// # Usage
//
//	options := check.NewCmdCheck(factory)
//	err := options.Run(ctx)
package check

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	File    string           `arg:"" help:"Settings file."`
}

// NewCmdCheck returns the command.
func NewCmdCheck(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `All faults are listed, each with its line and column.

Examples:
  pollenspindle settings check entry-1.jsonc`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return checkRun(ctx, o) }

func checkRun(_ context.Context, o *Options) error {
	s, err := settings.Load(o.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.Streams.Err, "Valid: instance %s in zone %s.\n", s.Instance, s.Zone)
	return nil
}
