package cmdutil_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/pkg/cmdutil"
)

// Operators' scripts depend on the exit codes, so the page must document each with its number.
func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	require.NoError(t, err)
	codes := map[string]cmdutil.ExitCode{
		"ExitOK":             cmdutil.ExitOK,
		"ExitFailed":         cmdutil.ExitFailed,
		"ExitUsage":          cmdutil.ExitUsage,
		"ExitConflict":       cmdutil.ExitConflict,
		"ExitInvalid":        cmdutil.ExitInvalid,
		"ExitUnauthorized":   cmdutil.ExitUnauthorized,
		"ExitUnreachable":    cmdutil.ExitUnreachable,
		"ExitUnknownOutcome": cmdutil.ExitUnknownOutcome,
		"ExitNotInForce":     cmdutil.ExitNotInForce,
		"ExitNotFound":       cmdutil.ExitNotFound,
		"ExitCancelled":      cmdutil.ExitCancelled,
	}
	for name, code := range codes {
		require.Contains(t, string(page), fmt.Sprintf("| %d | `%s` |", code, name))
	}
	require.Equal(t, len(codes), strings.Count(string(page), "| `Exit"))
}
