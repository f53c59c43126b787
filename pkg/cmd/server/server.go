// Package server groups the commands `pollenspindle server ...`.
//
// # Usage
//
//	command := server.NewCmdServer(factory)
package server

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/server/drain"
	"pollenspindle.example/pollenspindle/pkg/cmd/server/list"
	"pollenspindle.example/pollenspindle/pkg/cmd/server/restore"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	List    list.Options    `cmd:"" help:"List backend servers"`
	Drain   drain.Options   `cmd:"" help:"Drain a backend server"`
	Restore restore.Options `cmd:"" help:"Restore a drained backend server"`
}

// NewCmdServer returns the command group.
func NewCmdServer(f *cmdutil.Factory) Command {
	return Command{
		List:    list.NewCmdList(f),
		Drain:   drain.NewCmdDrain(f),
		Restore: restore.NewCmdRestore(f),
	}
}
