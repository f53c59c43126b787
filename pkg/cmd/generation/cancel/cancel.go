// Package cancel implements the command `pollenspindle generation cancel`: it cancels a generation.
//
// # Usage
//
//	options := cancel.NewCmdCancel(factory)
//	err := options.Run(ctx)
package cancel

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection

	ID string `arg:"" name:"id" help:"Id of the generation."`
}

// NewCmdCancel returns the command.
func NewCmdCancel(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The engine frees the generation's memory immediately; the caller gets a final
error.

Examples:
  pollenspindle generation cancel gen-5f2c`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return cancelRun(ctx, o) }

func cancelRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.CancelGeneration(ctx, o.ID); err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.Streams.Err, "Generation %s is cancelled.\n", o.ID)
	return nil
}
