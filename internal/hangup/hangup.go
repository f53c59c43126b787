// Package hangup receives SIGHUP, on which a program reads its settings again. A program that imports it
// ignores SIGHUP from before the Go runtime starts: by default the signal ends a process that doesn't handle
// it yet.
//
// # Usage
//
//	hangups := hangup.Notify()
//	for range hangups {
//		reload()
//	}
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Notify returns a channel that receives SIGHUP from now on. It holds one; others that come meanwhile are
// dropped, since the settings are read later than all of them.
func Notify() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
