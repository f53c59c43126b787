package command

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
)

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
	}{
		"help":                {args: []string{"--help"}, code: ExitOK},
		"no instances":        {args: []string{"run"}, code: ExitUsage},
		"unknown mix":         {args: []string{"run", "--instances", "127.0.0.1:1", "--mix", "other"}, code: ExitUsage},
		"duration too long":   {args: []string{"run", "--instances", "127.0.0.1:1", "--duration", "2h"}, code: ExitUsage},
		"missing report":      {args: []string{"compare", "no-such-file.json"}, code: ExitFailure},
		"no rate":             {args: []string{"run", "--instances", "127.0.0.1:1", "--rate", "0"}, code: ExitFailure},
		"pair without engine": {args: []string{"pair", "--instance", "127.0.0.1:1"}, code: ExitUsage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.code, Main(tt.args, io.Discard, io.Discard))
		})
	}
}

func TestCompareReadsRunReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "run.json")
	require.NoError(t, writeReport(file, measure.Report{Label: "predicted", Completed: 7, Offered: 9}))
	var out bytes.Buffer
	require.Equal(t, ExitOK, Main([]string{"compare", file, file}, &out, os.Stderr))
	require.Equal(t, 2, bytes.Count(out.Bytes(), []byte("predicted")))
	require.Contains(t, out.String(), "7/9")
}
