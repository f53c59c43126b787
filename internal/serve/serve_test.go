package serve_test

import (
	"bytes"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/internal/errortext"
	"pollenspindle.example/pollenspindle/internal/serve"
	"pollenspindle.example/pollenspindle/internal/settings"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
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
