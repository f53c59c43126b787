package process

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// lowestPort and blocks bound the ports of tests. They lie below the range
	// from which the system takes those of outgoing connections; one from that
	// range was taken by a connection before its process came to listen.
	lowestPort = 20000
	blocks     = 120
	blockSize  = 100
)

// ports hands out addresses. Each test binary holds whole blocks of ports, by
// listening on the first of each for as long as it lives, and gives every other
// port of them once.
//
// A port that is found free and closed again could be drawn by another test binary
// before its process listens.
var ports struct {
	mu     sync.Mutex
	guards []net.Listener
	next   int
	end    int
}

// Address returns a loopback address that no other test is given.
func Address(t testing.TB) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		if ports.next == ports.end {
			takeBlock(t)
		}
		address := loopback(ports.next)
		ports.next++
		if l, err := listen(address); err == nil {
			require.NoError(t, l.Close())
			return address
		}
	}
}

// takeBlock takes the next block that no other test binary holds.
func takeBlock(t testing.TB) {
	t.Helper()
	first := rand.IntN(blocks)
	for i := range blocks {
		port := lowestPort + (first+i)%blocks*blockSize
		l, err := listen(loopback(port))
		if err != nil {
			continue
		}
		ports.guards = append(ports.guards, l)
		ports.next, ports.end = port+1, port+blockSize
		return
	}
	require.Fail(t, "no block of ports is free")
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

func loopback(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
