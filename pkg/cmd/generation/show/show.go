// Package show is the command `pollenspindle generation show`: it tells what became of a generation.
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

// timeFormat has all its digits, so that columns line up.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// Options is what the command needs.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output

	ID string `arg:"" name:"id" help:"Id of the generation or request."`
}

// NewCmdShow returns the command.
func NewCmdShow(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help is the command's long text.
func (*Options) Help() string {
	return `The steps say why a request waited, was refused or was slow. The id is that of
a generation, or the X-Request-Id that every caller gets, also when refused.
Instances keep about 1 kB for each request, at most 12 MiB, in memory.

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
