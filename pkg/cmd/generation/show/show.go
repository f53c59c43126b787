// Package show implements the command `pollenspindle generation show`: it shows the steps and
// the state of a generation or request.
//
// # Usage
//
//	options := show.NewCmdShow(factory)
//	err := options.Run(ctx)
package show

import (
	"cmp"
	"context"
	"fmt"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// timeFormat always prints six decimals, so that columns are aligned.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output

	ID string `arg:"" name:"id" help:"Id of the generation or request."`
}

// NewCmdShow returns the command.
func NewCmdShow(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The steps show why a request waited, was refused or was slow. The id is that of
a generation or the X-Request-Id of a response, which refused requests get too.
Instances keep about 1 kB for each request in memory, at most 12 MiB.

Examples:
  pollenspindle generation show gen-5f2c
  pollenspindle generation show req-81aa`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return showRun(ctx, o) }

func showRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	g, err := client.Generation(ctx, o.ID)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.Streams.Err, "%s: workspace %s, %s, server %s, %d tokens.\n",
		g.State, g.Workspace, target(g), cmp.Or(g.Server, "none"), g.OutputTokens)
	table := cmdutil.Table{Heading: []string{"at", "instance", "what", "detail"}}
	for _, step := range g.Steps {
		table.Rows = append(table.Rows, []string{
			step.At.UTC().Format(timeFormat), step.Instance, step.Kind, step.Detail,
		})
	}
	return o.Print(o.Factory.Streams, g, table)
}

func target(g operatorapi.Generation) string {
	if g.Service != "" {
		return "service " + g.Service
	}
	return "model " + cmp.Or(g.Model, "unknown")
}
