package httpcall

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacked makes the kernel end a connection whose data stay unacknowledged, such as behind a partition.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet reports whether an idle connection is open and has no unread bytes. Bytes that arrive while no request is
// under way belong to none, so the connection must not be used again.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errno == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
