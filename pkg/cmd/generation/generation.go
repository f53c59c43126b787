// Package generation groups the commands `pollenspindle generation ...`.
//
// # Usage
//
//	command := generation.NewCmdGeneration(factory)
package generation

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/generation/cancel"
	"pollenspindle.example/pollenspindle/pkg/cmd/generation/show"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	Show   show.Options   `cmd:"" help:"Show the steps and the state of a generation"`
	Cancel cancel.Options `cmd:"" help:"Cancel a generation"`
}

// NewCmdGeneration returns the command group.
func NewCmdGeneration(f *cmdutil.Factory) Command {
	return Command{
		Show:   show.NewCmdShow(f),
		Cancel: cancel.NewCmdCancel(f),
	}
}
