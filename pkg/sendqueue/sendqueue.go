// Package sendqueue reads how much waits in the queues of a TCP connection: of what was written to it, what the other side has not
// acknowledged, and of what has arrived, what was not read.
package sendqueue

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes in a connection's send queue. It is zero if c is no TCP connection or the kernel does
// not tell.
func Unacknowledged(c net.Conn) int {
	return queuedBytes(c, unix.SIOCOUTQ)
}

// Unread returns the number of bytes in a connection's receive queue. It is zero if c is no TCP connection or the kernel does not
// tell.
func Unread(c net.Conn) int {
	return queuedBytes(c, unix.SIOCINQ)
}

// queuedBytes returns the size of the queue that an ioctl request names, or zero.
func queuedBytes(c net.Conn, request uint) int {
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
		if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
			queued = n
		}
	})
	if err != nil {
		return 0
	}
	return queued
}
