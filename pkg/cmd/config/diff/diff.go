// Package diff implements the command `pollenspindle config diff`: it shows what applying a
// configuration would change.
//
// # Usage
//
//	options := diff.NewCmdDiff(factory)
//	err := options.Run(ctx)
package diff

import (
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output

	File string `help:"File with the configuration, or - for standard input." short:"f" required:"" placeholder:"FILE"`
}

// NewCmdDiff returns the command.
func NewCmdDiff(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `Objects are matched by name with those of the configuration in force. Nothing is
changed.

Examples:
  go run ./examples/inyange | pollenspindle config diff -f -`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return diffRun(ctx, o) }

func diffRun(ctx context.Context, o *Options) error {
	data, err := cmdutil.ReadInput(o.Factory.Streams, o.File)
	if err != nil {
		return err
	}
	cfg, err := pollenspindle.Parse(cmdutil.InputName(o.File), data)
	if err != nil {
		return err
	}
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	next := cfg.KeepStates(current.Config).WithDefaults()
	changes := operatorapi.Changes(current.Config, next)
	fmt.Fprintf(o.Factory.Streams.Err, "%d changes to version %d.\n", len(changes), current.Version)
	return o.Print(o.Factory.Streams, changes, cmdutil.ChangeTable(changes))
}
