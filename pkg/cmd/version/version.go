// Package version implements the command `pollenspindle version`.
//
// # Usage
//
//	options := version.NewCmdVersion(factory)
//	err := options.Run(ctx)
package version

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
}

// NewCmdVersion returns the command.
func NewCmdVersion(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return versionRun(ctx, o) }

func versionRun(_ context.Context, o *Options) error {
	fmt.Fprintf(o.Factory.Streams.Out, "pollenspindle %s\n", o.Factory.Version)
	return nil
}
