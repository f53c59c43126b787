// Command slopes measures how the costs of an entry instance grow with the size of the deployment.
// script/slopes runs it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"pollenspindle.example/pollenspindle/internal/slopes"
)

type cli struct {
	Only     string `help:"Measure only this group: decisions, configuration, roster, messages, owner, member, processes or relay."`
	Binaries string `help:"Directory with the built programs; processes are measured only if it is set."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("slopes"), kong.Description("Measure costs at several deployment sizes and print the slopes."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := slopes.Run(ctx, os.Stdout, slopes.Options{Only: c.Only, Binaries: c.Binaries})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
