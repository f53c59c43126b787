//go:build review

// Command rig runs the cases of the second review: it starts instances of the system before stand-ins of
// the platform, of backend servers and of callers, and checks what those have seen.
//
// # Usage
//
//	TROUBLE=0 rig CASE RECORD
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(runCase()) }

func runCase() int {
	cases := map[string]func(trouble bool, record func(format string, args ...any)) (bool, error){
		"budget": budgetCase,
		"resume": resumeCase,
		"poison": poisonCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	begin := time.Now()
	var mu sync.Mutex
	record := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(file, "%8.3f "+format+"\n", append([]any{time.Since(begin).Seconds()}, args...)...)
	}
	broken, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0", record)
	switch {
	case err != nil:
		record("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		record("broken")
		return exitBroken
	}
	record("held")
	return exitHeld
}
