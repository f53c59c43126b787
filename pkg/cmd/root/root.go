// Package root assembles the commands of pollenspindle, parses the command line and maps errors to
// exit codes.
//
// # Usage
//
//	code := root.Main(ctx, factory, os.Args[1:])
package root

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kong"

	"pollenspindle.example/pollenspindle/pkg/cmd/completion"
	"pollenspindle.example/pollenspindle/pkg/cmd/config"
	"pollenspindle.example/pollenspindle/pkg/cmd/generation"
	"pollenspindle.example/pollenspindle/pkg/cmd/ingress"
	"pollenspindle.example/pollenspindle/pkg/cmd/instance"
	"pollenspindle.example/pollenspindle/pkg/cmd/log"
	"pollenspindle.example/pollenspindle/pkg/cmd/model"
	"pollenspindle.example/pollenspindle/pkg/cmd/rollout"
	"pollenspindle.example/pollenspindle/pkg/cmd/serve"
	"pollenspindle.example/pollenspindle/pkg/cmd/server"
	"pollenspindle.example/pollenspindle/pkg/cmd/settings"
	"pollenspindle.example/pollenspindle/pkg/cmd/version"
	"pollenspindle.example/pollenspindle/pkg/cmd/zone"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

const description = "Serve model generations of unknown length on engines short of memory."

// grammar declares the commands of the program for kong.
type grammar struct {
	Serve      serve.Options      `cmd:"" help:"Run an entry instance"`
	Ingress    ingress.Options    `cmd:"" help:"Run an instance that routes by host and path"`
	Config     config.Command     `cmd:"" help:"Work with the configuration"`
	Zone       zone.Command       `cmd:"" help:"Work with availability zones"`
	Server     server.Command     `cmd:"" help:"Work with backend servers"`
	Instance   instance.Command   `cmd:"" help:"Work with entry instances"`
	Generation generation.Command `cmd:"" help:"Work with generations"`
	Model      model.Command      `cmd:"" help:"Work with models"`
	Rollout    rollout.Command    `cmd:"" help:"Work with rollouts"`
	Log        log.Command        `cmd:"" help:"Work with the log level of an instance"`
	Settings   settings.Command   `cmd:"" help:"Work with settings files"`
	Version    version.Options    `cmd:"" help:"Print the version"`
	Completion completion.Options `cmd:"" help:"Print a script for shell completion"`
}

// Main runs the command in args and returns the exit code.
func Main(ctx context.Context, f *cmdutil.Factory, args []string) cmdutil.ExitCode {
	commands := &grammar{
		Serve:      serve.NewCmdServe(f),
		Ingress:    ingress.NewCmdIngress(f),
		Config:     config.NewCmdConfig(f),
		Zone:       zone.NewCmdZone(f),
		Server:     server.NewCmdServer(f),
		Instance:   instance.NewCmdInstance(f),
		Generation: generation.NewCmdGeneration(f),
		Model:      model.NewCmdModel(f),
		Rollout:    rollout.NewCmdRollout(f),
		Log:        log.NewCmdLog(f),
		Settings:   settings.NewCmdSettings(f),
		Version:    version.NewCmdVersion(f),
		Completion: completion.NewCmdCompletion(f),
	}
	helpPrinted := false
	parser, err := kong.New(commands,
		kong.Name("pollenspindle"), kong.Description(description),
		kong.Writers(f.Streams.Out, f.Streams.Err),
		kong.Exit(func(int) { helpPrinted = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		cmdutil.PrintError(f.Streams.Err, err)
		return cmdutil.ExitFailed
	}
	parsed, err := parser.Parse(args)
	switch {
	case helpPrinted:
		return cmdutil.ExitOK
	case err != nil:
		return printUsageError(f, err)
	}
	err = parsed.Run()
	cmdutil.PrintError(f.Streams.Err, err)
	return cmdutil.ExitCodeOf(err)
}

// printUsageError prints err and the usage of the command that it concerns.
func printUsageError(f *cmdutil.Factory, err error) cmdutil.ExitCode {
	fmt.Fprintln(f.Streams.Err, err.Error())
	var parseErr *kong.ParseError
	if errors.As(err, &parseErr) && parseErr.Context != nil {
		parseErr.Context.Stdout = f.Streams.Err
		_ = parseErr.Context.PrintUsage(true)
	}
	return cmdutil.ExitUsage
}
