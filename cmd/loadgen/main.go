// Command loadgen simulates callers of pollenspindle and measures the responses that they get.
package main

import (
	"os"

	"pollenspindle.example/pollenspindle/internal/loadgen/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
