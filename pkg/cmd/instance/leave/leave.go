// Package leave implements the command `pollenspindle instance leave`: it shuts an entry
// instance down gracefully.
//
// # Usage
//
//	options := leave.NewCmdLeave(factory)
//	err := options.Run(ctx)
package leave

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection

	Name string `arg:"" help:"Name of the entry instance at --instance."`
}

// NewCmdLeave returns the command.
func NewCmdLeave(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The instance at --instance shuts down gracefully: it accepts no new work once
callers have stopped sending any, waits for all streams to end and exits. The
name must match, so that a mistaken address shuts nothing down.

Examples:
  pollenspindle instance leave entry-3 --instance 10.0.0.3:7081`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return leaveRun(ctx, o) }

func leaveRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.LeaveInstance(ctx, o.Name); err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.Streams.Err, "Instance %s is leaving.\n", o.Name)
	return nil
}
