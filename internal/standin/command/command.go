// Package command is the command line of the stand-ins, with one command for each
// external system.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"pollenspindle.example/pollenspindle/internal/standin/engine"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitCrashed is the exit code of an engine after a simulated crash.
	ExitCrashed = 3
)

// CLI defines the commands.
type CLI struct {
	Engine   EngineCmd   `cmd:"" help:"Run a model engine."`
	Service  ServiceCmd  `cmd:"" help:"Run a plain service that records its side effects in a ledger."`
	Weights  WeightsCmd  `cmd:"" help:"Run a rate-limited weight store."`
	Platform PlatformCmd `cmd:"" help:"Run the platform's object API and instance list."`
}

// streams holds the standard streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// ready prints the listening address for the process that started the stand-in.
func (s *streams) ready(address string) { fmt.Fprintf(s.out, "listening %s\n", address) }

// Main runs the command given by args until it returns, or until SIGTERM or an
// interrupt arrives, and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli CLI
	exited := false
	parser, err := kong.New(&cli,
		kong.Name("standin"),
		kong.Description("Small stand-ins for the systems around pollenspindle."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	kctx, err := parser.Parse(args)
	switch {
	case exited:
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	err = kctx.Run(&streams{out: stdout, err: stderr})
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, engine.ErrCrashed):
		return ExitCrashed
	default:
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
}
