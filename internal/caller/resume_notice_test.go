package caller

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/cutanswer"
)

// Guards against a notice that counts as delivered because of an answer with a malformed head.
func TestMalformedAnswerToNotice(t *testing.T) {
	for name, answer := range cutanswer.Malformed("", "body") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer.Head = strings.Replace(answer.Head, "HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found", 1)
			peers := newPeerClient()
			t.Cleanup(peers.Close)
			require.False(t, peers.post(cutanswer.Start(t, answer), "/takeover", "Bearer token"))
		})
	}
}
