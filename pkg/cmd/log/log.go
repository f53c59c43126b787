// Package log groups the commands `pollenspindle log ...`.
//
// # Usage
//
//	command := log.NewCmdLog(factory)
package log

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/log/set"
	"pollenspindle.example/pollenspindle/pkg/cmd/log/show"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	Show show.Options `cmd:"" help:"Print the log level of an instance"`
	Set  set.Options  `cmd:"" help:"Change the log level of an instance"`
}

// NewCmdLog returns the command group.
func NewCmdLog(f *cmdutil.Factory) Command {
	return Command{Show: show.NewCmdShow(f), Set: set.NewCmdSet(f)}
}
