// Package iostreams holds the standard streams of a command, so that tests can replace them by buffers.
// Data goes to Out; messages, progress and errors go to Err.
//
// # Usage
//
//	streams := iostreams.System()
//	fmt.Fprintln(streams.Out, "kigali-a\tinService")
package iostreams

import (
	"bytes"
	"io"
	"os"

	"github.com/mattn/go-isatty"
)

// IOStreams are the streams of one command.
type IOStreams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// OutIsTerminal and ErrIsTerminal tell whether Out and Err are terminals.
	// Aligned tables and progress are printed only to a terminal.
	OutIsTerminal bool
	ErrIsTerminal bool
}

// System returns the standard streams of the process.
func System() *IOStreams {
	return &IOStreams{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		OutIsTerminal: isatty.IsTerminal(os.Stdout.Fd()),
		ErrIsTerminal: isatty.IsTerminal(os.Stderr.Fd()),
	}
}

// Test returns streams backed by buffers that don't count as terminals.
func Test() (streams *IOStreams, in, out, errOut *bytes.Buffer) {
	in, out, errOut = &bytes.Buffer{}, &bytes.Buffer{}, &bytes.Buffer{}
	return &IOStreams{In: in, Out: out, Err: errOut}, in, out, errOut
}
