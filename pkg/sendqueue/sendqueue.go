// Package sendqueue reads how much of what was written to a TCP connection the other side has not acknowledged.
package sendqueue

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes in a connection's send queue. It is zero if c is no TCP connection or the kernel does
// not tell.
func Unacknowledged(c net.Conn) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	if err != nil {
		return 0
	}
	return queued
}
