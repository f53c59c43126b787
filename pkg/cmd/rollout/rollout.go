// Package rollout groups the commands `pollenspindle rollout ...`.
//
// # Usage
//
//	command := rollout.NewCmdRollout(factory)
package rollout

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/rollout/list"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the group of commands.
type Command struct {
	List list.Options `cmd:"" help:"List roll-outs as an instance sees them"`
}

// NewCmdRollout returns the group.
func NewCmdRollout(f *cmdutil.Factory) Command {
	return Command{List: list.NewCmdList(f)}
}
