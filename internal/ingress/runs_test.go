package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The time for the first event ends in the moment in which the event comes.
// Either the caller gets the stream and nothing ends it, or it gets none of it
// and the request goes to another server; never a stream that is cut.
func TestFirstEventOrItsTimeLimit(t *testing.T) {
	inTime, late := &run{}, &run{}
	require.True(t, inTime.begins())
	require.False(t, inTime.expire())
	require.True(t, inTime.begins())
	require.True(t, late.expire())
	require.False(t, late.begins())
	require.False(t, late.begins())
}
