// Package model groups the commands `pollenspindle model ...`.
//
// # Usage
//
//	command := model.NewCmdModel(factory)
package model

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/model/list"
	"pollenspindle.example/pollenspindle/pkg/cmd/model/load"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	Load load.Options `cmd:"" help:"Load a model on a backend server"`
	List list.Options `cmd:"" help:"List the declared models"`
}

// NewCmdModel returns the command group.
func NewCmdModel(f *cmdutil.Factory) Command {
	return Command{
		Load: load.NewCmdLoad(f),
		List: list.NewCmdList(f),
	}
}
