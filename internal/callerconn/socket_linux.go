package callerconn

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// refuseHandshakes makes the system drop packets that begin a connection. Those of handshakes that have
// begun still arrive.
func refuseHandshakes(listener syscall.RawConn) error {
	const (
		flagsOffset = 13
		syn, ack    = 0x02, 0x10
		drop, keep  = 0, 1 << 18
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: drop},
		{Code: unix.BPF_RET | unix.BPF_K, K: keep},
	}
	var attachErr error
	err := listener.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, attachErr)
}
