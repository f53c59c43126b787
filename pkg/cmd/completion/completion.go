// Package completion implements the command `pollenspindle completion`: it prints a
// shell script that completes commands and flags.
//
// # Usage
//
//	options := completion.NewCmdCompletion(factory)
//	err := options.Run(ctx, parsed)
package completion

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Options holds the flags and dependencies of the command.
type Options struct {
	Factory *cmdutil.Factory `kong:"-"`

	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// NewCmdCompletion returns the command.
func NewCmdCompletion(f *cmdutil.Factory) Options { return Options{Factory: f} }

// Help returns the long help text of the command.
func (*Options) Help() string {
	return `Examples:
  source <(pollenspindle completion bash)
  pollenspindle completion fish > ~/.config/fish/completions/pollenspindle.fish`
}

// Run runs the command. parsed holds the commands and flags of the program.
func (o *Options) Run(ctx context.Context, parsed *kong.Context) error {
	return completionRun(ctx, o, parsed.Model.Node)
}

func completionRun(_ context.Context, o *Options, program *kong.Node) error {
	commands := collectCommands(program, "")
	switch o.Shell {
	case "fish":
		printFish(o.Factory.Streams.Out, program.Name, commands)
	case "zsh":
		fmt.Fprintln(o.Factory.Streams.Out, "autoload -U +X bashcompinit && bashcompinit")
		printBash(o.Factory.Streams.Out, program.Name, commands)
	default:
		printBash(o.Factory.Streams.Out, program.Name, commands)
	}
	return nil
}

// command is a command with its completions: the names of its subcommands and flags.
type command struct {
	// path is the command without the program's name, for example "config apply".
	path  string
	words []string
}

// collectCommands returns the command of node, followed by all commands below it.
func collectCommands(node *kong.Node, path string) []command {
	current := command{path: path}
	var subcommands []command
	for _, child := range node.Children {
		if child.Type != kong.CommandNode {
			continue
		}
		current.words = append(current.words, child.Name)
		subcommands = append(subcommands, collectCommands(child, strings.TrimSpace(path+" "+child.Name))...)
	}
	for _, flag := range node.Flags {
		current.words = append(current.words, "--"+flag.Name)
	}
	return append([]command{current}, subcommands...)
}

func printBash(w io.Writer, program string, commands []command) {
	fmt.Fprintf(w, "_%s() {\n  local path=\"\" word words\n", program)
	fmt.Fprintf(w, "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n")
	fmt.Fprintf(w, "    case \"$word\" in -*) break ;; *) path=\"${path:+$path }$word\" ;; esac\n  done\n")
	fmt.Fprintf(w, "  case \"$path\" in\n")
	// Subcommands come before their parents, so that a path with positional
	// arguments matches the most specific command.
	for i := len(commands) - 1; i >= 0; i-- {
		cmd := commands[i]
		pattern := fmt.Sprintf("%q|%q*", cmd.path, cmd.path+" ")
		if cmd.path == "" {
			pattern = "*"
		}
		fmt.Fprintf(w, "    %s) words=%q ;;\n", pattern, strings.Join(cmd.words, " "))
	}
	fmt.Fprintf(w, "  esac\n  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	fmt.Fprintf(w, "complete -o default -F _%s %s\n", program, program)
}

func printFish(w io.Writer, program string, commands []command) {
	fmt.Fprintf(w, "complete -c %s -f\n", program)
	for _, cmd := range commands {
		condition := "__fish_use_subcommand"
		if cmd.path != "" {
			condition = "__fish_seen_subcommand_from " + strings.Join(strings.Fields(cmd.path), "; and __fish_seen_subcommand_from ")
		}
		for _, word := range cmd.words {
			if flag, ok := strings.CutPrefix(word, "--"); ok {
				fmt.Fprintf(w, "complete -c %s -n %q -l %s\n", program, condition, flag)
				continue
			}
			fmt.Fprintf(w, "complete -c %s -n %q -a %s\n", program, condition, word)
		}
	}
}
