// Package list implements the command `pollenspindle server list`: it lists the backend servers.
//
// # Usage
//
//	options := list.NewCmdList(factory)
//	err := options.Run(ctx)
package list

import (
	"context"
	"slices"
	"strconv"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output

	Zone    string `help:"List only backend servers of this availability zone." placeholder:"NAME"`
	Service string `help:"List only backend servers of this service." placeholder:"NAME"`
}

// NewCmdList returns the command.
func NewCmdList(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The load is the latest that the owner knows of the backend server.

Examples:
  pollenspindle server list --zone kigali-a`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return listRun(ctx, o) }

func listRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	all, err := client.Servers(ctx)
	if err != nil {
		return err
	}
	servers := slices.DeleteFunc(all.Servers, func(s operatorapi.Server) bool {
		return o.Zone != "" && s.Zone != o.Zone || o.Service != "" && s.Service != o.Service
	})
	table := cmdutil.Table{Heading: []string{
		"server", "service", "zone", "address", "state", "load", "running", "limit", "queued", "owner",
	}}
	for _, s := range servers {
		table.Rows = append(table.Rows, []string{
			s.Name, s.Service, s.Zone, s.Address, string(s.State), s.Status.Load,
			strconv.Itoa(s.Status.Running), strconv.Itoa(s.Status.Limit),
			strconv.Itoa(s.Status.Queued), s.Status.Owner,
		})
	}
	return o.Print(o.Factory.Streams, operatorapi.Servers{Servers: servers}, table)
}
