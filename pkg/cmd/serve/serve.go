// Package serve implements the command `pollenspindle serve`: it runs an entry
// instance.
//
// # Usage
//
//	options := serve.NewCmdServe(factory)
//	err := options.Run(ctx)
package serve

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`

	Settings string `help:"Settings file of the instance, JSON with comments." required:"" placeholder:"FILE"`
}

// NewCmdServe returns the command.
func NewCmdServe(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `All settings of the instance are in its settings file; no other flag and no
environment variable changes them. On SIGTERM or SIGINT the instance shuts down
gracefully: it waits for all streams to end and exits with 0. SIGHUP has no effect:
the settings are read at the start.

Examples:
  pollenspindle serve --settings entry-1.jsonc`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return serveRun(ctx, o) }

func serveRun(ctx context.Context, o *Options) error {
	s, err := settings.Load(o.Settings)
	if err != nil {
		return err
	}
	return o.Factory.Serve(ctx, s, o.Factory.Streams)
}
