package process

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// firstPort and blockCount delimit the ports used by tests. They lie below the operating system's
	// ephemeral range: a port from that range can be taken by an outgoing connection before the
	// process under test listens on it.
	firstPort     = 20000
	blockCount    = 120
	portsPerBlock = 100
)

// ports allocates addresses. Each test binary reserves whole blocks of ports by listening on the
// first port of each block for its lifetime, and hands out every other port of the block once.
//
// Checking that a port is free and closing it again is not enough: another test binary could be
// given the same port before the process listens.
var ports struct {
	mu           sync.Mutex
	reservations []net.Listener
	next         int
	end          int
}

// FreeAddress returns a loopback address that is given to no other test.
func FreeAddress(t testing.TB) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		if ports.next == ports.end {
			reservePortBlock(t)
		}
		address := loopbackAddress(ports.next)
		ports.next++
		if canListen(t, address) {
			return address
		}
	}
}

// checkPidfd makes the os package fork the process that it starts once without the lock.
var checkPidfd = sync.OnceFunc(func() { _, _ = os.FindProcess(os.Getpid()) })

// canListen reports whether an address is free. A process that is forked meanwhile would hold the
// address until its program starts, after it was found to be free.
func canListen(t testing.TB, address string) bool {
	t.Helper()
	checkPidfd()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := listen(address)
	if err != nil {
		return false
	}
	require.NoError(t, l.Close())
	return true
}

// reservePortBlock reserves the next block that no other test binary holds.
func reservePortBlock(t testing.TB) {
	t.Helper()
	first := rand.IntN(blockCount)
	for i := range blockCount {
		port := firstPort + (first+i)%blockCount*portsPerBlock
		l, err := listen(loopbackAddress(port))
		if err != nil {
			continue
		}
		ports.reservations = append(ports.reservations, l)
		ports.next, ports.end = port+1, port+portsPerBlock
		return
	}
	require.Fail(t, "no block of ports is free")
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

func loopbackAddress(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
