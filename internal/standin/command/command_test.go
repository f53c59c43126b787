package command

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
	}{
		"help":            {args: []string{"--help"}, code: ExitOK},
		"unknown command": {args: []string{"nonsense"}, code: ExitUsage},
		"unknown value":   {args: []string{"engine", "--cold-overload", "sing"}, code: ExitUsage},
		"bad option":      {args: []string{"engine", "--max-batch", "0"}, code: ExitFailure},
		"bad address":     {args: []string{"service", "--address", "127.0.0.1:99999"}, code: ExitFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.code, Main(tt.args, io.Discard, io.Discard))
		})
	}
}

// A crash requested through the control endpoint has its own exit code, so that the
// parent process can tell it from other failures.
func TestCrashHasOwnExitCode(t *testing.T) {
	out, w := io.Pipe()
	code := make(chan int, 1)
	go func() { code <- Main([]string{"engine", "--address", "127.0.0.1:0"}, w, io.Discard) }()
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	require.True(t, ok, line)
	resp, err := http.Post("http://"+address+"/control/crash", "", nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, ExitCrashed, <-code)
}
