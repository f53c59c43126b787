// Package list implements the command `pollenspindle zone list`: it lists the availability zones.
//
// # Usage
//
//	options := list.NewCmdList(factory)
//	err := options.Run(ctx)
package list

import (
	"context"

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
	return `Examples:
  pollenspindle zone list`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return listRun(ctx, o) }

func listRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	table := cmdutil.Table{Heading: []string{"zone", "region", "state"}}
	for _, z := range current.Config.Zones {
		table.Rows = append(table.Rows, []string{z.Name, z.Region, string(z.State)})
	}
	return o.Print(o.Factory.Streams, current.Config.Zones, table)
}
