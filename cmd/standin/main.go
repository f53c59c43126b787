// Command standin runs small simulators of the systems that pollenspindle works with: model engines,
// plain services and the platform.
package main

import (
	"os"

	"pollenspindle.example/pollenspindle/internal/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
