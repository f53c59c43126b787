package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the bytes of a further request on the connection that are taken for a part of the body before.
func TestBodyEndsAtItsLength(t *testing.T) {
	for name, size := range map[string]int{"short": 10, "long": 40 << 10} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig("127.0.0.1:1")
			cfg.snapshot.Config.Limits.MaxBodyBytes = 1 << 20
			f := startServer(t, cfg)
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			bodies := []string{strings.Repeat("a", size), strings.Repeat("b", size)}
			var text strings.Builder
			for _, body := range bodies {
				fmt.Fprintf(&text, "POST /v1/services/desk/bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
					clubToken, len(body), body)
			}
			_, err = io.WriteString(conn, text.String())
			require.NoError(t, err)
			r := bufio.NewReader(conn)
			for range bodies {
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusCreated, resp.StatusCode, string(got))
			}
			calls := f.services.calls()
			require.Len(t, calls, len(bodies))
			for i, body := range bodies {
				require.True(t, string(calls[i].Body) == body, "request %d has %d bytes in place of %d", i, len(calls[i].Body), size)
			}
		})
	}
}
