package httpclient

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkExchange compares exchanges on pooled and on single-use connections.
func BenchmarkExchange(b *testing.B) {
	for name, call := range map[string]Call{"pooled": {}, "single-use": {SingleUse: true}} {
		b.Run(name, func(b *testing.B) {
			s := serve(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ab") })
			c := New(Options{})
			defer c.Close()
			for b.Loop() {
				resp, err := get(b.Context(), c, s.address(), call)
				require.NoError(b, err)
				resp.Close()
			}
		})
	}
}
