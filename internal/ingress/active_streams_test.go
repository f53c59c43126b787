package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is cut because its time limit expires when the first event arrives:
// the caller gets either the stream, or nothing and the request goes to another server.
func TestFirstEventRacesTimeLimit(t *testing.T) {
	inTime, late := &activeStream{}, &activeStream{}
	require.True(t, inTime.acceptEvent())
	require.False(t, inTime.expireFirstEvent())
	require.True(t, inTime.acceptEvent())
	require.True(t, late.expireFirstEvent())
	require.False(t, late.acceptEvent())
	require.False(t, late.acceptEvent())
}
