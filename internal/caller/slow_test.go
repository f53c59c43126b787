package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller sends a request and never reads while the engine sends tokens. The instance's buffers
// are limited, so the connection must end and the engine must be freed long before the response is
// complete. The caller finds the beginning of the response without an end marker, so that it knows
// the position to resume after; an event may report that it was too slow.
func TestCallerThatNeverReads(t *testing.T) {
	// The ring and the limited buffers hold 683 tokens; with the kernel's default limit of 4 MiB
	// they hold 17,280.
	const maxTokens = 4000
	s := startTokens(t, func(o *Options) { o.SlowCallerTimeout, o.GracePeriod = 200*time.Millisecond, time.Millisecond })
	defer s.close()
	require.NoError(t, s.caller.(*net.TCPConn).SetReadBuffer(32<<10))
	for s.send() == nil {
	}
	require.Eventually(t, s.permits.balanced, time.Minute, time.Millisecond)
	require.Less(t, s.permits.tokens, maxTokens)

	resp, err := http.ReadResponse(bufio.NewReader(s.caller), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	events := readEvents(bufio.NewReader(resp.Body), maxTokens)
	require.NotEmpty(t, events)
	// The ring and the socket fill up at about the same time: the event that reports it may still
	// be written, with the last position.
	last := events[len(events)-1]
	if last.kind == eventError {
		events = events[:len(events)-1]
		require.Contains(t, last.data, `"code":"slowCaller"`)
		require.Contains(t, last.data, fmt.Sprintf(`"position":%d}`, len(events)))
	}
	for i, e := range events {
		require.Equal(t, strconv.Itoa(i+1), e.id, "%+v", e)
		require.Empty(t, e.kind)
	}
	require.NotEqual(t, doneMarker, last.data)
}
