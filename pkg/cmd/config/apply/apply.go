// Package apply implements the command `pollenspindle config apply`: it applies a configuration.
//
// # Usage
//
//	options := apply.NewCmdApply(factory)
//	err := options.Run(ctx)
package apply

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
	cmdutil.Change
	cmdutil.Output

	File        string `help:"File with the configuration, or - for standard input." short:"f" required:"" placeholder:"FILE"`
	BaseVersion int64  `help:"Version that the configuration is based on; the version in force by default." default:"-1" placeholder:"N"`
}

// NewCmdApply returns the command.
func NewCmdApply(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The complete configuration is validated before it is sent. It is accepted only if
the base version is still in force; otherwise nothing is changed and the changes
since the base version are shown. Zones and servers without a state keep their
current state.

Examples:
  go run ./examples/inyange | pollenspindle config apply -f -
  pollenspindle config apply -f inyange.json --base-version 41 -m "add a club"`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return applyRun(ctx, o) }

func applyRun(ctx context.Context, o *Options) error {
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
	base, err := printPlan(ctx, o, client, cfg)
	if err != nil {
		return err
	}
	accepted, err := client.Apply(ctx, operatorapi.ApplyRequest{
		BaseVersion: base, Author: o.AuthorOr(o.Factory.Author), Summary: o.Summary, Config: cfg,
	})
	if err != nil {
		return err
	}
	return cmdutil.FinishChange(ctx, o.Factory.Streams, client, o.Change, o.Output, accepted)
}

// printPlan prints the number of changes and returns the base version: the one from the flag, or else
// the version in force. A change accepted between this request and Apply is still a conflict.
func printPlan(ctx context.Context, o *Options, client *operatorapi.Client, cfg pollenspindle.Config) (int64, error) {
	current, err := client.Configuration(ctx)
	if err != nil {
		return 0, err
	}
	changes := operatorapi.Changes(current.Config, cfg.KeepStates(current.Config).WithDefaults())
	fmt.Fprintf(o.Factory.Streams.Err, "%d changes to version %d.\n", len(changes), current.Version)
	if o.BaseVersion >= 0 {
		return o.BaseVersion, nil
	}
	return current.Version, nil
}
