// Package show implements the command `pollenspindle config show`: it prints the configuration in
// force.
//
// # Usage
//
//	options := show.NewCmdShow(factory)
//	err := options.Run(ctx)
package show

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection

	Versioned bool `help:"Print a JSON object with the version and the configuration."`
}

// NewCmdShow returns the command.
func NewCmdShow(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The configuration is printed as JSON that can be applied again. Its version is
printed to standard error, or as part of the output with --versioned.

Examples:
  pollenspindle config show > inyange.json`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return showRun(ctx, o) }

func showRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	if o.Versioned {
		return cmdutil.PrintJSON(o.Factory.Streams.Out, current)
	}
	fmt.Fprintf(o.Factory.Streams.Err, "Version %d.\n", current.Version)
	return cmdutil.PrintJSON(o.Factory.Streams.Out, current.Config)
}
