// Package instance groups the commands `pollenspindle instance ...`.
//
// # Usage
//
//	command := instance.NewCmdInstance(factory)
package instance

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/instance/leave"
	"pollenspindle.example/pollenspindle/pkg/cmd/instance/list"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	List  list.Options  `cmd:"" help:"List entry instances"`
	Leave leave.Options `cmd:"" help:"Shut an entry instance down gracefully"`
}

// NewCmdInstance returns the command group.
func NewCmdInstance(f *cmdutil.Factory) Command {
	return Command{
		List:  list.NewCmdList(f),
		Leave: leave.NewCmdLeave(f),
	}
}
