// Package set implements the command `pollenspindle log set`: it changes the log level of
// an instance.
//
// # Usage
//
//	options := set.NewCmdSet(factory)
//	err := options.Run(ctx)
package set

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection

	Level string `arg:"" enum:"debug,info,warn,error" help:"Minimum level to log: debug, info, warn or error."`
}

// NewCmdSet returns the command.
func NewCmdSet(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The level applies until the instance exits; the settings file is not changed.

Examples:
  pollenspindle log set debug`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return setRun(ctx, o) }

func setRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := client.SetLogLevel(ctx, operatorapi.LogLevel{Level: o.Level}); err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.Streams.Err, "The log level is %s.\n", o.Level)
	return nil
}
