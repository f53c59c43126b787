// Package load is the command `pollenspindle model load`: it orders a backend server to load a model.
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

// Options is what the command needs.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output

	Model   string `arg:"" help:"Name of the model."`
	Server  string `help:"Backend server that loads it." required:"" placeholder:"NAME"`
	Version string `help:"Version to load; the declared one by default." placeholder:"VERSION"`
}

// NewCmdLoad returns the command.
func NewCmdLoad(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help is the command's long text.
func (*Options) Help() string {
	return `The order carries a fencing number, so that an order which was overtaken is not
obeyed.

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
