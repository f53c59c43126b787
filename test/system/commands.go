package system

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// RunCommand runs a command of the built program as an operator of an instance, with the given
// standard input. It returns the exit code and both outputs.
func (s *System) RunCommand(t testing.TB, in *Instance, stdin string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	token := filepath.Join(s.dir, "operator.token")
	require.NoError(t, os.WriteFile(token, []byte(operatorToken), 0o600))
	cmd := exec.CommandContext(t.Context(), filepath.Join(s.bin, "pollenspindle"), args...)
	cmd.Env = append(os.Environ(), "POLLENSPINDLE_INSTANCE="+in.Operator, "POLLENSPINDLE_OPERATOR_TOKEN_FILE="+token)
	cmd.Stdin = strings.NewReader(stdin)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errOut.String()
}
