// Package list implements the command `pollenspindle model list`: it lists the declared models.
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
	"strings"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
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
  pollenspindle model list`
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
	table := cmdutil.Table{Heading: []string{"model", "version", "service", "context", "servers"}}
	for _, m := range current.Config.Models {
		table.Rows = append(table.Rows, []string{
			m.Name, m.Version, m.Service, strconv.Itoa(m.ContextTokens),
			strings.Join(serversOf(current.Config, m.Name), ","),
		})
	}
	return o.Print(o.Factory.Streams, current.Config.Models, table)
}

func serversOf(cfg pollenspindle.Config, model string) []string {
	var names []string
	for _, s := range cfg.Servers {
		if slices.Contains(s.Models, model) {
			names = append(names, s.Name)
		}
	}
	return names
}
