// Package cmdutil holds code shared by the commands: their factory, the connection to an instance,
// output and exit codes.
//
// # Usage
//
//	f := &cmdutil.Factory{Streams: iostreams.System(), Now: time.Now, ...}
//	options := list.NewCmdList(f)
//	err := options.Run(ctx)
package cmdutil

import (
	"context"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/internal/strictjson"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

// maxTokenBytes limits how much of a token file is read.
const maxTokenBytes = 4096

// Serve runs an entry instance until ctx is done and all its streams have ended.
type Serve func(ctx context.Context, s settings.Settings, streams *iostreams.IOStreams) error

// Factory holds the dependencies of the commands.
type Factory struct {
	Streams *iostreams.IOStreams
	Version string
	Now     func() time.Time
	// Author is the default author of changes in the history.
	Author string
	Serve  Serve
	// Hangups receives SIGHUP.
	Hangups <-chan os.Signal
}

// SystemAuthor returns the name of the user that runs the process, or "unknown".
func SystemAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// Connection holds the flags for the connection to an instance.
type Connection struct {
	Instance  string `help:"Operators' address of any entry instance, host:port." required:"" env:"POLLENSPINDLE_INSTANCE" placeholder:"HOST:PORT"`
	TokenFile string `help:"File with the operators' token." required:"" env:"POLLENSPINDLE_OPERATOR_TOKEN_FILE" placeholder:"FILE"`
}

// Client returns a client for the instance. The error is a [FlagError] if the token file is invalid.
func (c Connection) Client() (*operatorapi.Client, error) {
	file, err := os.Open(c.TokenFile)
	if err != nil {
		return nil, &FlagError{Message: "--token-file: " + err.Error()}
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxTokenBytes))
	if err != nil {
		return nil, &FlagError{Message: "--token-file: " + err.Error()}
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return nil, &FlagError{Message: "--token-file: must hold one line with the token"}
	}
	return operatorapi.NewClient(c.Instance, token), nil
}

// Change holds the flags of commands that change the configuration.
type Change struct {
	Author  string        `help:"Author of the change in the history; your login name by default." placeholder:"NAME"`
	Summary string        `help:"Summary of the change in the history." short:"m" placeholder:"TEXT"`
	Wait    time.Duration `help:"Maximum time to wait for the change to be in force on every instance." default:"10s"`
}

// AuthorOr returns the author from the flag, or fallback if it isn't set.
func (c Change) AuthorOr(fallback string) string {
	if c.Author != "" {
		return c.Author
	}
	return fallback
}

// ReadInput reads the file at path, or standard input for "-".
func ReadInput(streams *iostreams.IOStreams, path string) ([]byte, error) {
	in := streams.In
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, merry.Prepend(err, "read input")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, strictjson.MaxBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "read input")
	}
	return data, nil
}

// InputName returns the name of an input for messages about its faults.
func InputName(path string) string {
	if path == "-" {
		return "stdin"
	}
	return path
}
