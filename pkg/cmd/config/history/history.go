// Package history implements the command `pollenspindle config history`: it lists the changes of
// the configuration.
//
// # Usage
//
//	options := history.NewCmdHistory(factory)
//	err := options.Run(ctx)
package history

import (
	"context"
	"strconv"
	"time"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`
	cmdutil.Connection
	cmdutil.Output

	Limit int `help:"Maximum number of changes to list." default:"20"`
}

// NewCmdHistory returns the command.
func NewCmdHistory(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `The newest change is listed first.

Examples:
  pollenspindle config history --limit 5`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return historyRun(ctx, o) }

func historyRun(ctx context.Context, o *Options) error {
	client, err := o.Client()
	if err != nil {
		return err
	}
	defer client.Close()
	history, err := client.History(ctx, o.Limit)
	if err != nil {
		return err
	}
	table := cmdutil.Table{Heading: []string{"version", "at", "author", "summary"}}
	for _, c := range history.Changes {
		table.Rows = append(table.Rows, []string{
			strconv.FormatInt(c.Version, 10), c.At.UTC().Format(time.RFC3339), c.Author, c.Summary,
		})
	}
	return o.Print(o.Factory.Streams, history, table)
}
