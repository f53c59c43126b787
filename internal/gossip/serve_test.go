package gossip

import (
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/membership"
	"pollenspindle.example/pollenspindle/internal/peer"
	"pollenspindle.example/pollenspindle/internal/platformstate"
)

// Guards against calls of other instances that are cut as an instance ends, and against calls that hold it.
func TestCallsInProgressEndBeforeTheServer(t *testing.T) {
	tests := map[string]struct {
		duration time.Duration
		answered bool
	}{
		"short": {closeTimeout / 3, true},
		"long":  {time.Hour, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			key, err := peer.NewKey(base64.StdEncoding.EncodeToString([]byte(secret("k"))))
			require.NoError(t, err)
			began := make(chan struct{})
			g, err := New(Options{
				Table: membership.NewTable(membership.Record{ID: "a"}), State: platformstate.NewState(), Key: key, Log: zerolog.Nop(), Now: time.Now,
				Handlers: map[string]http.Handler{"/call": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					close(began)
					select {
					case <-time.After(tt.duration):
					case <-r.Context().Done():
					}
					_, _ = io.WriteString(w, "answer")
				})},
			})
			require.NoError(t, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- g.Serve(ctx, l) }()
			called := make(chan error, 1)
			go func() {
				resp, err := http.Get("http://" + l.Addr().String() + "/call")
				if err == nil {
					defer resp.Body.Close()
					_, err = io.ReadAll(resp.Body)
				}
				called <- err
			}()
			<-began
			stopped := time.Now()
			stop()
			require.NoError(t, <-ended)
			require.Less(t, time.Since(stopped), testTimeout/2)
			if tt.answered {
				require.NoError(t, <-called)
			} else {
				require.Error(t, <-called)
			}
		})
	}
}
