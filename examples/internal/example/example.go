// Package example contains the common parts of the example programs: their flags and the
// addresses of their backend servers.
//
// # Usage
//
//	os.Exit(example.Main("inyange", build, os.Args[1:], os.Stdout, os.Stderr))
package example

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/pkg/pollenspindle"
)

// Exit codes of the example programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// firstDefaultPort is the port of the first backend server without an address flag; each further
// one gets the next port.
const firstDefaultPort = 19001

// Flags are the flags of an example program.
type Flags struct {
	Small  bool              `help:"Print one model engine per zone and a single plain server."`
	Server map[string]string `help:"Address of a backend server as name=host:port, where host is an IP address. May be repeated." mapsep:"," placeholder:"NAME=ADDRESS"`
}

// Addresses assigns an address to each backend server.
type Addresses struct {
	fromFlags map[string]string
	used      map[string]bool
	nextPort  int
}

// Of returns the address set by flag for the backend server, or the next loopback address.
func (a *Addresses) Of(server string) string {
	a.used[server] = true
	if address, ok := a.fromFlags[server]; ok {
		return address
	}
	address := fmt.Sprintf("127.0.0.1:%d", a.nextPort)
	a.nextPort++
	return address
}

// unused returns the servers that have an address flag but are not declared.
func (a *Addresses) unused() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(a.fromFlags)) {
		if !a.used[name] {
			names = append(names, name)
		}
	}
	return names
}

// Build declares a deployment.
type Build func(small bool, addresses *Addresses) *pollenspindle.Config

// Main parses args, prints the configuration declared by build and returns the exit code.
func Main(name string, build Build, args []string, stdout, stderr io.Writer) int {
	var flags Flags
	exited := false
	parser, err := kong.New(&flags, kong.Name(name), kong.Writers(stdout, stderr),
		kong.Description("Print the configuration of the deployment "+name+"."),
		kong.Exit(func(int) { exited = true }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	_, err = parser.Parse(args)
	switch {
	case exited:
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if err := Print(build, flags, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}

// Print writes the configuration that build declares with flags.
func Print(build Build, flags Flags, w io.Writer) error {
	addresses := &Addresses{fromFlags: flags.Server, used: map[string]bool{}, nextPort: firstDefaultPort}
	cfg := build(flags.Small, addresses)
	if unused := addresses.unused(); len(unused) > 0 {
		return merry.Errorf("no such backend server: %s", strings.Join(unused, ", "))
	}
	return cfg.Print(w)
}
