// Package load implements the command `pollenspindle model load`: it makes a backend server
// load a model.
//
// # Usage
//
//	options := load.NewCmdLoad(factory)
//	err := options.Run(ctx)
package load

import (
	"context"
	"strconv"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output

	Model   string `arg:"" help:"Name of the model."`
	Server  string `help:"Backend server that loads the model." required:"" placeholder:"NAME"`
	Version string `help:"Version to load; the declared version by default." placeholder:"VERSION"`
}

// NewCmdLoad returns the command.
func NewCmdLoad(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The command carries a fencing token, so that a backend server that checks fencing
tokens refuses it if a newer command was sent.

Examples:
  pollenspindle model load flight-briefing --server briefing-3`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return loadRun(ctx, o) }

func loadRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	outcome, err := client.LoadModel(ctx, o.Model, operatorapi.EngineCommand{Server: o.Server, Version: o.Version})
	if err != nil {
		return err
	}
	return o.Print(o.Factory.Streams, outcome, cmdutil.Table{
		Heading: []string{"server", "model", "state", "fencing"},
		Rows: [][]string{{
			outcome.Server, outcome.Model, outcome.State, strconv.FormatInt(outcome.FencingNumber, 10),
		}},
	})
}
