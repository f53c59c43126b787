// Command cutinstance runs an instance whose links to the backend servers fail as a file says. It is
// used by tests only.
//
// # Usage
//
//	cutinstance --settings ingress.jsonc --links links.txt
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"pollenspindle.example/pollenspindle/internal/ingressserve"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
	"pollenspindle.example/pollenspindle/platform"
	"pollenspindle.example/pollenspindle/test/linkfault"
)

const (
	exitOK    = 0
	exitError = 1
)

type options struct {
	Settings string `help:"Settings file of the instance." required:""`
	Links    string `help:"File with the state of the links." required:""`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	kong.Parse(&o)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	streams := iostreams.System()
	if err := serve(ctx, o, streams); err != nil {
		fmt.Fprintln(streams.Err, err)
		return exitError
	}
	return exitOK
}

func serve(ctx context.Context, o options, streams *iostreams.IOStreams) error {
	s, err := settings.LoadIngress(o.Settings)
	if err != nil {
		return err
	}
	links := linkfault.New()
	go links.Follow(context.WithoutCancel(ctx), o.Links)
	return ingressserve.Run(ctx, ingressserve.Options{
		Settings: s, Path: o.Settings, Dialect: platform.Dialect(), Streams: streams, Dial: links.Dial,
	})
}
