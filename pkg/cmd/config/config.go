// Package config groups the commands `pollenspindle config ...`.
//
// # Usage
//
//	command := config.NewCmdConfig(factory)
package config

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/config/apply"
	"pollenspindle.example/pollenspindle/pkg/cmd/config/diff"
	"pollenspindle.example/pollenspindle/pkg/cmd/config/history"
	"pollenspindle.example/pollenspindle/pkg/cmd/config/schema"
	"pollenspindle.example/pollenspindle/pkg/cmd/config/show"
	"pollenspindle.example/pollenspindle/pkg/cmd/config/validate"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	Apply    apply.Options    `cmd:"" help:"Apply a configuration"`
	Show     show.Options     `cmd:"" help:"Print the configuration in force"`
	Diff     diff.Options     `cmd:"" help:"Show what a configuration would change"`
	History  history.Options  `cmd:"" help:"List changes of the configuration"`
	Validate validate.Options `cmd:"" help:"Check a configuration"`
	Schema   schema.Options   `cmd:"" help:"Print the JSON Schema of a configuration"`
}

// NewCmdConfig returns the command group.
func NewCmdConfig(f *cmdutil.Factory) Command {
	return Command{
		Apply:    apply.NewCmdApply(f),
		Show:     show.NewCmdShow(f),
		Diff:     diff.NewCmdDiff(f),
		History:  history.NewCmdHistory(f),
		Validate: validate.NewCmdValidate(f),
		Schema:   schema.NewCmdSchema(f),
	}
}
