// Package list implements the command `pollenspindle instance list`: it lists the entry instances.
//
// # Usage
//
//	options := list.NewCmdList(factory)
//	err := options.Run(ctx)
package list

import (
	"context"
	"strconv"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output
}

// NewCmdList returns the command.
func NewCmdList(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The list shows the instances as known to the instance at --instance.

Examples:
  pollenspindle instance list`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return listRun(ctx, o) }

func listRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	list, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	table := cmdutil.Table{Heading: []string{"instance", "zone", "address", "state", "config", "epoch"}}
	for _, i := range list.Instances {
		table.Rows = append(table.Rows, []string{
			i.Name, i.Zone, i.Address, i.State,
			strconv.FormatInt(i.ConfigVersion, 10), strconv.FormatInt(i.Epoch, 10),
		})
	}
	return o.Print(o.Factory.Streams, list, table)
}
