package forward

import (
	"testing"

	"go.uber.org/goleak"
)

// The ants package starts a pool of its own when it is imported; its goroutines are ignored.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
	)
}
