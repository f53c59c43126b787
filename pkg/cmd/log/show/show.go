// Package show implements the command `pollenspindle log show`: it prints the log level of
// an instance.
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
}

// NewCmdShow returns the command.
func NewCmdShow(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `Examples:
  pollenspindle log show`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return showRun(ctx, o) }

func showRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	level, err := client.LogLevel(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(o.Factory.Streams.Out, level.Level)
	return nil
}
