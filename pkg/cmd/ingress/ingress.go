// Package ingress implements the command `pollenspindle ingress`: it runs an instance
// that routes requests by host and path on the users' platform.
//
// # Usage
//
//	options := ingress.NewCmdIngress(factory)
//	err := options.Run(ctx)
package ingress

import (
	"context"

	"pollenspindle.example/pollenspindle/internal/ingressserve"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/platform"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`

	Settings string `help:"Settings file of the instance, JSON with comments." required:"" placeholder:"FILE"`
}

// NewCmdIngress returns the command.
func NewCmdIngress(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `All settings of the instance are in its settings file. On SIGTERM or SIGINT the
instance shuts down gracefully: callers are directed to other instances, requests
in progress end, and it exits with 0. On SIGHUP it reloads its settings.

Examples:
  pollenspindle ingress --settings ingress.jsonc`
}

// Run runs the command.
func (o *Options) Run(ctx context.Context) error { return ingressRun(ctx, o) }

func ingressRun(ctx context.Context, o *Options) error {
	s, err := settings.LoadIngress(o.Settings)
	if err != nil {
		return err
	}
	return ingressserve.Run(ctx, ingressserve.Options{
		Settings: s, Path: o.Settings, Dialect: platform.Dialect(), Streams: o.Factory.Streams, Hangups: o.Factory.Hangups,
	})
}
