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

// Command is the command group.
type Command struct {
	List list.Options `cmd:"" help:"List rollouts as seen by an instance"`
}

// NewCmdRollout returns the command group.
func NewCmdRollout(f *cmdutil.Factory) Command {
	return Command{List: list.NewCmdList(f)}
}
