package peer

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes transferred over its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// total returns the number of bytes counted so far.
func (l *countingListener) total() int64 {
	return l.bytes.Load()
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
