package process_test

import (
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenspindle.example/pollenspindle/test/process"
)

// Guards against addresses that a process which starts at the same moment still holds.
func TestFreeAddressWhileProcessesStart(t *testing.T) {
	const forks, length = 4, 300 * time.Millisecond
	done := make(chan struct{})
	var starting sync.WaitGroup
	defer starting.Wait()
	defer close(done)
	for range forks {
		starting.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.CommandContext(t.Context(), "true").Run()
				}
			}
		})
	}
	for until := time.Now().Add(length); time.Now().Before(until); {
		l, err := net.Listen("tcp", process.FreeAddress(t))
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}
