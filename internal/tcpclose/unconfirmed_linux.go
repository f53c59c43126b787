package tcpclose

import "golang.org/x/sys/unix"

// unconfirmedBytes returns the number of bytes written to a socket that its other end hasn't confirmed.
func unconfirmedBytes(fd uintptr) (n int, known bool) {
	n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	return n, err == nil
}
