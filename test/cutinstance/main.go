// Command cutinstance runs an instance whose links to the backend servers fail as a file says. It is
// used by tests only.
//
// # Usage
//
//	cutinstance ingress --settings ingress.jsonc --links links.txt
//	cutinstance serve --settings entry-1.jsonc --links links.txt
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"pollenspindle.example/pollenspindle/internal/hangup"
	"pollenspindle.example/pollenspindle/internal/ingressserve"
	"pollenspindle.example/pollenspindle/internal/serve"
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
	Ingress  struct{} `cmd:"" help:"Run an instance that routes requests by host and path."`
	Serve    struct{} `cmd:"" help:"Run an instance of the product's own interface."`
	Settings string   `help:"Settings file of the instance." required:""`
	Links    string   `help:"File with the state of the links." required:""`
	// ClockAhead is supported by ingress only.
	ClockAhead time.Duration `help:"How far the clock of the instance is ahead."`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	hangups := hangup.Notify()
	command := kong.Parse(&o).Command()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	links := linkfault.New()
	go links.Follow(context.WithoutCancel(ctx), o.Links)
	streams := iostreams.System()
	var err error
	if command == "serve" {
		err = runServe(ctx, o.Settings, streams, links)
	} else {
		err = runIngress(ctx, o, streams, links, hangups)
	}
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return exitError
	}
	return exitOK
}

func runIngress(ctx context.Context, o options, streams *iostreams.IOStreams, links *linkfault.Links, hangups <-chan os.Signal) error {
	s, err := settings.LoadIngress(o.Settings)
	if err != nil {
		return err
	}
	return ingressserve.Run(ctx, ingressserve.Options{
		Settings: s, Path: o.Settings, Dialect: platform.Dialect(), Streams: streams, Dial: links.Dial, Hangups: hangups,
		Now: func() time.Time { return time.Now().Add(o.ClockAhead) },
	})
}

func runServe(ctx context.Context, path string, streams *iostreams.IOStreams, links *linkfault.Links) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	return serve.RunWithDialer(ctx, s, streams, links.Dial)
}
