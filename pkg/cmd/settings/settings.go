// Package settings groups the commands `pollenspindle settings ...`.
//
// # Usage
//
//	command := settings.NewCmdSettings(factory)
package settings

import (
	"pollenspindle.example/pollenspindle/pkg/cmd/settings/check"
	"pollenspindle.example/pollenspindle/pkg/cmd/settings/print"
	"pollenspindle.example/pollenspindle/pkg/cmd/settings/schema"
	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Command is the command group.
type Command struct {
	Check  check.Options  `cmd:"" help:"Check a settings file"`
	Print  print.Options  `cmd:"" help:"Print settings with their defaults"`
	Schema schema.Options `cmd:"" help:"Print the JSON Schema of settings"`
}

// NewCmdSettings returns the command group.
func NewCmdSettings(f *cmdutil.Factory) Command {
	return Command{
		Check:  check.NewCmdCheck(f),
		Print:  print.NewCmdPrint(f),
		Schema: schema.NewCmdSchema(f),
	}
}
