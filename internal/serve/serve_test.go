package serve_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/errortext"
	"pollenspindle.example/pollenspindle/internal/serve"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
	"pollenspindle.example/pollenspindle/test/process"
)

// An instance is started on an address that another process uses. Guards against an error text that
// doesn't name the address.
func TestRunNamesAddressInUse(t *testing.T) {
	inUse, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inUse.Close()
	free := "127.0.0.1:0"
	tests := map[string]settings.Settings{
		"callers":   {CallerAddress: inUse.Addr().String(), PeerAddress: free, OperatorAddress: free},
		"peers":     {CallerAddress: free, PeerAddress: inUse.Addr().String(), OperatorAddress: free},
		"operators": {CallerAddress: free, PeerAddress: free, OperatorAddress: inUse.Addr().String()},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			s.Instance, s.PlatformURL = "entry-1", "http://127.0.0.1:9"
			s.PeerKey, s.GenerationKey = key, key
			var out, errOut bytes.Buffer
			err := serve.Run(t.Context(), s, &iostreams.IOStreams{Out: &out, Err: &errOut})
			require.ErrorIs(t, err, serve.ErrStart)
			require.Contains(t, errortext.Of(err), inUse.Addr().String())
			require.Contains(t, errortext.Of(err), "address already in use")
		})
	}
}

// key is a base64-encoded key of 32 bytes.
const key = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

// blockedWriter is an output that nobody reads.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// Guards against instances that serve nobody, and never end, because nothing reads their log.
func TestRunEndsWhenItsLogIsNotRead(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	defer close(out.released)
	s := settings.Settings{Instance: "entry-1", PlatformURL: "http://127.0.0.1:9", PeerKey: key, GenerationKey: key, Timing: settings.DefaultTiming, OperatorTokenSHA256: strings.Repeat("0", 64)}
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress} {
		*address = process.FreeAddress(t)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- serve.Run(ctx, s, &iostreams.IOStreams{Out: out, Err: out}) }()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + s.CallerAddress + "/v1/instances")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	}, startTimeout, 10*time.Millisecond)
	stop()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(endTimeout):
		require.Fail(t, "the instance doesn't end")
	}
}

// Guards against instances that end without saying why.
func TestEndIsLogged(t *testing.T) {
	out := &syncBuffer{}
	s := settings.Settings{Instance: "entry-1", PlatformURL: "http://127.0.0.1:9", PeerKey: key, GenerationKey: key, Timing: settings.DefaultTiming, OperatorTokenSHA256: strings.Repeat("0", 64)}
	for _, address := range []*string{&s.CallerAddress, &s.PeerAddress, &s.OperatorAddress} {
		*address = process.FreeAddress(t)
	}
	ctx, stop := context.WithCancelCause(t.Context())
	stop(errors.New("terminated signal received"))
	require.NoError(t, serve.Run(ctx, s, &iostreams.IOStreams{Out: out, Err: out}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Contains(t, out.String(), `"reason":"terminated signal received"`)
	require.Contains(t, lines[len(lines)-1], "instance has left")
}

// syncBuffer is a buffer for several goroutines.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const (
	startTimeout = 5 * time.Second
	// endTimeout is more than the time for others to learn that the instance leaves.
	endTimeout = 20 * time.Second
)
