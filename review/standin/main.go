//go:build review

// The standin program runs the cases of the review: it starts instances of the system as processes,
// before stand-ins of the platform's store, of servers and of clients, and checks one rule.
//
// # Usage
//
//	standin CASE --binary FILE --record FILE [--trouble=false]
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// setup is what a case gets.
type setup struct {
	rec     *record
	binary  string
	dir     string
	trouble bool
}

// cases return whether the rule held.
var cases = map[string]func(ctx context.Context, s setup) (bool, error){
	"drain":   runDrain,
	"poison":  runPoison,
	"uploads": runUploads,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE --binary FILE --record FILE [--trouble=false]")
		return exitNotRun
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	binary := flags.String("binary", "target/pollenspindle", "program of the deploy file")
	recordPath := flags.String("record", "record.txt", "file for the record")
	trouble := flags.Bool("trouble", true, "run with the disruption")
	keep := flags.Bool("keep", false, "keep the temporary folder")
	if flags.Parse(args[1:]) != nil {
		return exitNotRun
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.flush()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if *keep {
		fmt.Println("logs:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	path, err := filepath.Abs(*binary)
	if err != nil {
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 110*time.Second)
	defer cancel()
	held, err := cases[args[0]](ctx, setup{rec: rec, binary: path, dir: dir, trouble: *trouble})
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case held:
		rec.say("the rule held")
		return exitHeld
	}
	rec.say("the rule was broken")
	return exitBroken
}
