// Package zone groups the commands `pollenspindle zone ...`.
//
// # Usage
//
//	command := zone.NewCmdZone(factory)
package zone

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/zone/drain"
	"pollenspindle.example/pollenspindle/pkg/cmd/zone/list"
	"pollenspindle.example/pollenspindle/pkg/cmd/zone/restore"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	Drain   drain.Options   `cmd:"" help:"Drain an availability zone"`
	Restore restore.Options `cmd:"" help:"Restore a drained availability zone"`
	List    list.Options    `cmd:"" help:"List availability zones"`
}

// NewCmdZone returns the command group.
func NewCmdZone(f *cmdutil.Factory) Command {
	return Command{
		Drain:   drain.NewCmdDrain(f),
		Restore: restore.NewCmdRestore(f),
		List:    list.NewCmdList(f),
	}
}
