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

	"github.com/alecthomas/kong"

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
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	command := kong.Parse(&o).Command()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	links := linkfault.New()
	go links.Follow(context.WithoutCancel(ctx), o.Links)
	streams := iostreams.System()
	runInstance := runIngress
	if command == "serve" {
		runInstance = runServe
	}
	if err := runInstance(ctx, o.Settings, streams, links); err != nil {
		fmt.Fprintln(streams.Err, err)
		return exitError
	}
	return exitOK
}

func runIngress(ctx context.Context, path string, streams *iostreams.IOStreams, links *linkfault.Links) error {
	s, err := settings.LoadIngress(path)
	if err != nil {
		return err
	}
	return ingressserve.Run(ctx, ingressserve.Options{
		Settings: s, Path: path, Dialect: platform.Dialect(), Streams: streams, Dial: links.Dial,
	})
}

func runServe(ctx context.Context, path string, streams *iostreams.IOStreams, links *linkfault.Links) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	return serve.RunWithDialer(ctx, s, streams, links.Dial)
}
