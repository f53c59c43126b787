// Command pollenspindle runs instances and implements the operators' commands.
//
// # Usage
//
//	pollenspindle serve --settings entry-1.jsonc
//	pollenspindle config apply -f inyange.json
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pollenspindle.example/pollenspindle/internal/hangup"
	"pollenspindle.example/pollenspindle/internal/serve"
	"pollenspindle.example/pollenspindle/pkg/cmd/root"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

// version is set by the linker.
var version = "development"

func main() { os.Exit(int(run())) }

func run() cmdutil.ExitCode {
	hangups := hangup.Notify()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	factory := &cmdutil.Factory{
		Streams: iostreams.System(),
		Version: version,
		Now:     time.Now,
		Author:  cmdutil.SystemAuthor(),
		Serve:   serve.Run,
		Hangups: hangups,
	}
	return root.Main(ctx, factory, os.Args[1:])
}
