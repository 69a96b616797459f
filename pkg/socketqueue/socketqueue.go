// Package socketqueue reads how many bytes wait in the queues of a TCP connection.
package socketqueue

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and that the other side has not acknowledged. It is
// zero if c is no TCP connection or the kernel does not tell.
func Unacknowledged(c net.Conn) int {
	return queued(c, unix.SIOCOUTQ)
}

// Unread returns the number of bytes that have arrived on a connection and were not read. It is zero if c is no TCP connection or
// the kernel does not tell.
func Unread(c net.Conn) int {
	return queued(c, unix.SIOCINQ)
}

// queued returns the size of the queue that an ioctl request names, or zero if that fails.
func queued(c net.Conn, request uint) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
			bytes = n
		}
	})
	if err != nil {
		return 0
	}
	return bytes
}
